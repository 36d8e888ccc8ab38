/** Machines that hang, fail their tasks or die. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SCENARIO_SEEDS, runFaultScenario, type FaultScenario } from './fakes/fault-scenarios.js';
import { afterSeconds } from './fakes/fault-injection.js';
import { World } from './fakes/world.js';

const SCENARIOS: FaultScenario[] = [
  {
    name: 'workers hang, and resume within their lease or after it',
    inject(world) {
      for (const [atS, forS] of [
        [30, 6],
        [45, 25],
        [50, 9.5],
      ] as const)
        afterSeconds(world, atS, () => {
          const worker = world.randomWorker();
          if (!worker) return;
          worker.hung = true;
          afterSeconds(world, forS, () => {
            worker.resume();
          });
        });
    },
  },
  {
    name: 'a machine fails all tasks, another dies, and all controllers crash',
    inject(world) {
      afterSeconds(world, 30, () => {
        const worker = world.randomWorker();
        if (worker) worker.failsTasks = true;
      });
      afterSeconds(world, 35, () => {
        world.randomWorker()?.die();
      });
      afterSeconds(world, 50, () => {
        for (const host of world.hosts()) world.kill(host, 1000);
      });
    },
  },
];

for (const scenario of SCENARIOS)
  for (const seed of SCENARIO_SEEDS)
    void test(`${scenario.name} (seed ${String(seed)})`, () => runFaultScenario(scenario, seed));

// Replicas on a dead machine used to be replaced only once its lease had certainly ended.
void test('replicas on a single machine that dies are started elsewhere before its lease ends', async () => {
  const world = new World(5);
  const spec = {
    kind: 'service',
    priority: 'critical',
    tasks: 4,
    expectedSeconds: 0,
    cpus: 4,
  } as const;
  for (const team of ['red', 'blue']) world.submit({ ...spec, team });
  for (let index = 0; index < 6; index++)
    world.submit({ team: index < 3 ? 'red' : 'blue', tasks: 12, expectedSeconds: 60 });
  await world.time.runUntil(60_000);
  const originalStart = world.checker.starts.find(({ jobId }) => jobId === 'j-000000');
  assert.ok(originalStart);
  world.workers.get(originalStart.machineId)?.die();
  await world.time.runUntil(72_000);
  const restarted = world.checker.starts.find(
    ({ jobId, atMs, machineId }) =>
      jobId === 'j-000000' && atMs > 60_000 && machineId !== originalStart.machineId,
  );
  assert.ok(
    restarted && restarted.atMs < 60_000 + 10_000,
    `started again at ${String(restarted?.atMs)}`,
  );
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  world.shutDown();
});
