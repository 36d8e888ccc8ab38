/** Compares what is recorded for a machine with the tasks that its worker shows. */
import {
  allocationsOn,
  shouldRun,
  type Allocation,
  type TaskOutcome,
} from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { TaskStatus, WorkerCommand } from '../model/worker.js';

/** An allocation that is over, and what shows it. */
export interface ProvenOutcome {
  jobId: string;
  allocation: Allocation;
  outcome: TaskOutcome;
  /** The worker shows the task as exited, or does not show it at all. */
  evidence: 'exited' | 'absent';
}

/** What follows from the comparison for one machine. */
export interface Reconciliation {
  /** What would make the machine do what is recorded. */
  commands: WorkerCommand[];
  outcomes: ProvenOutcome[];
}

/**
 * What a machine should do, and which allocations are over. The tasks must be fenced: shown under the owner's token, so
 * that no command of an earlier one can still change them, and with no start of this token unanswered. Only then does
 * the absence of a task prove anything.
 */
export function reconcileMachine(
  machineId: string,
  tasks: ReadonlyMap<string, TaskStatus>,
  jobs: Iterable<readonly [string, JobRecord]>,
  /** Whether a copy of the task's start that comes late could still be executed. */
  mayStartAgain: (key: string) => boolean = () => false,
): Reconciliation {
  const commands: WorkerCommand[] = [];
  const outcomes: ProvenOutcome[] = [];
  const starts: WorkerCommand[] = [];
  const recorded = new Set<string>();
  for (const [jobId, job] of jobs) {
    for (const allocation of allocationsOn(job, machineId)) {
      const taskName = `${jobId}/${String(allocation.task)}`;
      const key = taskKey(taskName, allocation.attempt);
      recorded.add(key);
      const status = tasks.get(key);
      if (status?.phase === 'exited') {
        outcomes.push({ jobId, allocation, outcome: outcomeOf(status), evidence: 'exited' });
      } else if (status) {
        const stop = stopIfUnwanted(job, allocation.task, status);
        if (stop) commands.push(stop);
      } else if (shouldRun(job, allocation.task)) {
        starts.push({ kind: 'start', taskName, attempt: allocation.attempt });
      } else {
        outcomes.push({ jobId, allocation, outcome: 'requeued', evidence: 'absent' });
      }
    }
  }
  for (const [key, status] of tasks) {
    if (recorded.has(key)) continue;
    const command = commandForUnrecorded(key, status, mayStartAgain);
    if (command) commands.push(command);
  }
  // Starts last: what is stopped or acknowledged first leaves its room.
  commands.push(...starts);
  return { commands, outcomes };
}

/** The command that ends a task that is recorded and shown, if it is not meant to go on. */
function stopIfUnwanted(job: JobRecord, task: number, status: TaskStatus): WorkerCommand | null {
  if (shouldRun(job, task)) return null;
  const mayCheckpoint = !job.cancelled && !job.gangDone;
  // The stop that made it save a checkpoint had its time: it is left to finish.
  if (mayCheckpoint && status.phase === 'checkpointing') return null;
  const gracePeriodSeconds = mayCheckpoint ? Math.ceil(job.spec.checkpointSeconds) + 1 : 0;
  const { taskName, attempt } = status;
  return { kind: 'stop', taskName, attempt, gracePeriodSeconds };
}

/** What to do about a task that the worker shows and that is not recorded there. */
function commandForUnrecorded(
  key: string,
  status: TaskStatus,
  mayStartAgain: (key: string) => boolean,
): WorkerCommand | null {
  const { taskName, attempt } = status;
  // It was never meant to run.
  if (status.phase !== 'exited') return { kind: 'stop', taskName, attempt, gracePeriodSeconds: 0 };
  // Its outcome is committed, so the worker may forget it. One that was stopped may run elsewhere by now: once it is
  // forgotten, a late copy of its start would run it here again.
  if (status.exitReason !== 'done' && mayStartAgain(key)) return null;
  return { kind: 'acknowledge', taskName, attempt };
}

function outcomeOf(status: TaskStatus): TaskOutcome {
  if (status.exitReason === 'done') return 'completed';
  return status.exitReason === 'error' ? 'failed' : 'requeued';
}

/** Names one attempt of a task. */
export function taskKey(taskName: string, attempt: number): string {
  return `${taskName}#${String(attempt)}`;
}

/** Tasks by their `taskKey`. */
export function indexTasks(tasks: readonly TaskStatus[]): Map<string, TaskStatus> {
  const index = new Map<string, TaskStatus>();
  for (const task of tasks) index.set(taskKey(task.taskName, task.attempt), task);
  return index;
}
