/** The status of a job as reported to users. */
import { allocatedCount, doneCount } from '../model/job-lifecycle.js';
import type { FinalState, JobRecord } from '../model/job.js';
import type { JobStatus } from '../protocol/users.js';
import type { FoundJob } from './job-lookup.js';

/** The status of a job that was found. */
export function statusOf(jobId: string, found: FoundJob): JobStatus {
  return found.kind === 'live'
    ? liveStatus(jobId, found.job)
    : finalStatus(jobId, found.finalState);
}

/** The status of a job whose final state is recorded. */
export function finalStatus(jobId: string, { phase, tasks }: FinalState): JobStatus {
  const doneTasks = phase === 'done' ? tasks : 0;
  return { jobId, phase, doneTasks, runningTasks: 0 };
}

function liveStatus(jobId: string, job: JobRecord): JobStatus {
  const runningTasks = allocatedCount(job);
  const uncancelledPhase = runningTasks > 0 ? 'running' : 'pending';
  const phase = job.cancelled ? 'cancelled' : uncancelledPhase;
  return { jobId, phase, doneTasks: doneCount(job), runningTasks };
}
