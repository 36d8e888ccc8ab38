/** Jobs of all kinds without faults, gangs larger than a domain, and large jobs on a full fleet. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SCENARIO_SEEDS, runFaultScenario, type FaultScenario } from './fakes/fault-scenarios.js';
import { afterSeconds } from './fakes/fault-injection.js';
import { World } from './fakes/world.js';

const SCENARIOS: FaultScenario[] = [{ name: 'no faults', inject: () => undefined }];

for (const scenario of SCENARIOS)
  for (const seed of SCENARIO_SEEDS)
    void test(`${scenario.name} (seed ${String(seed)})`, () => runFaultScenario(scenario, seed));

void test('a gang larger than any domain is placed with machines borrowed from peers', async () => {
  const world = new World(1);
  const spec = { kind: 'gang', tasks: 5, cpus: 8, gpus: 0, expectedSeconds: 60 } as const;
  // One task per machine: the workers claimed by several controllers all move to the controller that places the gang.
  const jobId = world.submit({ ...spec, image: 'img-g' });
  const owners = new Set<string>();
  for (let atS = 5; atS < 100; atS++)
    afterSeconds(world, atS, () => {
      for (const id of world.workers.keys()) owners.add(world.ownerOf(id) ?? '');
    });
  await world.time.runUntil(180_000);
  owners.delete('');
  assert.ok(owners.size > 1, 'several controllers owned machines');
  assert.equal(world.finalPhases.get(jobId), 'done');
  const machineIds = new Set(world.checker.starts.map(({ machineId }) => machineId));
  assert.equal(machineIds.size, 5);
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  world.shutDown();
});

void test('on a full fleet with small jobs arriving all the time, the largest jobs start within four minutes', async () => {
  const world = new World(3, {
    teams: [
      { name: 'red', cpus: 16, cpus_max: 40, gpus: 4, gpus_max: 8 },
      { name: 'blue', cpus: 16, cpus_max: 24, gpus: 0, gpus_max: 4 },
      // A team without guaranteed quota or limit, with idle work.
      { name: 'green', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    ],
    state: { rps: 200, write_rps: 60, value_kb: 8, txn_ops: 20 },
  });
  for (let atS = 0; atS < 300; atS += 2)
    afterSeconds(world, atS, () => {
      const team = (atS / 2) % 2 === 0 ? 'red' : 'blue';
      world.submit({ team, tasks: 4, expectedSeconds: 15, deadlineSeconds: 40 });
    });
  const large: string[] = [];
  world.time.after(30_000, () => {
    large.push(
      world.submit({ jobClass: 'big', tasks: 400, expectedSeconds: 15, deadlineSeconds: 40 }),
      world.submit({ jobClass: 'gang', kind: 'gang', priority: 'urgent', tasks: 4, gpus: 2 }),
      world.submit({
        jobClass: 'guest',
        team: 'green',
        priority: 'idle',
        tasks: 99,
        expectedSeconds: 60,
      }),
      world.submit({
        jobClass: 'crew',
        kind: 'service',
        priority: 'critical',
        tasks: 6,
        expectedSeconds: 0,
      }),
    );
  });
  await world.time.runUntil(275_000);
  const started = new Set(world.checker.starts.map(({ jobId }) => jobId));
  assert.deepEqual(
    large.filter((jobId) => !started.has(jobId)),
    [],
  );
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  world.shutDown();
});
