import { newJob } from '../src/model/job-lifecycle.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AGED, deadlineClasses } from '../src/placement/urgency.js';
import { JOB } from './fakes/world.js';

/** Tasks of 2 CPUs and 10 s: 20 CPU seconds each. */
const job = (tasks: number, deadlineSeconds: number | null, at = 0) =>
  newJob({ ...JOB, tasks, cpus: 2, expectedSeconds: 10, deadlineSeconds }, at);

const CASES: {
  name: string;
  jobs: Record<string, ReturnType<typeof job>>;
  deadlineCpus: number;
  wallClockMs?: number;
  want: Record<string, number>;
}[] = [
  {
    name: 'what cannot be done by its deadline tries the next multiple, then waits',
    jobs: { a: job(1, 20), b: job(1, 8), c: job(1, 2), d: job(1, null) },
    deadlineCpus: 0,
    want: { a: 0, b: 1, c: 2, d: 0 },
  },
  {
    name: 'the largest is put off when not all can be in time',
    jobs: { a: job(4, 20), b: job(1, 20), c: job(2, 25) },
    deadlineCpus: 4,
    want: { a: 1, b: 0, c: 0 },
  },
  {
    name: 'all are in time when there is room for all',
    jobs: { a: job(4, 20), b: job(1, 20), c: job(2, 25) },
    deadlineCpus: 8,
    want: { a: 0, b: 0, c: 0 },
  },
  {
    name: 'one alone is never put off',
    jobs: { a: job(100, 20) },
    deadlineCpus: 4,
    want: { a: 0 },
  },
  {
    name: 'what has waited long without having started goes first',
    jobs: { a: job(100, 20), b: { ...job(100, 20), lastAttempt: 1 } },
    deadlineCpus: 4,
    wallClockMs: 200_000,
    want: { a: AGED, b: 2 },
  },
];

for (const { name, jobs, deadlineCpus, wallClockMs = 0, want } of CASES)
  void test(`urgency: ${name}`, () => {
    const list = Object.entries(jobs).map(([jobId, record]) => ({ jobId, job: record }));
    const got = deadlineClasses(list, {
      wallClockMs,
      agedMs: 100_000,
      deadlineMultiples: [1, 1.5],
      deadlineCpus,
    });
    assert.deepEqual(Object.fromEntries([...got].sort()), want);
  });
