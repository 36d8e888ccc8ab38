/** Compares the allocations recorded for a machine with the tasks that its worker reports. */
import {
  allocationsOn,
  runTest,
  type Allocation,
  type TaskOutcome,
} from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { TaskStatus, WorkerCommand } from '../model/worker.js';
import { taskStatusBytes } from '../protocol/heartbeat-size.js';

/** An allocation that has ended, and the evidence for it. */
export interface ProvenOutcome {
  jobId: string;
  allocation: Allocation;
  outcome: TaskOutcome;
  /** The worker reports the task as exited, or does not report it at all. */
  evidence: 'exited' | 'absent';
}

/** Result of reconciling one machine. */
export interface Reconciliation {
  /** Commands that bring the machine to the recorded state. */
  commands: WorkerCommand[];
  outcomes: ProvenOutcome[];
  /** Bytes in the heartbeats of the reported tasks that are not recorded. */
  unrecordedBytes: number;
}

/**
 * Determines the commands for a machine and the allocations that have ended. The tasks must be fenced: reported under
 * a token of the owner's range, so that no command of an earlier owner can still change them. No start request of this
 * owner may be unanswered. Otherwise the absence of a task proves nothing.
 */
export function reconcileMachine(
  machineId: string,
  tasks: ReadonlyMap<string, TaskStatus>,
  jobs: Iterable<readonly [string, JobRecord]>,
): Reconciliation {
  const commands: WorkerCommand[] = [];
  const outcomes: ProvenOutcome[] = [];
  const starts: WorkerCommand[] = [];
  const recorded = new Set<string>();
  for (const [jobId, job] of jobs) {
    const shouldRun = runTest(job);
    for (const allocation of allocationsOn(job, machineId)) {
      const taskName = `${jobId}/${String(allocation.task)}`;
      const key = taskKey(taskName, allocation.attempt);
      recorded.add(key);
      const status = tasks.get(key);
      if (status?.phase === 'exited') {
        outcomes.push({ jobId, allocation, outcome: outcomeOf(status), evidence: 'exited' });
      } else if (status) {
        const stop = shouldRun(allocation.task) ? null : stopOf(job, status);
        if (stop) commands.push(stop);
      } else if (shouldRun(allocation.task)) {
        starts.push({ kind: 'start', taskName, attempt: allocation.attempt });
      } else {
        outcomes.push({ jobId, allocation, outcome: 'requeued', evidence: 'absent' });
      }
    }
  }
  const unrecorded = unrecordedTasks(tasks, recorded);
  for (const [, status] of unrecorded) commands.push(commandForUnrecorded(status));
  // Starts come last, so that the tasks stopped or acknowledged before them have released their resources.
  commands.push(...starts);
  return { commands, outcomes, unrecordedBytes: statusBytesOf(unrecorded) };
}

/** A reported task with its `taskKey`. */
type ReportedTask = readonly [key: string, status: TaskStatus];

function unrecordedTasks(
  tasks: ReadonlyMap<string, TaskStatus>,
  recorded: ReadonlySet<string>,
): ReportedTask[] {
  const unrecorded: ReportedTask[] = [];
  for (const [key, status] of tasks) if (!recorded.has(key)) unrecorded.push([key, status]);
  return unrecorded;
}

function statusBytesOf(tasks: readonly ReportedTask[]): number {
  let bytes = 0;
  for (const [, { taskName }] of tasks) bytes += taskStatusBytes(taskName);
  return bytes;
}

/** The command that stops a recorded and reported task; null if it is already saving a checkpoint. */
function stopOf(job: JobRecord, status: TaskStatus): WorkerCommand | null {
  const mayCheckpoint = !job.cancelled && !job.gangDone;
  // A stop with a grace period has already made the task save a checkpoint: let it finish.
  if (mayCheckpoint && status.phase === 'checkpointing') return null;
  const gracePeriodSeconds = mayCheckpoint ? Math.ceil(job.spec.checkpointSeconds) + 1 : 0;
  const { taskName, attempt } = status;
  return { kind: 'stop', taskName, attempt, gracePeriodSeconds };
}

/** The command for a task that the worker reports and that is not recorded on its machine. */
function commandForUnrecorded({ taskName, attempt, phase }: TaskStatus): WorkerCommand {
  // No allocation is recorded for this task, so it must not run here.
  if (phase !== 'exited') return { kind: 'stop', taskName, attempt, gracePeriodSeconds: 0 };
  // The outcome is committed, so the worker may forget the task (see `withFencedAcknowledgements`).
  return { kind: 'acknowledge', taskName, attempt };
}

function outcomeOf(status: TaskStatus): TaskOutcome {
  if (status.exitReason === 'done') return 'completed';
  return status.exitReason === 'error' ? 'failed' : 'requeued';
}

/** Key of one attempt of a task. */
export function taskKey(taskName: string, attempt: number): string {
  return `${taskName}#${String(attempt)}`;
}

/** Indexes tasks by their `taskKey`. */
export function indexTasks(tasks: readonly TaskStatus[]): Map<string, TaskStatus> {
  const index = new Map<string, TaskStatus>();
  for (const task of tasks) index.set(taskKey(task.taskName, task.attempt), task);
  return index;
}
