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
  expected: Record<string, number>;
}[] = [
  {
    name: 'a job that cannot meet its deadline gets the class of the next multiple, then the last class',
    jobs: { a: job(1, 20), b: job(1, 8), c: job(1, 2), d: job(1, null) },
    deadlineCpus: 0,
    expected: { a: 0, b: 1, c: 2, d: 0 },
  },
  {
    name: 'the largest job is postponed if not all can be on time',
    jobs: { a: job(4, 20), b: job(1, 20), c: job(2, 25) },
    deadlineCpus: 4,
    expected: { a: 1, b: 0, c: 0 },
  },
  {
    name: 'all jobs are on time if there are enough CPUs',
    jobs: { a: job(4, 20), b: job(1, 20), c: job(2, 25) },
    deadlineCpus: 8,
    expected: { a: 0, b: 0, c: 0 },
  },
  {
    name: 'a job that is alone is never postponed',
    jobs: { a: job(100, 20) },
    deadlineCpus: 4,
    expected: { a: 0 },
  },
  {
    name: 'a job that has waited long without starting goes first',
    jobs: { a: job(100, 20), b: { ...job(100, 20), lastAttempt: 1 } },
    deadlineCpus: 4,
    wallClockMs: 200_000,
    expected: { a: AGED, b: 2 },
  },
];

for (const { name, jobs, deadlineCpus, wallClockMs = 0, expected } of CASES)
  void test(`urgency: ${name}`, () => {
    const list = Object.entries(jobs).map(([jobId, record]) => ({ jobId, job: record }));
    const classes = deadlineClasses(list, {
      wallClockMs,
      agedMs: 100_000,
      deadlineMultiples: [1, 1.5],
      deadlineCpus,
    });
    assert.deepEqual(Object.fromEntries([...classes].sort()), expected);
  });
