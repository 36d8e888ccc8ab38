/** What it takes to let workers forget tasks: no writes while a range of fencing tokens lasts, and one range after another. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_OPERATOR_SETTINGS } from '../src/config/operator.js';
import { lastTokenOfRange } from '../src/model/fencing-token.js';
import { afterSeconds } from './fakes/fault-injection.js';
import { World } from './fakes/world.js';

const MACHINES = 6;
const JOBS = 12;
const TASKS = 20;

/** Tokens are counted from 1 and taken in whole ranges. */
const RANGE = lastTokenOfRange(1);

/** A cluster of fixed size with a job of short tasks every four seconds, and copies of all commands. */
function worldOfShortTasks(): World {
  const operator = { ...DEFAULT_OPERATOR_SETTINGS, rent: false };
  const world = new World(2, { operator });
  world.cloud.startMachines(MACHINES);
  world.net.duplication = { path: '/commands', share: 1, afterMs: [1000, 20_000], copies: 2 };
  for (let index = 0; index < JOBS; index++)
    afterSeconds(world, 4 + index * 4, () => {
      world.submit({ tasks: TASKS, cpus: 1, expectedSeconds: 1 });
    });
  return world;
}

const workersOf = (world: World) => [...world.workers.values()];

const lastTokenOf = (token: number): number => Math.ceil(token / RANGE) * RANGE;

function endAndCheck(world: World): void {
  assert.equal(world.finalPhases.size, JOBS, 'all jobs are done');
  assert.equal(world.checker.starts.length, JOBS * TASKS);
  assert.deepEqual(
    workersOf(world).map(({ reportedTasks }) => reportedTasks),
    workersOf(world).map(() => 0),
    'the workers have forgotten all tasks',
  );
  assert.deepEqual(
    workersOf(world).filter(({ incarnation }) => incarnation > 1),
    [],
    'no lease has ended',
  );
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  world.shutDown();
}

// A write per forgotten task, or per machine and lease, would take the write rate that starts and ends need.
void test('fencing token ranges: workers forget ended tasks within two heartbeats, without a write for it', async () => {
  const world = worldOfShortTasks();
  await world.time.runUntil(12_000);
  const claims = world.store.writesByKind.get('term') ?? 0;
  const tokens = workersOf(world).map(({ fencingToken }) => fencingToken);
  let unforgotten = 0;
  for (let atS = 12; atS < 64; atS++)
    afterSeconds(world, atS, () => {
      for (const worker of workersOf(world))
        unforgotten = Math.max(unforgotten, worker.reportedTasks);
    });
  await world.time.runUntil(64_000);
  assert.equal(world.store.writesByKind.get('term') ?? 0, claims, 'no range was taken');
  assert.ok(
    workersOf(world).every(({ fencingToken }, index) => fencingToken > (tokens[index] ?? 0)),
    'the tokens have been raised',
  );
  // At most eight tasks run on a machine, and as many have ended shortly before.
  assert.ok(unforgotten <= 24, `${String(unforgotten)} tasks reported`);
  endAndCheck(world);
});

for (const left of [500, 1, 0])
  void test(`fencing token ranges: with ${String(left)} tokens left, a new range is taken within a lease`, async () => {
    const world = worldOfShortTasks();
    await world.time.runUntil(14_000);
    const lastTokens = workersOf(world).map(({ fencingToken }) => lastTokenOf(fencingToken));
    for (const [index, worker] of workersOf(world).entries())
      worker.fencingToken = (lastTokens[index] ?? 0) - left;
    const claims = world.store.writesByKind.get('term') ?? 0;
    await world.time.runUntil(30_000);
    for (const [index, { fencingToken }] of workersOf(world).entries())
      assert.ok(
        fencingToken > (lastTokens[index] ?? 0),
        `${String(fencingToken)} is in a new range`,
      );
    const taken = (world.store.writesByKind.get('term') ?? 0) - claims;
    assert.ok(taken <= world.hosts().length * 2, `${String(taken)} ranges taken`);
    await world.time.runUntil(64_000);
    endAndCheck(world);
  });
