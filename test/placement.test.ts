/** Which machines the placement plan assigns to which jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { placeTasks } from '../src/model/job-lifecycle.js';
import type { JobRecord } from '../src/model/job.js';
import { plan } from '../src/placement/plan.js';
import type { Candidate } from '../src/placement/types.js';
import { GPU_SIZE, job, machine, snapshot } from './fakes/placement.js';

const CASES: {
  name: string;
  candidates: Candidate[];
  jobs: Record<string, JobRecord>;
  want: Record<string, string[]>;
}[] = [
  {
    name: 'a machine that has the image is preferred to one with more free resources',
    candidates: [machine('1'), machine('2', { used: 2, images: new Set(['img-0']) })],
    jobs: { j: job({}) },
    want: { j: ['2'] },
  },
  {
    name: 'if no machine has the image, the one with the most free resources is preferred',
    candidates: [machine('1', { used: 2 }), machine('2')],
    jobs: { j: job({}) },
    want: { j: ['2'] },
  },
  {
    name: 'a team gets no more than its quota limit',
    candidates: [machine('1'), machine('2'), machine('3'), machine('4')],
    jobs: { j: job({ team: 'blue', tasks: 9 }) },
    want: { j: ['1', '1', '2', '2'] },
  },
  {
    name: 'a team within its guaranteed quota comes before one that exceeds its own',
    candidates: [machine('1', { used: 2 })],
    jobs: {
      j: {
        ...job({ team: 'red', tasks: 3 }),
        firstUnplacedTask: 2,
        allocationsByMachine: { '9': [0, 1, 1, 1] },
      },
      k: job({ team: 'blue' }, 5),
    },
    want: { k: ['1'] },
  },
  {
    name: 'priority comes before fair share',
    candidates: [machine('1', { used: 2 })],
    jobs: {
      j: {
        ...job({ priority: 'critical', tasks: 3 }),
        firstUnplacedTask: 2,
        allocationsByMachine: { '9': [0, 1, 1, 1] },
      },
      k: job({ team: 'blue' }),
    },
    want: { j: ['1'] },
  },
  {
    name: 'one task of the oldest aged array comes before all priorities',
    candidates: [machine('1', { used: 2 })],
    jobs: {
      j: job({ priority: 'critical' }),
      k: job({ priority: 'idle', tasks: 5 }, -300_000),
      l: job({ priority: 'idle', tasks: 5 }, -200_000),
    },
    want: { k: ['1'] },
  },
  {
    name: 'the other tasks of aged arrays come after higher priorities',
    candidates: [machine('1')],
    jobs: {
      j: job({ priority: 'critical' }),
      k: job({ priority: 'idle', tasks: 5 }, -300_000),
      l: job({ priority: 'idle', tasks: 5 }, -200_000),
    },
    want: { j: ['1'], k: ['1'] },
  },
  {
    name: 'a spread job puts at most half of its tasks, rounded up, into a zone',
    candidates: [machine('1'), machine('2')],
    jobs: { j: job({ kind: 'service', spreadAcrossZones: true, tasks: 3 }) },
    want: { j: ['1', '2'] },
  },
  {
    name: 'a gang takes all its machines or none',
    candidates: [machine('1'), machine('2', { used: 2 })],
    jobs: { j: job({ kind: 'gang', tasks: 3, cpus: 4 }), k: job({ team: 'blue' }) },
    want: { k: ['1'] },
  },
  {
    name: 'a gang that must run in one zone is not split over two',
    candidates: [machine('1'), machine('2', { zone: 'y' }), machine('3', { zone: 'y' })],
    jobs: { j: job({ kind: 'gang', tasks: 2, cpus: 4, singleZone: true }) },
    want: { j: ['2', '3'] },
  },
  {
    name: 'only jobs that allow it go to spot machines',
    candidates: [machine('1', { spot: true })],
    jobs: { j: job({}), k: job({ spot: true }) },
    want: { k: ['1'] },
  },
  {
    name: 'a service is not placed on GPU machines',
    candidates: [machine('1', { capacity: GPU_SIZE })],
    jobs: { j: job({ kind: 'service' }) },
    want: {},
  },
  {
    name: 'a job is not placed during its backoff after failures',
    candidates: [machine('1')],
    jobs: { j: { ...job({}), notBefore: 1 } },
    want: {},
  },
  {
    name: 'a job is not placed on the machine where it failed last',
    candidates: [machine('1'), machine('2', { used: 2 })],
    jobs: { j: { ...job({}), avoidedMachines: ['1'] } },
    want: { j: ['2'] },
  },
  {
    name: 'a job that can still meet its deadline comes before one that cannot',
    candidates: [machine('1', { used: 2 })],
    jobs: { j: job({ deadlineSeconds: 1 }), k: job({ deadlineSeconds: 60 }) },
    want: { k: ['1'] },
  },
  {
    // Found in simulation: small jobs of the gang's own team took all quota that became free below the team's limit.
    name: "a gang waiting at its team's quota limit keeps lower priorities from taking quota that becomes free",
    candidates: [machine('1'), machine('2'), machine('3')],
    jobs: {
      i: placeTasks(job({ team: 'blue', tasks: 3 }), ['9', '9', '9']),
      j: job({ team: 'blue', kind: 'gang', priority: 'urgent', tasks: 2 }),
      k: job({ team: 'blue' }),
    },
    want: {},
  },
  {
    name: 'a gang that is not blocked by lower priorities alone reserves nothing',
    candidates: [machine('1'), machine('2'), machine('3')],
    jobs: {
      i: placeTasks(job({ team: 'blue', priority: 'critical', tasks: 3 }), ['9', '9', '9']),
      j: job({ team: 'blue', kind: 'gang', priority: 'urgent', tasks: 2 }),
      k: job({ team: 'blue' }),
    },
    want: { k: ['1'] },
  },
  {
    name: 'a cancelled job gets nothing',
    candidates: [machine('1')],
    jobs: { j: { ...job({}), cancelled: true } },
    want: {},
  },
];

for (const { name, candidates, jobs, want } of CASES)
  void test(`plan: ${name}`, () => {
    const got = Object.fromEntries(
      plan(snapshot(candidates, jobs)).map(({ jobId, machineIds }) => [jobId, machineIds]),
    );
    assert.deepEqual(got, want);
  });
