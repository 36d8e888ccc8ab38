/** Tasks on the candidates that could be preempted, or are stopping. */
import { allocationsOn, shouldRun } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { Candidate } from './types.js';

/** A task that is to stop. */
export interface PreemptedTask {
  jobId: string;
  task: number;
  machineId: string;
}

/** A task on a machine that can be stopped there, or is stopping. */
export interface RunningTask {
  task: PreemptedTask;
  job: JobRecord;
  /** Told to stop already, so that its resources will be free. */
  isStopping: boolean;
}

/** Machine to the tasks on it that could stop or are stopping. */
export type RunningTasks = ReadonlyMap<string, readonly RunningTask[]>;

/** The tasks on the candidates that could stop or are stopping. */
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
  for (const { task } of allocationsOn(job, machineId)) {
    const isStopping = !shouldRun(job, task);
    // A gang would have to stop on all its machines, so its tasks are not preempted.
    if (isStopping || !isGang) tasks.push({ task: { jobId, task, machineId }, job, isStopping });
  }
}
