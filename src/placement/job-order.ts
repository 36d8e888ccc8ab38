/** The order in which a team's waiting jobs are served. */
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

/** Order in a team: by priority, then by deadline class, then by deadline, then by acceptance. */
export function compareJobs(snapshot: Snapshot, a: JobEntry, b: JobEntry): number {
  return (
    priorityIndex(a.job.spec.priority) - priorityIndex(b.job.spec.priority) ||
    urgencyOf(snapshot, a.jobId) - urgencyOf(snapshot, b.jobId) ||
    deadlineOf(a.job) - deadlineOf(b.job) ||
    compareAcceptance(a, b)
  );
}

/** Time of day by which the job should be done, or of its acceptance if it has no deadline; in milliseconds. */
function deadlineOf(job: JobRecord): number {
  const { deadlineSeconds } = job.spec;
  return job.acceptedAt + (deadlineSeconds === null ? 0 : deadlineSeconds * 1000);
}

function compareAcceptance(a: JobEntry, b: JobEntry): number {
  return a.job.acceptedAt - b.job.acceptedAt || compareNames(a.jobId, b.jobId);
}

/** Whether the job is an array that has aged without starting: it starts with one task, the others wait their turn. */
export function isAgedArray(snapshot: Snapshot, { jobId, job }: JobEntry): boolean {
  return job.spec.kind === 'array' && urgencyOf(snapshot, jobId) === AGED;
}

/**
 * The aged array that has waited longest. On a fleet that higher priorities fill it would never start in its own
 * priority class. One at a time goes before all priorities and no more, since there may be hundreds of them.
 */
export function oldestAgedArray(snapshot: Snapshot, jobs: readonly JobEntry[]): string | undefined {
  const aged = jobs.filter((entry) => isAgedArray(snapshot, entry));
  return aged.sort(compareAcceptance)[0]?.jobId;
}
