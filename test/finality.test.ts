import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

/**
 * A job's final state is decided once: an end and a cancellation that different controllers handle at the
 * same moment must not both be told. Each row is an order of events that has told both.
 */
interface Case {
  name: string;
  /** How much later than `a` the controller `b` learns of changes. */
  behindMs: number;
  /** When the user cancels through `b`, after the last task has completed. */
  cancelAfterMs: number;
  /** Tasks of the job: with several, different controllers may record their ends. */
  tasks: number;
}

const CASES: Case[] = [
  { name: 'one task, told done before the cancel', behindMs: 900, cancelAfterMs: 600, tasks: 1 },
  { name: 'three tasks, told done before', behindMs: 1500, cancelAfterMs: 900, tasks: 3 },
  { name: 'the cancel comes first', behindMs: 900, cancelAfterMs: 0, tasks: 1 },
  { name: 'the cancel meets the recording', behindMs: 900, cancelAfterMs: 120, tasks: 2 },
  { name: 'nobody is behind', behindMs: 0, cancelAfterMs: 150, tasks: 2 },
];

/** Enough of them that some are finished by each controller and recorded by another. */
const JOBS = 16;

/** Users ask over and over at the controller that is up to date, and one cancels through the other. */
function askAndCancel(world: World, uid: string, cancelAfterMs: number): void {
  for (let ms = 0; ms < 2500; ms += 50)
    world.time.after(ms, () => {
      void world.request(uid, { method: 'GET', path: `/v2/runs/${uid}`, timeoutMs: 2000 }, 'a');
    });
  world.time.after(cancelAfterMs, () => {
    void world.cancel(uid, 'b');
  });
}

for (const { name, behindMs, cancelAfterMs, tasks } of CASES)
  void test(`finality: ${name}`, async () => {
    const world = new World(7, { capacity: 6 });
    world.cloud.startMachines(6);
    await world.time.runUntil(20_000);
    if (behindMs > 0) world.store.watchDelayMs.set('b', behindMs);
    const left = new Map<string, number>();
    for (let index = 0; index < JOBS; index++)
      world.time.after(index * 2000, () => {
        left.set(world.submit({ tasks, expectedSeconds: 4 }), tasks);
      });
    world.onTaskDone = (uid) => {
      left.set(uid, (left.get(uid) ?? 0) - 1);
      if (left.get(uid) === 0) askAndCancel(world, uid, cancelAfterMs);
    };
    await world.time.runUntil(100_000);
    assert.deepEqual([...left.values()], Array<number>(JOBS).fill(0), 'all jobs have run');
    assert.deepEqual(world.checker.violations, []);
    assert.deepEqual(world.recordViolations, []);
    assert.equal(world.finals.size, JOBS, 'every user was told');
    world.shutDown();
  });
