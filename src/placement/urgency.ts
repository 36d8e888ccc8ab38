/** Deadline scheduling: finds the waiting jobs that can still meet their deadlines. Pure functions of a snapshot. */
import { allocatedCount, waitingCount } from '../model/job-lifecycle.js';
import type { JobEntry } from './types.js';

/** What deadline scheduling depends on. */
export interface DeadlineOptions {
  /** Time of day, in milliseconds. */
  wallClockMs: number;
  /** Time in milliseconds after which a job that has not started goes first in its priority class. */
  agedMs: number;
  /** The multiples of a deadline that the service level objectives name, ascending. */
  deadlineMultiples: readonly number[];
  /** CPUs assumed to be available to jobs with deadlines. If 0 (unknown), the amount of work is not considered. */
  deadlineCpus: number;
}

/** Class before all others, for a job that has waited so long without starting that it might starve. */
export const AGED = -1;

/** A job with a deadline that has not been assigned a class yet. */
interface UnscheduledJob extends JobEntry {
  /** CPU time that it still needs by its user's estimate, in CPU milliseconds. */
  cpuMs: number;
}

/**
 * Assigns each job a deadline class; lower classes are more urgent. Jobs of class 0 can be done within the first of
 * `deadlineMultiples`, those of class 1 within the second, and so on; jobs of the last class will miss all of them. If
 * there is more work than can be done on time, jobs that make others late are postponed, the largest first, which
 * minimizes the number of late jobs (Moore-Hodgson algorithm).
 */
export function deadlineClasses(
  jobs: Iterable<JobEntry>,
  options: DeadlineOptions,
): Map<string, number> {
  const classes = new Map<string, number>();
  let unscheduled = classifyWithoutDeadline(jobs, options, classes);
  let scheduledCpuMs = 0;
  for (const [deadlineClass, multiple] of options.deadlineMultiples.entries()) {
    const { onTime, cpuMs } = scheduleOnTime(unscheduled, multiple, scheduledCpuMs, options);
    scheduledCpuMs = cpuMs;
    for (const { jobId } of onTime) classes.set(jobId, deadlineClass);
    unscheduled = unscheduled.filter((entry) => !onTime.has(entry));
  }
  for (const { jobId } of unscheduled) classes.set(jobId, options.deadlineMultiples.length);
  return classes;
}

/** Assigns classes to aged jobs and to jobs without a deadline; returns the other jobs. */
function classifyWithoutDeadline(
  jobs: Iterable<JobEntry>,
  { wallClockMs, agedMs }: DeadlineOptions,
  classes: Map<string, number>,
): UnscheduledJob[] {
  const unscheduled: UnscheduledJob[] = [];
  for (const { jobId, job } of jobs) {
    const hasStarted = job.lastAttempt > 0;
    if (!hasStarted && wallClockMs - job.acceptedAt > agedMs) classes.set(jobId, AGED);
    else if (job.spec.deadlineSeconds === null) classes.set(jobId, 0);
    else {
      // Tasks already on machines are assumed to be half done.
      const tasks = waitingCount(job) + allocatedCount(job) / 2;
      const cpuMs = tasks * job.spec.cpus * job.spec.expectedSeconds * 1000;
      unscheduled.push({ jobId, job, cpuMs });
    }
  }
  return unscheduled;
}

/**
 * The jobs that can be done within a multiple of their deadlines after `scheduledCpuMs` of other work, and the total
 * work including them.
 */
function scheduleOnTime(
  unscheduled: readonly UnscheduledJob[],
  multiple: number,
  scheduledCpuMs: number,
  { wallClockMs, deadlineCpus }: DeadlineOptions,
): { onTime: Set<UnscheduledJob>; cpuMs: number } {
  const deadlineOf = ({ job }: UnscheduledJob): number =>
    job.acceptedAt + (job.spec.deadlineSeconds ?? 0) * 1000 * multiple;
  const feasible = unscheduled
    .filter((entry) => wallClockMs + entry.job.spec.expectedSeconds * 1000 <= deadlineOf(entry))
    .sort((a, b) => deadlineOf(a) - deadlineOf(b));
  const onTime = new Set<UnscheduledJob>();
  let cpuMs = scheduledCpuMs;
  const isLate = (entry: UnscheduledJob): boolean =>
    wallClockMs + cpuMs / deadlineCpus > deadlineOf(entry);
  for (const entry of feasible) {
    onTime.add(entry);
    cpuMs += entry.cpuMs;
    while (deadlineCpus > 0 && onTime.size > 1 && isLate(entry)) {
      const largest = largestOf(onTime);
      onTime.delete(largest);
      cpuMs -= largest.cpuMs;
      if (largest === entry) break;
    }
  }
  return { onTime, cpuMs };
}

function largestOf(entries: ReadonlySet<UnscheduledJob>): UnscheduledJob {
  return [...entries].reduce((largest, entry) => (entry.cpuMs > largest.cpuMs ? entry : largest));
}
