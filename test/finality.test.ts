/**
 * A job has one final state: if different controllers handle its completion and its cancellation at the same time,
 * only one of the two may be reported to users. Each case is an order of events with which both were reported.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

interface Case {
  name: string;
  /** How much later controller `b` receives changes of the store than controller `a`. */
  watchDelayMs: number;
  /** Time from the completion of the last task until the user cancels through `b`. */
  cancelAfterMs: number;
  /** Tasks of the job. With several tasks, different controllers may record their completion. */
  tasks: number;
}

const CASES: Case[] = [
  {
    name: 'one task, reported as done before the cancellation',
    watchDelayMs: 900,
    cancelAfterMs: 600,
    tasks: 1,
  },
  {
    name: 'three tasks, reported as done before the cancellation',
    watchDelayMs: 1500,
    cancelAfterMs: 900,
    tasks: 3,
  },
  { name: 'the cancellation comes first', watchDelayMs: 900, cancelAfterMs: 0, tasks: 1 },
  {
    name: 'the cancellation arrives while the completion is recorded',
    watchDelayMs: 900,
    cancelAfterMs: 120,
    tasks: 2,
  },
  { name: 'no controller is behind', watchDelayMs: 0, cancelAfterMs: 150, tasks: 2 },
];

/** Enough jobs that, for each controller, some are finished by it and recorded by another one. */
const JOBS = 16;

/** Polls the job through `a`, which is up to date, and cancels it once through `b`, which may be behind. */
function pollAndCancel(world: World, uid: string, cancelAfterMs: number): void {
  for (let ms = 0; ms < 2500; ms += 50)
    world.time.after(ms, () => {
      void world.request(uid, { method: 'GET', path: `/v2/runs/${uid}`, timeoutMs: 2000 }, 'a');
    });
  world.time.after(cancelAfterMs, () => {
    void world.cancel(uid, 'b');
  });
}

for (const { name, watchDelayMs, cancelAfterMs, tasks } of CASES)
  void test(`finality: ${name}`, async () => {
    const world = new World(7, { capacity: 6 });
    world.cloud.startMachines(6);
    await world.time.runUntil(20_000);
    if (watchDelayMs > 0) world.store.watchDelayMs.set('b', watchDelayMs);
    const remainingTasks = new Map<string, number>();
    for (let index = 0; index < JOBS; index++)
      world.time.after(index * 2000, () => {
        remainingTasks.set(world.submit({ tasks, expectedSeconds: 4 }), tasks);
      });
    world.onTaskDone = (uid) => {
      remainingTasks.set(uid, (remainingTasks.get(uid) ?? 0) - 1);
      if (remainingTasks.get(uid) === 0) pollAndCancel(world, uid, cancelAfterMs);
    };
    await world.time.runUntil(100_000);
    assert.deepEqual(
      [...remainingTasks.values()],
      Array<number>(JOBS).fill(0),
      'all tasks have completed',
    );
    assert.deepEqual(world.checker.violations, []);
    assert.deepEqual(world.recordViolations, []);
    assert.equal(
      world.finalPhases.size,
      JOBS,
      'a final state of every job was reported to its user',
    );
    world.shutDown();
  });
