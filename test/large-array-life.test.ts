/** The life of an array of very many small tasks, from its acceptance to its end, while other jobs run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { longestTurnMs } from './fakes/event-loop.js';
import {
  drawLife,
  largeArrayWorld,
  loseBusiestMachine,
  MAX_TURN_MS,
  runLife,
  TEAM_CPUS,
} from './fakes/large-array-life.js';
import { CANCEL_S, LEASE_S } from './fakes/world-options.js';
import type { World, WorldOptions } from './fakes/world.js';

const ARRAY_AT_S = 15;
/** When the moment of a case comes: the array has been running for a while. */
const MOMENT_AT_S = 30;

type StateLimits = WorldOptions['state'];
const SMALL_VALUES: StateLimits = { rps: 200, write_rps: 15, value_kb: 1, txn_ops: 12 };
const LARGE_VALUES: StateLimits = { rps: 120, write_rps: 25, value_kb: 8, txn_ops: 20 };

/** Something that happens to an array while it runs. */
interface Moment {
  name: string;
  state: StateLimits;
  tasks: number;
  cpus: number;
  expectedSeconds: number;
  happens?(world: World, arrayId: string): void;
  /** When the array must have ended, in seconds. */
  endsByS: number;
  /** Whether workers may lose their tasks. */
  losesMachines?: boolean;
}

const cancel = (world: World, arrayId: string): void => {
  void world.cancel(arrayId);
};
const SMALL = { state: SMALL_VALUES, tasks: 3000, cpus: 0.005 };
const LARGE = { state: LARGE_VALUES, tasks: 12_000, cpus: 0.0005 };

const MOMENTS: Moment[] = [
  { ...SMALL, name: 'it runs undisturbed', expectedSeconds: 6, endsByS: 120 },
  {
    ...SMALL,
    name: 'it is cancelled half way',
    expectedSeconds: 600,
    happens: cancel,
    endsByS: MOMENT_AT_S + CANCEL_S,
  },
  {
    ...SMALL,
    name: 'one of its machines is lost',
    expectedSeconds: 12,
    happens: loseBusiestMachine,
    endsByS: 210,
    losesMachines: true,
  },
  {
    ...SMALL,
    name: 'all controllers restart',
    expectedSeconds: 12,
    happens(world) {
      for (const host of world.hosts()) world.kill(host, 500);
    },
    endsByS: 210,
  },
  {
    ...SMALL,
    name: 'a controller dies and its machines are taken over',
    expectedSeconds: 12,
    happens(world) {
      world.kill('a', 1e9);
    },
    endsByS: 210,
  },
  {
    ...LARGE,
    name: 'it is cancelled half way',
    expectedSeconds: 600,
    happens: cancel,
    endsByS: MOMENT_AT_S + CANCEL_S,
  },
  {
    ...LARGE,
    name: 'one of its machines is lost and it is cancelled',
    expectedSeconds: 600,
    happens(world, arrayId) {
      loseBusiestMachine(world, arrayId);
      cancel(world, arrayId);
    },
    endsByS: MOMENT_AT_S + CANCEL_S + LEASE_S,
    losesMachines: true,
  },
];

// Before, heartbeats over 64 KiB made leases end with all tasks killed; and from 0.9 of a stored value on, no end of a
// task of the array was recorded any more: its team never got back what the array had used.
for (const moment of MOMENTS)
  void test(`large array of ${String(moment.tasks)} tasks: ${moment.name}`, async () => {
    const world = largeArrayWorld(1, moment.state);
    await world.time.runUntil(10_000);
    const service = world.submit({
      team: 'blue',
      kind: 'service',
      priority: 'critical',
      tasks: 3,
      expectedSeconds: 0,
    });
    await world.time.runUntil(ARRAY_AT_S * 1000);
    const { tasks, cpus, expectedSeconds } = moment;
    const array = world.submit({ tasks, cpus, memoryGb: 0.01, expectedSeconds });
    const blockedMs = await longestTurnMs(async () => {
      await world.time.runUntil(MOMENT_AT_S * 1000);
      moment.happens?.(world, array);
      await world.time.runUntil(moment.endsByS * 1000);
    });
    const whole = world.submit({ kind: 'gang', tasks: TEAM_CPUS / 4, cpus: 4 });
    await world.time.runUntil((moment.endsByS + 30) * 1000);
    world.checker.finish();

    const startsOf = (id: string): number =>
      world.checker.starts.filter(({ jobId }) => jobId === id).length;
    assert.ok(blockedMs < MAX_TURN_MS, `blocked for ${blockedMs.toFixed(0)} ms`);
    assert.ok(world.finalPhases.has(array), 'the array has ended');
    assert.ok(startsOf(whole) > 0, 'its team has its whole limit back');
    assert.deepEqual(world.checker.violations, []);
    assert.deepEqual(world.recordViolations, []);
    assert.deepEqual(world.store.oversized, []);
    const workers = [...world.workers.values()];
    assert.equal(
      workers.reduce((sum, { oversizedHeartbeats }) => sum + oversizedHeartbeats, 0),
      0,
    );
    if (!moment.losesMachines) {
      assert.equal(startsOf(service), 3, 'the service was started once');
      assert.ok(workers.every(({ incarnation }) => incarnation === 1));
    }
    world.shutDown();
  });

// A message to a worker holds 200 commands, and the next ones waited for its next heartbeat. More than two messages
// took longer than the tasks of a gang may be stopped one after the other.
void test('large array: the commands that exceed one message follow at once', async () => {
  const world = largeArrayWorld(1, SMALL_VALUES);
  await world.time.runUntil(10_000);
  world.submit({ tasks: 700, cpus: 0.005, memoryGb: 0.01, expectedSeconds: 60 });
  const counts = (): number[] =>
    [...world.workers.values()].map(({ startedTasks }) => startedTasks.length);
  while (counts().every((count) => count === 0) && world.time.now < 20_000)
    await world.time.runUntil(world.time.now + 10);
  await world.time.runUntil(world.time.now + 100);
  assert.ok(Math.max(...counts()) > 300, counts().join(' '));
  world.shutDown();
});

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

for (const seed of SEEDS)
  void test(`large job: ${describe(seed)} (seed ${String(seed)})`, async () => {
    assert.deepEqual(await runLife(seed), []);
  });

function describe(seed: number): string {
  const { job, incidents } = drawLife(seed);
  const happenings = incidents.map(({ incident }) => incident).join(', ');
  return `${job.kind} of ${String(job.tasks)} tasks, ${happenings}`;
}
