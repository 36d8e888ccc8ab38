/** Finds the tasks on the candidates that could be preempted or are already stopping. */
import { allocationsOn, shouldRun } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { MachineRoom } from '../model/resources.js';
import { sizeOfTask } from './task-size.js';
import type { Candidate } from './types.js';

/** Identifies a task on a machine that is preempted or could be. */
export interface PreemptedTask {
  jobId: string;
  task: number;
  machineId: string;
}

/** A task on a machine that could be preempted or is already stopping. */
export interface RunningTask {
  task: PreemptedTask;
  job: JobRecord;
  /** What it takes of the machine. */
  size: Readonly<MachineRoom>;
  /** Whether it is stopping already, so that its resources will become free. */
  isStopping: boolean;
}

/** By machine, the tasks on it that could be preempted or are already stopping. */
export type RunningTasks = ReadonlyMap<string, readonly RunningTask[]>;

/** The tasks on the candidates that could be preempted or are already stopping. */
export function runningTasksOn(
  candidates: readonly Candidate[],
  jobsOn: (machineId: string) => Iterable<string>,
  jobOf: (jobId: string) => JobRecord | undefined,
): RunningTasks {
  const running = new Map<string, RunningTask[]>();
  for (const { id: machineId } of candidates) {
    const tasks: RunningTask[] = [];
    for (const jobId of jobsOn(machineId)) {
      const job = jobOf(jobId);
      if (job) addRunningTasks(tasks, machineId, jobId, job);
    }
    running.set(machineId, tasks);
  }
  return running;
}

function addRunningTasks(
  tasks: RunningTask[],
  machineId: string,
  jobId: string,
  job: JobRecord,
): void {
  const isGang = job.spec.kind === 'gang' && job.spec.tasks > 1;
  const size = sizeOfTask(jobId, job.spec);
  for (const { task } of allocationsOn(job, machineId)) {
    const isStopping = !shouldRun(job, task);
    // Preempting one task of a gang would stop it on all its machines, so gangs are not preempted.
    if (isStopping || !isGang)
      tasks.push({ task: { jobId, task, machineId }, job, size, isStopping });
  }
}
