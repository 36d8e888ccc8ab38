/** Deadline scheduling: which waiting jobs can still meet their deadlines. Pure functions of a snapshot. */
import { allocatedCount, waitingCount } from '../model/job-lifecycle.js';
import type { JobEntry } from './types.js';

/** What deadline scheduling depends on. */
export interface DeadlineOptions {
  /** Time of day, in milliseconds. */
  wallClockMs: number;
  /** A job that has waited longer than this without having started goes first in its priority class, in milliseconds. */
  agedMs: number;
  /** The multiples of a deadline that the service level objectives name, ascending. */
  deadlineMultiples: readonly number[];
  /** CPUs that jobs with deadlines can count on; 0 if that is not known. */
  deadlineCpus: number;
}

/** Before all other classes: the job has waited so long without having started that it might starve. */
export const AGED = -1;

/** A job with a deadline that is in no class yet. */
interface Unscheduled extends JobEntry {
  /** CPU time that it still takes by its user's estimate, in CPU milliseconds. */
  cpuMs: number;
}

/**
 * Job to deadline class; the lower, the more urgent. Class 0 can be done by its deadline, class 1 by the next of
 * `deadlineMultiples`, and so on; the last class cannot be on time any more. If there is more work than can be
 * done on time, jobs that make others late are postponed, the largest first: that leaves the fewest late jobs
 * (Moore and Hodgson's algorithm).
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

/** Puts aged jobs and those without a deadline into their classes; returns the others. */
function classifyWithoutDeadline(
  jobs: Iterable<JobEntry>,
  { wallClockMs, agedMs }: DeadlineOptions,
  classes: Map<string, number>,
): Unscheduled[] {
  const unscheduled: Unscheduled[] = [];
  for (const { jobId, job } of jobs) {
    const hasStarted = job.lastAttempt > 0;
    if (!hasStarted && wallClockMs - job.acceptedAt > agedMs) classes.set(jobId, AGED);
    else if (job.spec.deadlineSeconds === null) classes.set(jobId, 0);
    else {
      // Tasks that run are taken to be half done.
      const tasks = waitingCount(job) + allocatedCount(job) / 2;
      const cpuMs = tasks * job.spec.cpus * job.spec.expectedSeconds * 1000;
      unscheduled.push({ jobId, job, cpuMs });
    }
  }
  return unscheduled;
}

/** The jobs that can be done by a multiple of their deadlines after `scheduledCpuMs` of other work, and the work up to then. */
function scheduleOnTime(
  unscheduled: readonly Unscheduled[],
  multiple: number,
  scheduledCpuMs: number,
  { wallClockMs, deadlineCpus }: DeadlineOptions,
): { onTime: Set<Unscheduled>; cpuMs: number } {
  const deadlineOf = ({ job }: Unscheduled): number =>
    job.acceptedAt + (job.spec.deadlineSeconds ?? 0) * 1000 * multiple;
  const feasible = unscheduled
    .filter((entry) => wallClockMs + entry.job.spec.expectedSeconds * 1000 <= deadlineOf(entry))
    .sort((a, b) => deadlineOf(a) - deadlineOf(b));
  const onTime = new Set<Unscheduled>();
  let cpuMs = scheduledCpuMs;
  const isLate = (entry: Unscheduled): boolean =>
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

function largestOf(entries: ReadonlySet<Unscheduled>): Unscheduled {
  return [...entries].reduce((largest, entry) => (entry.cpuMs > largest.cpuMs ? entry : largest));
}
