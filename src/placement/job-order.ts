/** The order in which a team's waiting jobs are placed. */
import type { JobRecord } from '../model/job.js';
import { compareNames } from '../util/order.js';
import { priorityIndex } from './priority.js';
import type { JobEntry, Snapshot } from './types.js';
import { AGED, deadlineClasses } from './urgency.js';

/** The job's deadline class, see `deadlineClasses`; computed once for each snapshot. */
export function urgencyOf(snapshot: Snapshot, jobId: string): number {
  snapshot.deadlineClassByJob ??= deadlineClasses(snapshot.jobs, snapshot);
  return snapshot.deadlineClassByJob.get(jobId) ?? 0;
}

/** Compares jobs of one team: by priority, deadline class, deadline, and time of acceptance, in this order. */
export function compareJobs(snapshot: Snapshot, a: JobEntry, b: JobEntry): number {
  return (
    priorityIndex(a.job.spec.priority) - priorityIndex(b.job.spec.priority) ||
    urgencyOf(snapshot, a.jobId) - urgencyOf(snapshot, b.jobId) ||
    deadlineOf(a.job) - deadlineOf(b.job) ||
    compareAcceptance(a, b)
  );
}

/** The job's deadline as a time of day in milliseconds; its time of acceptance if it has no deadline. */
function deadlineOf(job: JobRecord): number {
  const { deadlineSeconds } = job.spec;
  return job.acceptedAt + (deadlineSeconds === null ? 0 : deadlineSeconds * 1000);
}

function compareAcceptance(a: JobEntry, b: JobEntry): number {
  return a.job.acceptedAt - b.job.acceptedAt || compareNames(a.jobId, b.jobId);
}

/** Whether the job is an array in the aged class. Only one of its tasks is placed early; the others wait as usual. */
export function isAgedArray(snapshot: Snapshot, { jobId, job }: JobEntry): boolean {
  return job.spec.kind === 'array' && urgencyOf(snapshot, jobId) === AGED;
}

/**
 * The aged array that has waited longest. It is placed before jobs of all priorities, because on a fleet filled by
 * higher priorities it would never start otherwise. Only one array at a time gets this precedence, since there may be
 * hundreds of aged arrays.
 */
export function oldestAgedArray(snapshot: Snapshot, jobs: readonly JobEntry[]): string | undefined {
  const aged = jobs.filter((entry) => isAgedArray(snapshot, entry));
  return aged.sort(compareAcceptance)[0]?.jobId;
}
