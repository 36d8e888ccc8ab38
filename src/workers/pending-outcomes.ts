/** The outcomes of one job's allocations that are proven and not recorded yet. */
import type { Allocation, AllocationOutcome } from '../model/job-lifecycle.js';

/** An outcome that is proven and not recorded yet. */
export interface PendingOutcome extends AllocationOutcome {
  /** Fencing token of the machine under which the outcome was proven. */
  fencingToken: number | null;
}

const keyOf = ({ machine, task, attempt }: Allocation): string =>
  `${String(task)}#${String(attempt)} ${machine}`;

/** Outcomes in the order in which they were added, with at most one for each allocation. */
export class PendingOutcomes {
  private readonly byAllocation = new Map<string, PendingOutcome>();

  /** Number of outcomes. */
  get size(): number {
    return this.byAllocation.size;
  }

  has(allocation: Allocation): boolean {
    return this.byAllocation.has(keyOf(allocation));
  }

  /** Adds an outcome, unless there is one of the same allocation already. */
  add(outcome: PendingOutcome): void {
    if (!this.has(outcome.allocation)) this.byAllocation.set(keyOf(outcome.allocation), outcome);
  }

  /** Removes an outcome, unless another of the same allocation has taken its place. */
  delete(outcome: PendingOutcome): void {
    const key = keyOf(outcome.allocation);
    if (this.byAllocation.get(key) === outcome) this.byAllocation.delete(key);
  }

  /** The outcomes in this order. */
  values(): Iterable<PendingOutcome> {
    return this.byAllocation.values();
  }
}
