/** Allocations that are proved to be over, until that is recorded. */
import { hasAllocation } from '../model/allocations.js';
import {
  allocationsOn,
  recordOutcomes,
  type Allocation,
  type AllocationOutcome,
  type TaskOutcome,
} from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { Clock } from '../clock.js';
import type { State } from '../store/state.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';
import { getOrAdd } from '../util/maps.js';

interface PendingOutcome extends AllocationOutcome {
  /** Token of the machine under which it was proved. */
  fencingToken: number | null;
}

/** When outcomes are recorded, and what failures delay. */
export interface TaskOutcomesOptions {
  /** Outcomes are recorded together when the first has waited this long, in milliseconds. */
  batchingMs: number;
  /** First delay before a job whose tasks fail is tried again, in milliseconds. */
  retryDelayMs: number;
}

/** What the outcomes are checked against. */
export interface TaskOutcomesDependencies {
  state: State;
  clock: Clock;
  /** Token under which this controller owns a machine; null if it does not. */
  fencingTokenFor: (machineId: string) => number | null;
  /** Wakes the commit loop. */
  wake: () => void;
}

/** Gathers outcomes found by heartbeats, leases and deletions for the next transaction. */
export class TaskOutcomes {
  private readonly byJob = new Map<string, PendingOutcome[]>();
  /** When the oldest of them was found. */
  private since = Infinity;

  constructor(
    private readonly options: TaskOutcomesOptions,
    private readonly dependencies: TaskOutcomesDependencies,
  ) {}

  /** Whether this very allocation is known to be over. */
  has(jobId: string, { machine, task, attempt }: Allocation): boolean {
    return (this.byJob.get(jobId) ?? []).some(
      ({ allocation: known }) =>
        known.machine === machine && known.task === task && known.attempt === attempt,
    );
  }

  add(jobId: string, allocation: Allocation, outcome: TaskOutcome): void {
    if (this.has(jobId, allocation)) return;
    const { state, clock, fencingTokenFor, wake } = this.dependencies;
    const fencingToken = fencingTokenFor(allocation.machine);
    getOrAdd(this.byJob, jobId, () => []).push({ allocation, outcome, fencingToken });
    if (state.jobs.get(jobId)?.preemptedTasks?.includes(allocation.task)) {
      // Another job waits for its room.
      this.since = -Infinity;
      wake();
    } else if (this.since === Infinity) {
      this.since = clock.now();
      clock.after(this.options.batchingMs, wake);
    }
  }

  /** Everything recorded on the machine is proved to be gone, and is to be started again. */
  requeueAllOn(machineId: string): void {
    const { state } = this.dependencies;
    for (const jobId of state.jobsByMachine.get(machineId) ?? []) {
      const job = state.jobs.get(jobId);
      if (!job) continue;
      for (const allocation of allocationsOn(job, machineId))
        this.add(jobId, allocation, 'requeued');
    }
  }

  /** Whether they have waited long enough to be recorded even if nothing else is. */
  isDue(): boolean {
    return this.dependencies.clock.now() - this.since >= this.options.batchingMs;
  }

  /**
   * Takes them into a transaction. Returns what to call once it is committed, which tells the machines whose
   * tasks it ended.
   */
  addTo(transaction: TransactionBuilder): () => Set<string> {
    const wallClock = this.dependencies.clock.wallClock();
    const taken = new Map<string, readonly PendingOutcome[]>();
    for (const [jobId, pending] of this.byJob) {
      const job = transaction.job(jobId);
      const valid = job ? pending.filter((outcome) => this.isValid(outcome, job)) : [];
      if (!job || valid.length === 0) {
        this.byJob.delete(jobId);
        continue;
      }
      const next = recordOutcomes(job, valid, wallClock, this.options.retryDelayMs);
      if (transaction.set(jobId, next)) taken.set(jobId, valid);
    }
    if (this.byJob.size === 0) this.since = Infinity;
    return () => this.forget(taken);
  }

  /** A machine that was lost and came back under a higher token may have kept the task alive meanwhile. */
  private isValid({ allocation, fencingToken }: PendingOutcome, job: JobRecord): boolean {
    const { machine, task, attempt } = allocation;
    return (
      fencingToken !== null &&
      this.dependencies.fencingTokenFor(machine) === fencingToken &&
      hasAllocation(job.allocationsByMachine[machine] ?? [], task, attempt)
    );
  }

  /** Only what was recorded: outcomes of the same jobs may have been found since the transaction was made. */
  private forget(taken: ReadonlyMap<string, readonly PendingOutcome[]>): Set<string> {
    const machines = new Set<string>();
    for (const [jobId, recorded] of taken) {
      for (const { allocation } of recorded) machines.add(allocation.machine);
      const left = (this.byJob.get(jobId) ?? []).filter((pending) => !recorded.includes(pending));
      if (left.length > 0) this.byJob.set(jobId, left);
      else this.byJob.delete(jobId);
    }
    this.since = this.byJob.size > 0 ? this.dependencies.clock.now() : Infinity;
    return machines;
  }
}
