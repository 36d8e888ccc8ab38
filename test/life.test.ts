import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  conclude,
  doneCount,
  finalState,
  newJob,
  place,
  waitingCount,
  type TaskOutcome,
} from '../src/jobs/life.js';
import type { JobRecord, JobSpec } from '../src/store/records.js';
import { difference, indexTasks } from '../src/workers/orders.js';
import type { TaskReport } from '../src/workers/report.js';
import { JOB } from './fakes/world.js';

const job = (spec: Partial<JobSpec>): JobRecord => newJob({ ...JOB, ...spec }, 0);
const ended = (record: JobRecord, box: string, task: number, attempt: number, end: TaskOutcome) =>
  conclude(record, [{ stay: { machine: box, task, attempt }, end }], 1000, 100);

const LIVES: { name: string; job: JobRecord; want: [number, number, string | null] }[] = [
  { name: 'new', job: job({ tasks: 3 }), want: [3, 0, null] },
  { name: 'placed', job: place(job({ tasks: 3 }), ['a', 'b']), want: [1, 0, null] },
  {
    name: 'one done',
    job: ended(place(job({ tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'done'),
    want: [0, 1, null],
  },
  {
    name: 'all done',
    job: ended(place(job({ tasks: 1 }), ['a']), 'a', 0, 1, 'done'),
    want: [0, 1, 'done'],
  },
  {
    name: 'a task that is lost waits again',
    job: ended(place(job({ tasks: 1 }), ['a']), 'a', 0, 1, 'back'),
    want: [1, 0, null],
  },
  {
    name: 'an end of another attempt changes nothing',
    job: ended(place(job({ tasks: 1 }), ['a']), 'a', 0, 9, 'done'),
    want: [0, 0, null],
  },
  {
    name: 'a service replica that exits is wanted again',
    job: ended(place(job({ shape: 'standing' }), ['a']), 'a', 0, 1, 'done'),
    want: [1, 0, null],
  },
  {
    name: 'a broken gang waits until nothing of it is left',
    job: ended(place(job({ shape: 'group', tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'back'),
    want: [0, 0, null],
  },
  {
    name: 'a gang that is gone altogether waits as a whole',
    job: ended(place(job({ shape: 'group', tasks: 1 }), ['a']), 'a', 0, 1, 'back'),
    want: [1, 0, null],
  },
  {
    name: 'a gang of which one is done is done, but over only when the rest is gone',
    job: ended(place(job({ shape: 'group', tasks: 2 }), ['a', 'b']), 'a', 0, 1, 'done'),
    want: [0, 2, null],
  },
  {
    name: 'cancelled with tasks about',
    job: { ...place(job({}), ['a']), cancelled: true },
    want: [0, 0, null],
  },
  { name: 'cancelled and gone', job: { ...job({}), cancelled: true }, want: [0, 0, 'cancelled'] },
];

for (const { name, job: record, want } of LIVES)
  void test(`life: ${name}`, () => {
    assert.deepEqual([waitingCount(record), doneCount(record), finalState(record)], want);
  });

const shown = (task: string, attempt: number, phase: TaskReport['phase'], cause?: string) => ({
  task,
  try: attempt,
  phase,
  ...(cause === undefined ? {} : { cause }),
});

const DIFFERENCES: {
  name: string;
  tasks: TaskReport[];
  job: JobRecord;
  orders: string[];
  endings: string[];
}[] = [
  {
    name: 'recorded and absent: launch',
    tasks: [],
    job: place(job({}), ['a']),
    orders: ['launch j/0 1'],
    endings: [],
  },
  {
    name: 'recorded and running: nothing',
    tasks: [shown('j/0', 1, 'running')],
    job: place(job({}), ['a']),
    orders: [],
    endings: [],
  },
  {
    name: 'exited and not committed yet: an ending, and no reap',
    tasks: [shown('j/0', 1, 'exited', 'done')],
    job: place(job({}), ['a']),
    orders: [],
    endings: ['done'],
  },
  {
    name: 'exited and no longer recorded: reap',
    tasks: [shown('j/0', 1, 'exited', 'done')],
    job: job({}),
    orders: ['reap j/0 1'],
    endings: [],
  },
  {
    name: 'running without a record: halt',
    tasks: [shown('j/0', 1, 'running')],
    job: job({}),
    orders: ['halt j/0 1 0'],
    endings: [],
  },
  {
    name: 'another attempt than the recorded one: halt that, launch this',
    tasks: [shown('j/0', 1, 'running')],
    job: { ...place(job({}), ['a']), r: { a: [0, 2] } },
    orders: ['halt j/0 1 0', 'launch j/0 2'],
    endings: [],
  },
  {
    name: 'cancelled: halt at once',
    tasks: [shown('j/0', 1, 'running')],
    job: { ...place(job({ snapshot_s: 5, flush_s: 2 }), ['a']), cancelled: true },
    orders: ['halt j/0 1 0'],
    endings: [],
  },
  {
    name: 'cancelled and absent: gone',
    tasks: [],
    job: { ...place(job({}), ['a']), cancelled: true },
    orders: [],
    endings: ['back'],
  },
  {
    name: 'told to stop: halt with time to save',
    tasks: [shown('j/0', 1, 'running')],
    job: { ...place(job({ snapshot_s: 5, flush_s: 2 }), ['a']), stop: [0] },
    orders: ['halt j/0 1 3'],
    endings: [],
  },
  {
    name: 'saving: left alone',
    tasks: [shown('j/0', 1, 'saving')],
    job: { ...place(job({ snapshot_s: 5, flush_s: 2 }), ['a']), stop: [0] },
    orders: [],
    endings: [],
  },
];

for (const { name, tasks, job: record, orders, endings } of DIFFERENCES)
  void test(`difference: ${name}`, () => {
    const got = difference('a', indexTasks(tasks), [['j', record]]);
    assert.deepEqual(
      got.orders.map(({ verb, task, try: attempt, drain_s }) =>
        [verb, task, attempt, drain_s].filter((part) => part !== undefined).join(' '),
      ),
      orders,
    );
    assert.deepEqual(
      [...got.endings.values()].flat().map(({ end }) => end),
      endings,
    );
  });
