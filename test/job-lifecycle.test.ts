import {
  doneCount,
  finalPhase,
  newJob,
  placeTasks,
  recordOutcomes,
  type TaskOutcome,
  waitingCount,
} from '../src/model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../src/model/job.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JOB } from './fakes/world.js';

const job = (spec: Partial<JobSpec>): JobRecord => newJob({ ...JOB, ...spec }, 0);
const ended = (
  record: JobRecord,
  machine: string,
  task: number,
  attempt: number,
  outcome: TaskOutcome,
) => recordOutcomes(record, [{ allocation: { machine, task, attempt }, outcome }], 1000, 100);

/** The tasks that wait, those that are done, and the final phase. */
type Progress = [waiting: number, done: number, finalPhase: string | null];

const LIFECYCLES: { name: string; job: JobRecord; want: Progress }[] = [
  { name: 'new', job: job({ tasks: 3 }), want: [3, 0, null] },
  { name: 'placed', job: placeTasks(job({ tasks: 3 }), ['a', 'b']), want: [1, 0, null] },
  {
    name: 'one done',
    job: ended(placeTasks(job({ tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'completed'),
    want: [0, 1, null],
  },
  {
    name: 'all done',
    job: ended(placeTasks(job({ tasks: 1 }), ['a']), 'a', 0, 1, 'completed'),
    want: [0, 1, 'done'],
  },
  {
    name: 'a task that is lost waits again',
    job: ended(placeTasks(job({ tasks: 1 }), ['a']), 'a', 0, 1, 'requeued'),
    want: [1, 0, null],
  },
  {
    name: 'an outcome of another attempt changes nothing',
    job: ended(placeTasks(job({ tasks: 1 }), ['a']), 'a', 0, 9, 'completed'),
    want: [0, 0, null],
  },
  {
    name: 'a service replica that exits is wanted again',
    job: ended(placeTasks(job({ kind: 'service' }), ['a']), 'a', 0, 1, 'completed'),
    want: [1, 0, null],
  },
  {
    name: 'a broken gang waits until nothing of it is left',
    job: ended(placeTasks(job({ kind: 'gang', tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'requeued'),
    want: [0, 0, null],
  },
  {
    name: 'a gang that is gone altogether waits as a whole',
    job: ended(placeTasks(job({ kind: 'gang', tasks: 1 }), ['a']), 'a', 0, 1, 'requeued'),
    want: [1, 0, null],
  },
  {
    name: 'a gang of which one is done is done, but over only when the rest is gone',
    job: ended(placeTasks(job({ kind: 'gang', tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'completed'),
    want: [0, 2, null],
  },
  {
    name: 'cancelled with tasks about',
    job: { ...placeTasks(job({}), ['a']), cancelled: true },
    want: [0, 0, null],
  },
  { name: 'cancelled and gone', job: { ...job({}), cancelled: true }, want: [0, 0, 'cancelled'] },
];

for (const { name, job: record, want } of LIFECYCLES)
  void test(`job lifecycle: ${name}`, () => {
    assert.deepEqual([waitingCount(record), doneCount(record), finalPhase(record)], want);
  });
