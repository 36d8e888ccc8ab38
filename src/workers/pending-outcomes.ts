/** The outcomes of one job's allocations that are proven and not recorded yet. */
import type { Allocation, AllocationOutcome } from '../model/job-lifecycle.js';
import { getOrAdd } from '../util/maps.js';

/** An outcome that is proven and not recorded yet. */
export interface PendingOutcome extends AllocationOutcome {
  /** Fencing token of the machine under which the outcome was proven. */
  fencingToken: number | null;
}

const keyOf = ({ task, attempt }: Allocation): string => `${String(task)}#${String(attempt)}`;

/** Outcomes by machine and allocation, with at most one for each allocation. */
export class PendingOutcomes {
  /** Number of outcomes. */
  size = 0;
  private readonly machines = new Map<string, Map<string, PendingOutcome>>();

  has(allocation: Allocation): boolean {
    return this.machines.get(allocation.machine)?.has(keyOf(allocation)) ?? false;
  }

  /** Adds an outcome; returns false if there is one of the same allocation already. */
  add(outcome: PendingOutcome): boolean {
    if (this.has(outcome.allocation)) return false;
    const { machine } = outcome.allocation;
    getOrAdd(this.machines, machine, () => new Map<string, PendingOutcome>()).set(
      keyOf(outcome.allocation),
      outcome,
    );
    this.size++;
    return true;
  }

  /** Removes an outcome, unless another of the same allocation has taken its place. */
  delete(outcome: PendingOutcome): void {
    const { machine } = outcome.allocation;
    const outcomes = this.machines.get(machine);
    const key = keyOf(outcome.allocation);
    if (outcomes?.get(key) !== outcome) return;
    outcomes.delete(key);
    this.size--;
    if (outcomes.size === 0) this.machines.delete(machine);
  }

  /** The outcomes on each machine; first the machine whose oldest outcome has waited longest. */
  *byMachine(): Generator<[string, readonly PendingOutcome[]]> {
    for (const [machineId, outcomes] of [...this.machines])
      yield [machineId, [...outcomes.values()]];
  }
}
