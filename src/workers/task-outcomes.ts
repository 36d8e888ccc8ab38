/** Holds proven outcomes of allocations until they are committed. */
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
  /** Fencing token of the machine under which the outcome was proven. */
  fencingToken: number | null;
}

/** Delays of recording outcomes and of retrying failed tasks. */
export interface TaskOutcomesOptions {
  /** Outcomes are recorded in one batch when the oldest has waited this long, in milliseconds. */
  batchingMs: number;
  /** Initial backoff before a job with failing tasks is placed again, in milliseconds. */
  retryDelayMs: number;
}

/** Dependencies of a `TaskOutcomes`. */
export interface TaskOutcomesDependencies {
  state: State;
  clock: Clock;
  /** Fencing token under which this controller owns a machine; null if it does not own it. */
  fencingTokenFor: (machineId: string) => number | null;
  /** Wakes the commit loop. */
  wake: () => void;
}

/** Collects outcomes proven by heartbeats, expired leases and deleted machines for the next transaction. */
export class TaskOutcomes {
  private readonly byJob = new Map<string, PendingOutcome[]>();
  /**
   * Start of the batching delay: when the oldest pending outcome was added, or when the last commit left some pending.
   * -Infinity if an outcome must be recorded at once, Infinity if none is pending.
   */
  private pendingSince = Infinity;

  constructor(
    private readonly options: TaskOutcomesOptions,
    private readonly dependencies: TaskOutcomesDependencies,
  ) {}

  /** Whether an outcome of exactly this allocation is pending. */
  has(jobId: string, { machine, task, attempt }: Allocation): boolean {
    return (this.byJob.get(jobId) ?? []).some(
      ({ allocation: pending }) =>
        pending.machine === machine && pending.task === task && pending.attempt === attempt,
    );
  }

  add(jobId: string, allocation: Allocation, outcome: TaskOutcome): void {
    if (this.has(jobId, allocation)) return;
    const { state, clock, fencingTokenFor, wake } = this.dependencies;
    const fencingToken = fencingTokenFor(allocation.machine);
    getOrAdd(this.byJob, jobId, () => []).push({ allocation, outcome, fencingToken });
    if (state.jobs.get(jobId)?.preemptedTasks?.includes(allocation.task)) {
      // The task was preempted: another job waits for its resources.
      this.pendingSince = -Infinity;
      wake();
    } else if (this.pendingSince === Infinity) {
      this.pendingSince = clock.now();
      clock.after(this.options.batchingMs, wake);
    }
  }

  /** Adds a `requeued` outcome for every allocation on a machine; called when none of their tasks still runs. */
  requeueAllOn(machineId: string): void {
    const { state } = this.dependencies;
    for (const jobId of state.jobsByMachine.get(machineId) ?? []) {
      const job = state.jobs.get(jobId);
      if (!job) continue;
      for (const allocation of allocationsOn(job, machineId))
        this.add(jobId, allocation, 'requeued');
    }
  }

  /** Whether pending outcomes have waited long enough to be committed on their own. */
  isDue(): boolean {
    return this.dependencies.clock.now() - this.pendingSince >= this.options.batchingMs;
  }

  /**
   * Adds the pending outcomes to a transaction. Returns a function to call once it is committed, which returns the
   * machines whose tasks have ended by it.
   */
  addTo(transaction: TransactionBuilder): () => Set<string> {
    const wallClock = this.dependencies.clock.wallClock();
    const included = new Map<string, readonly PendingOutcome[]>();
    for (const [jobId, pending] of this.byJob) {
      const job = transaction.job(jobId);
      const valid = job ? pending.filter((outcome) => this.isValid(outcome, job)) : [];
      if (!job || valid.length === 0) {
        this.byJob.delete(jobId);
        continue;
      }
      const next = recordOutcomes(job, valid, wallClock, this.options.retryDelayMs);
      if (transaction.set(jobId, next)) included.set(jobId, valid);
    }
    if (this.byJob.size === 0) this.pendingSince = Infinity;
    return () => this.removeRecorded(included);
  }

  /**
   * Whether the outcome still holds. A machine that left the domain and came back under a higher token may have kept
   * the task running in between.
   */
  private isValid({ allocation, fencingToken }: PendingOutcome, job: JobRecord): boolean {
    const { machine, task, attempt } = allocation;
    return (
      fencingToken !== null &&
      this.dependencies.fencingTokenFor(machine) === fencingToken &&
      hasAllocation(job.allocationsByMachine[machine] ?? [], task, attempt)
    );
  }

  /** Removes only the recorded outcomes, as others of the same jobs may have been added since; returns the machines. */
  private removeRecorded(included: ReadonlyMap<string, readonly PendingOutcome[]>): Set<string> {
    const machines = new Set<string>();
    for (const [jobId, recorded] of included) {
      for (const { allocation } of recorded) machines.add(allocation.machine);
      const left = (this.byJob.get(jobId) ?? []).filter((pending) => !recorded.includes(pending));
      if (left.length > 0) this.byJob.set(jobId, left);
      else this.byJob.delete(jobId);
    }
    this.pendingSince = this.byJob.size > 0 ? this.dependencies.clock.now() : Infinity;
    return machines;
  }
}
