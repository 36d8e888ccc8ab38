/** Commands and outcomes, by the allocations recorded for a machine and the tasks that its worker reports. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { newJob, placeTasks } from '../src/model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../src/model/job.js';
import type { ExitReason, TaskPhase, TaskStatus } from '../src/model/worker.js';
import { indexTasks, reconcileMachine } from '../src/workers/reconciliation.js';
import { JOB } from './fakes/world.js';

const job = (spec: Partial<JobSpec>): JobRecord => newJob({ ...JOB, ...spec }, 0);

const statusOf = (
  taskName: string,
  attempt: number,
  phase: TaskPhase,
  exitReason: ExitReason | null = null,
): TaskStatus => ({ taskName, attempt, phase, exitReason });

const CASES: {
  name: string;
  tasks: TaskStatus[];
  job: JobRecord;
  commands: string[];
  outcomes: string[];
}[] = [
  {
    name: 'recorded and absent: start',
    tasks: [],
    job: placeTasks(job({}), ['a']),
    commands: ['start j/0 1'],
    outcomes: [],
  },
  {
    name: 'recorded and running: no command',
    tasks: [statusOf('j/0', 1, 'running')],
    job: placeTasks(job({}), ['a']),
    commands: [],
    outcomes: [],
  },
  {
    name: 'exited and not committed yet: an outcome, and no acknowledgement',
    tasks: [statusOf('j/0', 1, 'exited', 'done')],
    job: placeTasks(job({}), ['a']),
    commands: [],
    outcomes: ['completed'],
  },
  {
    name: 'exited and no longer recorded: acknowledged',
    tasks: [statusOf('j/0', 1, 'exited', 'done')],
    job: job({}),
    commands: ['acknowledge j/0 1'],
    outcomes: [],
  },
  {
    name: 'running without a record: stop',
    tasks: [statusOf('j/0', 1, 'running')],
    job: job({}),
    commands: ['stop j/0 1 0'],
    outcomes: [],
  },
  {
    name: 'running with another attempt than the recorded one: stop it, start the recorded one',
    tasks: [statusOf('j/0', 1, 'running')],
    job: { ...placeTasks(job({}), ['a']), allocationsByMachine: { a: [0, 2] } },
    commands: ['stop j/0 1 0', 'start j/0 2'],
    outcomes: [],
  },
  {
    name: 'cancelled: stop at once',
    tasks: [statusOf('j/0', 1, 'running')],
    job: {
      ...placeTasks(job({ checkpointIntervalSeconds: 5, checkpointSeconds: 2 }), ['a']),
      cancelled: true,
    },
    commands: ['stop j/0 1 0'],
    outcomes: [],
  },
  {
    name: 'cancelled and absent: no command, the task counts as requeued',
    tasks: [],
    job: { ...placeTasks(job({}), ['a']), cancelled: true },
    commands: [],
    outcomes: ['requeued'],
  },
  {
    name: 'preempted: stop with time to save a checkpoint',
    tasks: [statusOf('j/0', 1, 'running')],
    job: {
      ...placeTasks(job({ checkpointIntervalSeconds: 5, checkpointSeconds: 2 }), ['a']),
      preemptedTasks: [0],
    },
    commands: ['stop j/0 1 3'],
    outcomes: [],
  },
  {
    name: 'preempted and saving a checkpoint: no command',
    tasks: [statusOf('j/0', 1, 'checkpointing')],
    job: {
      ...placeTasks(job({ checkpointIntervalSeconds: 5, checkpointSeconds: 2 }), ['a']),
      preemptedTasks: [0],
    },
    commands: [],
    outcomes: [],
  },
];

for (const { name, tasks, job: record, commands, outcomes } of CASES)
  void test(`reconciliation: ${name}`, () => {
    const got = reconcileMachine('a', indexTasks(tasks), [['j', record]]);
    assert.deepEqual(
      got.commands.map((command) => {
        const { kind, taskName, attempt } = command;
        const gracePeriod = kind === 'stop' ? [command.gracePeriodSeconds] : [];
        return [kind, taskName, attempt, ...gracePeriod].join(' ');
      }),
      commands,
    );
    assert.deepEqual(
      got.outcomes.map(({ outcome }) => outcome),
      outcomes,
    );
  });
