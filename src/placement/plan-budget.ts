/** Bounds the work of one plan, however many tasks a job has. */
import type { QueuedJob } from './queued-job.js';

/**
 * Candidates that may be examined for one job, per task that a transaction has room for. Tasks of services and spread
 * jobs are placed one by one, and each examines all candidates.
 */
const EXAMINED_CANDIDATES_PER_TASK = 4;

/** How many tasks of one job, each of that many bytes in a record, may be placed one by one. */
export function maxSingleTasks(
  maxBytes: number,
  allocationBytes: number,
  candidates: number,
): number {
  const examined = (maxBytes / allocationBytes) * EXAMINED_CANDIDATES_PER_TASK;
  return Math.max(1, Math.floor(examined / Math.max(1, candidates)));
}

/**
 * The bytes of allocations that a plan may still make. Each job leaves at least as much as it takes, so that a large
 * job cannot keep the jobs behind it out of the transaction.
 */
export class PlanBudget {
  private bytesLeft: number;

  constructor(
    private readonly maxBytes: number,
    /** Number of machines to choose from. */
    private readonly candidates: number,
  ) {
    this.bytesLeft = maxBytes;
  }

  /** How many more tasks of a job the plan may place; for a gang all or none. */
  tasksFor({ job: { spec }, machineIds, waiting, allocationBytes }: QueuedJob): number {
    const tasksLeft = Math.floor(this.bytesLeft / allocationBytes);
    if (spec.kind === 'gang') return waiting <= tasksLeft ? waiting : 0;
    const placed = machineIds.length;
    let maxTasks = Math.ceil((tasksLeft - placed) / 2);
    if (spec.kind === 'service' || spec.spreadAcrossZones)
      maxTasks = Math.min(
        maxTasks,
        maxSingleTasks(this.maxBytes, allocationBytes, this.candidates) - placed,
      );
    return Math.max(0, Math.min(waiting, maxTasks));
  }

  /** Called when tasks of a job have been placed. */
  take({ allocationBytes }: QueuedJob, tasks: number): void {
    this.bytesLeft -= allocationBytes * tasks;
  }
}
