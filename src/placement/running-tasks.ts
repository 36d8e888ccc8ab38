/** Finds the tasks on the candidates that could be preempted or are already stopping. */
import { allocationsOn, runTest } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { MachineRoom } from '../model/resources.js';
import { sizeOfTask } from './task-size.js';
import type { Candidate, JobEntry } from './types.js';

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

/** The jobs on machines, and their records. */
export interface JobsOnMachines {
  jobsOn: (machineId: string) => Iterable<string>;
  jobOf: (jobId: string) => JobRecord | undefined;
}

/**
 * The tasks on the candidates that could be preempted or are already stopping. Of those of one job on one machine that
 * could be preempted, only `maxPerJob` are listed, as more would not be preempted at once.
 */
export function runningTasksOn(
  candidates: readonly Candidate[],
  { jobsOn, jobOf }: JobsOnMachines,
  maxPerJob: number,
): RunningTasks {
  const running = new Map<string, RunningTask[]>();
  for (const { id: machineId } of candidates) {
    const tasks: RunningTask[] = [];
    for (const jobId of jobsOn(machineId)) {
      const job = jobOf(jobId);
      if (job) tasks.push(...runningTasksOf({ jobId, job }, machineId, maxPerJob));
    }
    running.set(machineId, tasks);
  }
  return running;
}

function runningTasksOf(
  { jobId, job }: JobEntry,
  machineId: string,
  maxPreemptible: number,
): RunningTask[] {
  // Preempting one task of a gang would stop it on all its machines, so gangs are not preempted.
  const isGang = job.spec.kind === 'gang' && job.spec.tasks > 1;
  const size = sizeOfTask(jobId, job.spec);
  const shouldRun = runTest(job);
  const tasks: RunningTask[] = [];
  let preemptible = 0;
  for (const { task } of allocationsOn(job, machineId)) {
    const isStopping = !shouldRun(task);
    const isPreemptible = !isGang && preemptible < maxPreemptible;
    if (!isStopping && !isPreemptible) continue;
    if (!isStopping) preemptible++;
    tasks.push({ task: { jobId, task, machineId }, job, size, isStopping });
  }
  return tasks;
}
