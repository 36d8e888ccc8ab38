/** Replaces the records of jobs that are over by their final states, which are kept for good. */
import { finalPhase, finalStateOf } from '../model/job-lifecycle.js';
import type { Condition, CommitOutcome, Transaction, Write } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeFinalState, keys } from '../store/records/index.js';
import type { State } from '../store/state.js';
import { compareNames, turnOf } from '../util/order.js';
import type { RequestCommitter } from './request-committer.js';

/** Writes that finalize one job: its record is deleted and its final state put. */
const WRITES_PER_JOB = 2;

/** Who finalizes, and how much at once. */
export interface FinalizerOptions {
  /** Name of this controller. */
  self: string;
  /** The most changes that a transaction may have. */
  maxWrites: number;
}

/** What final states are made from and committed with. */
export interface FinalizerDependencies {
  state: State;
  committer: RequestCommitter;
  /** Whether what is derived from the records can be relied on. */
  isSound: () => boolean;
}

/** Commits final states, for those who ask and for all others in turn. */
export class Finalizer {
  /** Jobs that are over, and not yet finalized. */
  private readonly over = new Set<string>();
  /** Commits of final states that a user waits for, by job. */
  private readonly pending = new Map<string, Promise<CommitOutcome | null>>();

  constructor(
    private readonly options: FinalizerOptions,
    private readonly dependencies: FinalizerDependencies,
  ) {}

  /** Called when a job has changed. */
  noteJob(jobId: string): void {
    const job = this.dependencies.state.jobs.get(jobId);
    if (job && finalPhase(job) !== null) this.over.add(jobId);
    else this.over.delete(jobId);
  }

  /** Proposes the final states of jobs that nobody asks for. */
  source(): ProposalSource {
    return { name: 'finish', propose: () => this.propose() };
  }

  /**
   * Commits the final state of a job that is over. Recording the outcome of its last task has not changed the job's own
   * record, so a cancellation may still come first: that record decides between them. Null if the outcome is not known,
   * or the job is not over.
   */
  finalize(jobId: string): Promise<CommitOutcome | null> {
    const pending = this.pending.get(jobId);
    if (pending) return pending;
    const transaction = this.transactionFor(jobId);
    if (!transaction) return Promise.resolve(null);
    const work = this.dependencies.committer
      .commit(transaction)
      .finally(() => this.pending.delete(jobId));
    this.pending.set(jobId, work);
    return work;
  }

  private propose(): Proposal | null {
    const { state, isSound } = this.dependencies;
    const controllers = [...state.liveness.keys()].sort(compareNames);
    const conditions: Condition[] = [];
    const writes: Write[] = [];
    for (const jobId of this.over) {
      const transaction = this.transactionFor(jobId);
      if (!transaction && isSound()) this.over.delete(jobId);
      if (!transaction || this.pending.has(jobId)) continue;
      // One of the live controllers does it; which one does not matter, as the conditions decide.
      if (turnOf(jobId, controllers, this.options.self) !== 0) continue;
      conditions.push(...transaction.conditions);
      writes.push(...transaction.writes);
      if (writes.length + WRITES_PER_JOB > this.options.maxWrites) break;
    }
    return writes.length > 0 ? { transaction: { conditions, writes } } : null;
  }

  /** The transaction that replaces the record of a job by its final state; null while the job is not over. */
  private transactionFor(jobId: string): Transaction | null {
    const { state, isSound } = this.dependencies;
    const job = state.jobs.get(jobId);
    const finalState = job ? finalStateOf(job) : null;
    if (!finalState || !isSound()) return null;
    const jobKey = keys.job(jobId);
    const finalStateKey = keys.finalState(jobId);
    return {
      conditions: [state.unchanged(jobKey), { key: finalStateKey, modRevision: 0 }],
      writes: [{ delete: jobKey }, { put: finalStateKey, value: encodeFinalState(finalState) }],
    };
  }
}
