/** Which running tasks are preempted for which jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { placeTasks } from '../src/model/job-lifecycle.js';
import type { JobRecord } from '../src/model/job.js';
import { plan } from '../src/placement/plan.js';
import { selectPreemptions } from '../src/placement/preemption.js';
import { runningTasksOn } from '../src/placement/running-tasks.js';
import type { Candidate } from '../src/placement/types.js';
import { job, machine, snapshot } from './fakes/placement.js';

const PREEMPTIONS: {
  name: string;
  candidates: Candidate[];
  jobs: Record<string, JobRecord>;
  want: string[];
}[] = [
  {
    name: 'a higher priority preempts a lower one',
    candidates: [machine('1', { used: 4 })],
    jobs: {
      j: placeTasks(job({ priority: 'idle', cpus: 4 }), ['1']),
      k: job({ team: 'blue', priority: 'urgent' }),
    },
    want: ['j/0'],
  },
  {
    name: 'work beyond the guaranteed quota does not preempt the same priority',
    candidates: [machine('1', { used: 4 })],
    jobs: {
      j: placeTasks(job({ cpus: 4 }), ['1']),
      k: job({ team: 'blue', cpus: 6 }),
    },
    want: [],
  },
  {
    name: 'a team within its guaranteed quota preempts a team that exceeds its own',
    candidates: [machine('1', { used: 4 }), machine('2', { used: 4 })],
    jobs: {
      j: placeTasks(job({ cpus: 4, tasks: 2 }), ['1', '2']),
      k: job({ team: 'blue' }),
    },
    want: ['j/0'],
  },
  {
    // Found in a benchmark: tasks were preempted endlessly for a spread service that could not use their zone.
    name: 'nothing is preempted for a service that may not use the zone',
    candidates: [machine('1', { used: 4 }), machine('2')],
    jobs: {
      j: placeTasks(job({ priority: 'idle', cpus: 4 }), ['1']),
      k: placeTasks(
        job({
          team: 'blue',
          kind: 'service',
          priority: 'critical',
          tasks: 2,
          spreadAcrossZones: true,
        }),
        ['2'],
      ),
    },
    want: [],
  },
  {
    // Found in simulation: a service could not replace a lost replica, because arrays used up its own team's limit.
    name: 'a team at its quota limit preempts its own tasks of lower priority',
    candidates: [machine('1', { used: 4 }), machine('2', { used: 4 }), machine('3')],
    jobs: {
      j: placeTasks(job({ team: 'blue', cpus: 4, tasks: 2 }), ['1', '2']),
      k: job({ team: 'blue', kind: 'service', priority: 'critical' }),
    },
    want: ['j/0'],
  },
  {
    name: 'nothing more is preempted while earlier preemptions are freeing enough resources',
    candidates: [machine('1', { used: 4 })],
    jobs: {
      j: { ...placeTasks(job({ priority: 'idle', tasks: 2 }), ['1', '1']), preemptedTasks: [0] },
      k: job({ team: 'blue', priority: 'urgent' }),
    },
    want: [],
  },
];

const MAX_PREEMPTED_TASKS = 10;

for (const { name, candidates, jobs, want } of PREEMPTIONS)
  void test(`preemption: ${name}`, () => {
    const planned = snapshot(candidates, jobs);
    const placed = new Set(plan(planned).map(({ jobId }) => jobId));
    const unplaced = planned.jobs.filter(({ jobId }) => !placed.has(jobId));
    const jobsOn = (machineId: string): string[] =>
      Object.entries(jobs)
        .filter(([, record]) => machineId in record.allocationsByMachine)
        .map(([jobId]) => jobId);
    const running = runningTasksOn(
      candidates,
      { jobsOn, jobOf: (jobId) => jobs[jobId] },
      MAX_PREEMPTED_TASKS + 1,
    );
    const preempted = selectPreemptions(planned, unplaced, running, MAX_PREEMPTED_TASKS);
    const got = preempted.map(({ jobId, task }) => `${jobId}/${String(task)}`);
    assert.deepEqual(got, want);
  });
