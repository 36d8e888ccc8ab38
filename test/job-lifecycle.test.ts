/** How placements, task outcomes and cancellations change what a job waits for and its final phase. */
import {
  doneCount,
  finalPhase,
  newJob,
  placeTasks,
  recordOutcomes,
  type Allocation,
  type TaskOutcome,
  waitingCount,
} from '../src/model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../src/model/job.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JOB } from './fakes/world.js';

const job = (spec: Partial<JobSpec>): JobRecord => newJob({ ...JOB, ...spec }, 0);
/** The job after one outcome was recorded, by default of its task 0. */
const withOutcome = (
  record: JobRecord,
  outcome: TaskOutcome,
  allocation: Partial<Allocation> = {},
): JobRecord => {
  const fullAllocation = { machine: 'a', task: 0, attempt: 1, ...allocation };
  return recordOutcomes(record, [{ allocation: fullAllocation, outcome }], 1000, 100);
};

/** Number of waiting tasks, number of completed tasks, and the final phase. */
type Progress = [waiting: number, done: number, finalPhase: string | null];

const LIFECYCLES: { name: string; job: JobRecord; want: Progress }[] = [
  { name: 'new', job: job({ tasks: 3 }), want: [3, 0, null] },
  { name: 'placed', job: placeTasks(job({ tasks: 3 }), ['a', 'b']), want: [1, 0, null] },
  {
    name: 'one done',
    job: withOutcome(placeTasks(job({ tasks: 2 }), ['a', 'b']), 'completed'),
    want: [0, 1, null],
  },
  {
    name: 'all done',
    job: withOutcome(placeTasks(job({ tasks: 1 }), ['a']), 'completed'),
    want: [0, 1, 'done'],
  },
  {
    name: 'a lost task waits again',
    job: withOutcome(placeTasks(job({ tasks: 1 }), ['a']), 'requeued'),
    want: [1, 0, null],
  },
  {
    name: 'the outcome of another attempt changes nothing',
    job: withOutcome(placeTasks(job({ tasks: 1 }), ['a']), 'completed', { attempt: 9 }),
    want: [0, 0, null],
  },
  {
    name: 'a service replica that exits waits again',
    job: withOutcome(placeTasks(job({ kind: 'service' }), ['a']), 'completed'),
    want: [1, 0, null],
  },
  {
    name: 'a broken gang does not wait for placement before all its tasks have ended',
    job: withOutcome(placeTasks(job({ kind: 'gang', tasks: 2 }), ['a', 'b']), 'requeued'),
    want: [0, 0, null],
  },
  {
    name: 'a gang whose tasks have all ended waits as a whole',
    job: withOutcome(placeTasks(job({ kind: 'gang', tasks: 1 }), ['a']), 'requeued'),
    want: [1, 0, null],
  },
  {
    name: 'all tasks of a gang count as done when one has completed, but the gang is final only when all have ended',
    job: withOutcome(placeTasks(job({ kind: 'gang', tasks: 2 }), ['a', 'b']), 'completed'),
    want: [0, 2, null],
  },
  {
    name: 'cancelled while a task is allocated',
    job: { ...placeTasks(job({}), ['a']), cancelled: true },
    want: [0, 0, null],
  },
  {
    name: 'cancelled without allocated tasks',
    job: { ...job({}), cancelled: true },
    want: [0, 0, 'cancelled'],
  },
];

for (const { name, job: record, want } of LIFECYCLES)
  void test(`job lifecycle: ${name}`, () => {
    assert.deepEqual([waitingCount(record), doneCount(record), finalPhase(record)], want);
  });

const FAILURES: { failures: number; delayMs: number | undefined }[] = [
  { failures: 1, delayMs: undefined },
  { failures: 2, delayMs: 200 },
  { failures: 3, delayMs: 400 },
  { failures: 6, delayMs: 3200 },
  { failures: 9, delayMs: 3200 },
];

/** A job whose only task has failed this many times, each time on a different machine. */
function failing(failures: number): JobRecord {
  let record = job({ tasks: 1 });
  for (let attempt = 1; attempt <= failures; attempt++) {
    const machine = `i-${String(attempt)}`;
    record = withOutcome(placeTasks(record, [machine]), 'failed', { machine, attempt });
  }
  return record;
}

for (const { failures, delayMs } of FAILURES)
  void test(`job lifecycle: the delay of the next attempt after ${String(failures)} failures`, () => {
    const { failures: counted, notBefore, requeuedTasks } = failing(failures);
    assert.equal(counted, failures);
    assert.equal(notBefore, delayMs === undefined ? undefined : 1000 + delayMs);
    assert.deepEqual(requeuedTasks, [0]);
  });

void test('job lifecycle: the four machines where a job failed last are avoided until a task completes', () => {
  const failed = failing(6);
  assert.deepEqual(failed.avoidedMachines, ['i-3', 'i-4', 'i-5', 'i-6']);
  const { failures, notBefore, avoidedMachines } = withOutcome(
    placeTasks(failed, ['a']),
    'completed',
    { attempt: 7 },
  );
  assert.deepEqual([failures, notBefore, avoidedMachines], [undefined, undefined, undefined]);
});
