import { doneCount, newJob, placeTasks, type Allocation } from '../src/model/job-lifecycle.js';
import type { JobRecord } from '../src/model/job.js';
import { encodeJob, keys } from '../src/store/records/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '../src/clock.js';
import { State } from '../src/store/state.js';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import { TaskOutcomes } from '../src/workers/task-outcomes.js';
import { JOB } from './fakes/world.js';

const HOST = 'a';
const LIMITS = { maxWrites: 12, maxValueBytes: 4096, maxBytes: 40_000 };
/** Time does not advance, so no timer fires in these tests. */
const CLOCK: Clock = { now: () => 0, wallClock: () => 0, after: () => () => undefined };
const UID = 'j-1';
const MACHINES = ['i-1', 'i-2', 'i-3'];

/** A state with one job that has a task on each of the machines. */
function stateWithPlacedJob(): State {
  const state = new State(() => undefined);
  const job = newJob({ ...JOB, tasks: MACHINES.length }, 0);
  state.replica.applyOwnCommit([{ put: keys.job(UID), value: encodeJob(job) }], 1);
  const builder = new TransactionBuilder(state, HOST, LIMITS);
  builder.set(UID, placeTasks(job, MACHINES));
  state.replica.applyOwnCommit(builder.build().writes, 2);
  return state;
}

const allocation = (task: number): Allocation => ({
  machine: MACHINES[task] ?? '',
  task,
  attempt: 1,
});

// The expiry of a lease is reported only once. If its outcome were dropped, the task would not be requeued until its
// machine is deleted.
void test('task outcomes: one added while others of its job are being committed is not dropped with them', () => {
  const state = stateWithPlacedJob();
  const outcomes = new TaskOutcomes(
    { batchingMs: 1e6, retryDelayMs: 1000 },
    { state, clock: CLOCK, fencingTokenFor: () => 7, wake: () => undefined },
  );
  outcomes.add(UID, allocation(0), 'completed');
  const first = new TransactionBuilder(state, HOST, LIMITS);
  const onFirstCommitted = outcomes.addTo(first);
  outcomes.add(UID, allocation(1), 'requeued');
  state.replica.applyOwnCommit(first.build().writes, 3);
  assert.deepEqual([...onFirstCommitted()], ['i-1']);
  assert.ok(outcomes.has(UID, allocation(1)));
  assert.ok(!outcomes.has(UID, allocation(0)));

  const second = new TransactionBuilder(state, HOST, LIMITS);
  const onSecondCommitted = outcomes.addTo(second);
  state.replica.applyOwnCommit(second.build().writes, 4);
  assert.deepEqual([...onSecondCommitted()], ['i-2']);
  assert.deepEqual(state.jobs.get(UID)?.requeuedTasks, [1]);
  assert.deepEqual(Object.keys(state.jobs.get(UID)?.allocationsByMachine ?? {}), ['i-3']);
});

const ARRAY_TASKS = 400;

// The outcomes of a job were recorded all at once or not at all. When the tasks to run again exceeded its record, none
// was recorded any more, and its team never got back what the ended tasks had used.
void test('task outcomes: when the tasks to run again exceed the record of the job, they are recorded part by part', () => {
  const limits = { ...LIMITS, maxValueBytes: 1024 };
  const state = new State(() => undefined);
  const array = newJob({ ...JOB, tasks: ARRAY_TASKS }, 0);
  state.replica.applyOwnCommit([{ put: keys.job(UID), value: encodeJob(array) }], 1);
  const placement = new TransactionBuilder(state, HOST, limits);
  const machines = Array.from({ length: ARRAY_TASKS }, () => 'i-1');
  assert.ok(placement.set(UID, placeTasks(array, machines)));
  state.replica.applyOwnCommit(placement.build().writes, 2);
  const outcomes = new TaskOutcomes(
    { batchingMs: 1e6, retryDelayMs: 1000 },
    { state, clock: CLOCK, fencingTokenFor: () => 7, wake: () => undefined },
  );
  for (let task = 0; task < ARRAY_TASKS; task++) {
    const isCompleted = task % 4 === 0;
    const ended = { machine: 'i-1', task, attempt: 1 };
    outcomes.add(UID, ended, isCompleted ? 'completed' : 'requeued');
  }
  const record = (revision: number): JobRecord => {
    const transaction = new TransactionBuilder(state, HOST, limits);
    const onCommitted = outcomes.addTo(transaction);
    state.replica.applyOwnCommit(transaction.build().writes, revision);
    onCommitted();
    return state.jobs.get(UID) ?? array;
  };
  const first = record(3);
  assert.equal(doneCount(first), ARRAY_TASKS / 4, 'completed tasks do not wait');
  assert.ok(first.requeuedTasks.length > 0);

  // Once it is cancelled, nothing has to be run again, so all can be recorded.
  const cancelled = encodeJob({ ...first, cancelled: true });
  state.replica.applyOwnCommit([{ put: keys.job(UID), value: cancelled }], 4);
  assert.deepEqual(record(5).allocationsByMachine, {});
});
