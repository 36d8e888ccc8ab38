/** Holds proven outcomes of allocations until they are committed. */
import { AllocationSet } from '../model/allocations.js';
import {
  allocationsOn,
  recordOutcomes,
  type Allocation,
  type TaskOutcome,
} from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { Clock } from '../clock.js';
import type { State } from '../store/state.js';
import { MAX_TRANSACTION_BYTES, MIN_ALLOCATION_BYTES } from '../store/transaction-limits.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';
import { getOrAdd } from '../util/maps.js';
import { PendingOutcomes, type PendingOutcome } from './pending-outcomes.js';

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

/**
 * Most outcomes of one job that are tried in one transaction. They change the allocation records that list them, and
 * no transaction has room for records that list more.
 */
const MAX_OUTCOMES_PER_JOB = MAX_TRANSACTION_BYTES / MIN_ALLOCATION_BYTES;

/** Collects outcomes proven by heartbeats, expired leases and deleted machines for the next transaction. */
export class TaskOutcomes {
  private readonly byJob = new Map<string, PendingOutcomes>();
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
  has(jobId: string, allocation: Allocation): boolean {
    return this.byJob.get(jobId)?.has(allocation) ?? false;
  }

  add(jobId: string, allocation: Allocation, outcome: TaskOutcome): void {
    if (this.has(jobId, allocation)) return;
    const { state, clock, fencingTokenFor, wake } = this.dependencies;
    const fencingToken = fencingTokenFor(allocation.machine);
    const pending = getOrAdd(this.byJob, jobId, () => new PendingOutcomes());
    pending.add({ allocation, outcome, fencingToken });
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
   * Adds as many of the pending outcomes to a transaction as fit. Returns a function to call once it is committed, which
   * returns the machines whose tasks have ended by it.
   */
  addTo(transaction: TransactionBuilder): () => Set<string> {
    const included = new Map<string, readonly PendingOutcome[]>();
    for (const [jobId, pending] of this.byJob) {
      const valid = this.validOutcomes(pending, transaction.job(jobId));
      if (valid.length === 0) {
        this.byJob.delete(jobId);
        continue;
      }
      const recorded = this.record(transaction, jobId, valid);
      if (recorded.length > 0) included.set(jobId, recorded);
    }
    if (included.size === 0) this.restartBatching();
    return () => this.removeRecorded(included);
  }

  /** Lets the outcomes that are still pending wait for another batching delay. */
  private restartBatching(): void {
    this.pendingSince = this.byJob.size > 0 ? this.dependencies.clock.now() : Infinity;
  }

  /** Those of the outcomes that still hold, as many as may fit, in the order in which they were added. */
  private validOutcomes(pending: PendingOutcomes, job: JobRecord | undefined): PendingOutcome[] {
    const { fencingTokenFor } = this.dependencies;
    const recorded = new Map<string, AllocationSet>();
    const valid: PendingOutcome[] = [];
    for (const outcome of pending.values()) {
      if (valid.length >= MAX_OUTCOMES_PER_JOB) break;
      const { machine, task, attempt } = outcome.allocation;
      const isRecorded = getOrAdd(
        recorded,
        machine,
        () => new AllocationSet(job?.allocationsByMachine[machine]),
      ).has(task, attempt);
      // A machine that left the domain and came back under a higher token may have kept the task running in between.
      const isProven =
        outcome.fencingToken !== null && fencingTokenFor(machine) === outcome.fencingToken;
      if (isRecorded && isProven) valid.push(outcome);
    }
    return valid;
  }

  /**
   * Records as many outcomes as fit. The job's record lists the tasks that are to run again, so when it is full these
   * wait until others of them have been placed; completed tasks do not have to wait for that.
   */
  private record(
    transaction: TransactionBuilder,
    jobId: string,
    outcomes: readonly PendingOutcome[],
  ): readonly PendingOutcome[] {
    if (this.recordAll(transaction, jobId, outcomes)) return outcomes;
    const byMachine = groupByMachine(outcomes);
    const completed = byMachine.filter(({ outcome }) => outcome === 'completed');
    const others = byMachine.filter(({ outcome }) => outcome !== 'completed');
    return [completed, others].flatMap((group) => this.recordFirst(transaction, jobId, group));
  }

  /** Records the first of the outcomes, about as many as fit, and returns them. */
  private recordFirst(
    transaction: TransactionBuilder,
    jobId: string,
    outcomes: readonly PendingOutcome[],
  ): readonly PendingOutcome[] {
    for (let count = outcomes.length; count > 0; count = Math.floor(count / 2)) {
      const first = outcomes.slice(0, count);
      if (this.recordAll(transaction, jobId, first)) return first;
    }
    return [];
  }

  /** Records these outcomes; returns false, and records nothing, if they do not all fit. */
  private recordAll(
    transaction: TransactionBuilder,
    jobId: string,
    outcomes: readonly PendingOutcome[],
  ): boolean {
    const job = transaction.job(jobId);
    if (!job || outcomes.length === 0) return false;
    const wallClock = this.dependencies.clock.wallClock();
    const next = recordOutcomes(job, outcomes, wallClock, this.options.retryDelayMs);
    return transaction.set(jobId, next);
  }

  /** Removes only the recorded outcomes, as others of the same jobs may have been added since; returns the machines. */
  private removeRecorded(included: ReadonlyMap<string, readonly PendingOutcome[]>): Set<string> {
    const machines = new Set<string>();
    for (const [jobId, recorded] of included) {
      const pending = this.byJob.get(jobId);
      for (const outcome of recorded) {
        machines.add(outcome.allocation.machine);
        pending?.delete(outcome);
      }
      if (pending?.size === 0) this.byJob.delete(jobId);
    }
    this.restartBatching();
    return machines;
  }
}

/**
 * The same outcomes, those of each machine together, so that the first of them change few records. Machines stay in
 * the order of their first outcomes.
 */
function groupByMachine(outcomes: readonly PendingOutcome[]): PendingOutcome[] {
  const groups = new Map<string, PendingOutcome[]>();
  for (const outcome of outcomes)
    getOrAdd(groups, outcome.allocation.machine, () => []).push(outcome);
  return [...groups.values()].flat();
}
