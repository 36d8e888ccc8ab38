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
import type { TaskPhase, TaskStatus } from '../src/model/worker.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { reconcileMachine, indexTasks } from '../src/workers/orders.js';
import { JOB } from './fakes/world.js';

const job = (spec: Partial<JobSpec>): JobRecord => newJob({ ...JOB, ...spec }, 0);
const ended = (record: JobRecord, box: string, task: number, attempt: number, end: TaskOutcome) =>
  recordOutcomes(
    record,
    [{ allocation: { machine: box, task, attempt }, outcome: end }],
    1000,
    100,
  );

const LIVES: { name: string; job: JobRecord; want: [number, number, string | null] }[] = [
  { name: 'new', job: job({ tasks: 3 }), want: [3, 0, null] },
  { name: 'placed', job: placeTasks(job({ tasks: 3 }), ['a', 'b']), want: [1, 0, null] },
  {
    name: 'one done',
    job: ended(placeTasks(job({ tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'done'),
    want: [0, 1, null],
  },
  {
    name: 'all done',
    job: ended(placeTasks(job({ tasks: 1 }), ['a']), 'a', 0, 1, 'done'),
    want: [0, 1, 'done'],
  },
  {
    name: 'a task that is lost waits again',
    job: ended(placeTasks(job({ tasks: 1 }), ['a']), 'a', 0, 1, 'back'),
    want: [1, 0, null],
  },
  {
    name: 'an end of another attempt changes nothing',
    job: ended(placeTasks(job({ tasks: 1 }), ['a']), 'a', 0, 9, 'done'),
    want: [0, 0, null],
  },
  {
    name: 'a service replica that exits is wanted again',
    job: ended(placeTasks(job({ kind: 'service' }), ['a']), 'a', 0, 1, 'done'),
    want: [1, 0, null],
  },
  {
    name: 'a broken gang waits until nothing of it is left',
    job: ended(placeTasks(job({ kind: 'gang', tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'back'),
    want: [0, 0, null],
  },
  {
    name: 'a gang that is gone altogether waits as a whole',
    job: ended(placeTasks(job({ kind: 'gang', tasks: 1 }), ['a']), 'a', 0, 1, 'back'),
    want: [1, 0, null],
  },
  {
    name: 'a gang of which one is done is done, but over only when the rest is gone',
    job: ended(placeTasks(job({ kind: 'gang', tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'done'),
    want: [0, 2, null],
  },
  {
    name: 'cancelled with tasks about',
    job: { ...placeTasks(job({}), ['a']), cancelled: true },
    want: [0, 0, null],
  },
  { name: 'cancelled and gone', job: { ...job({}), cancelled: true }, want: [0, 0, 'cancelled'] },
];

for (const { name, job: record, want } of LIVES)
  void test(`life: ${name}`, () => {
    assert.deepEqual([waitingCount(record), doneCount(record), finalPhase(record)], want);
  });

const shown = (
  taskName: string,
  attempt: number,
  phase: TaskPhase,
  exitReason: string | null = null,
): TaskStatus => ({ taskName, attempt, phase, exitReason });

const DIFFERENCES: {
  name: string;
  tasks: TaskStatus[];
  job: JobRecord;
  orders: string[];
  endings: string[];
}[] = [
  {
    name: 'recorded and absent: start',
    tasks: [],
    job: placeTasks(job({}), ['a']),
    orders: ['start j/0 1'],
    endings: [],
  },
  {
    name: 'recorded and running: nothing',
    tasks: [shown('j/0', 1, 'running')],
    job: placeTasks(job({}), ['a']),
    orders: [],
    endings: [],
  },
  {
    name: 'exited and not committed yet: an outcome, and no acknowledgement',
    tasks: [shown('j/0', 1, 'exited', 'done')],
    job: placeTasks(job({}), ['a']),
    orders: [],
    endings: ['done'],
  },
  {
    name: 'exited and no longer recorded: acknowledged',
    tasks: [shown('j/0', 1, 'exited', 'done')],
    job: job({}),
    orders: ['acknowledge j/0 1'],
    endings: [],
  },
  {
    name: 'running without a record: stop',
    tasks: [shown('j/0', 1, 'running')],
    job: job({}),
    orders: ['stop j/0 1 0'],
    endings: [],
  },
  {
    name: 'another attempt than the recorded one: stop that, start this',
    tasks: [shown('j/0', 1, 'running')],
    job: { ...placeTasks(job({}), ['a']), allocationsByMachine: { a: [0, 2] } },
    orders: ['stop j/0 1 0', 'start j/0 2'],
    endings: [],
  },
  {
    name: 'cancelled: stop at once',
    tasks: [shown('j/0', 1, 'running')],
    job: {
      ...placeTasks(job({ checkpointIntervalSeconds: 5, checkpointSeconds: 2 }), ['a']),
      cancelled: true,
    },
    orders: ['stop j/0 1 0'],
    endings: [],
  },
  {
    name: 'cancelled and absent: gone',
    tasks: [],
    job: { ...placeTasks(job({}), ['a']), cancelled: true },
    orders: [],
    endings: ['back'],
  },
  {
    name: 'preempted: stop with time to save a checkpoint',
    tasks: [shown('j/0', 1, 'running')],
    job: {
      ...placeTasks(job({ checkpointIntervalSeconds: 5, checkpointSeconds: 2 }), ['a']),
      preemptedTasks: [0],
    },
    orders: ['stop j/0 1 3'],
    endings: [],
  },
  {
    name: 'saving a checkpoint: left alone',
    tasks: [shown('j/0', 1, 'checkpointing')],
    job: {
      ...placeTasks(job({ checkpointIntervalSeconds: 5, checkpointSeconds: 2 }), ['a']),
      preemptedTasks: [0],
    },
    orders: [],
    endings: [],
  },
];

for (const { name, tasks, job: record, orders, endings } of DIFFERENCES)
  void test(`difference: ${name}`, () => {
    const got = reconcileMachine('a', indexTasks(tasks), [['j', record]]);
    assert.deepEqual(
      got.commands.map((command) => {
        const { kind, taskName, attempt } = command;
        const gracePeriod = kind === 'stop' ? [command.gracePeriodSeconds] : [];
        return [kind, taskName, attempt, ...gracePeriod].join(' ');
      }),
      orders,
    );
    assert.deepEqual(
      [...got.outcomes.values()].flat().map(({ end }) => end),
      endings,
    );
  });
