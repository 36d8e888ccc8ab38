/** Replaces the records of jobs that have ended with their final states, which are never removed. */
import { finalPhase, finalStateOf } from '../model/job-lifecycle.js';
import type { Condition, CommitOutcome, Transaction, Write } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeFinalState, keys } from '../store/records/index.js';
import type { State } from '../store/state.js';
import { compareNames, turnOf } from '../util/order.js';
import type { RequestCommitter } from './request-committer.js';

/** Writes per finalized job: its record is deleted and its final state put. */
const WRITES_PER_JOB = 2;

/** This controller's name, and limits of a `Finalizer`. */
export interface FinalizerOptions {
  /** Name of this controller. */
  self: string;
  /** Maximum number of writes in a transaction. */
  maxWrites: number;
}

/** Dependencies of a `Finalizer`. */
export interface FinalizerDependencies {
  state: State;
  committer: RequestCommitter;
  /** Whether the state derived from the records can be relied on (see `Integrity`). */
  isSound: () => boolean;
}

/** Commits final states: at once for jobs that a user asks about, and in batches for all others. */
export class Finalizer {
  /** Jobs that have ended and are not finalized yet. */
  private readonly endedJobs = new Set<string>();
  /** Commits of final states that a user waits for, by job id. */
  private readonly pendingCommits = new Map<string, Promise<CommitOutcome | null>>();

  constructor(
    private readonly options: FinalizerOptions,
    private readonly dependencies: FinalizerDependencies,
  ) {}

  /** Called when a job has changed. */
  jobChanged(jobId: string): void {
    const job = this.dependencies.state.jobs.get(jobId);
    if (job && finalPhase(job) !== null) this.endedJobs.add(jobId);
    else this.endedJobs.delete(jobId);
  }

  /** Proposes the final states of jobs for which no user's commit is pending. */
  source(): ProposalSource {
    return { name: 'finish', propose: () => this.propose() };
  }

  /**
   * Commits the final state of a job that has ended. Recording the outcome of its last task did not change the job's
   * own record, so a cancellation may still be committed first: the condition on that record allows only one of them.
   * Null if the outcome is unknown or the job has not ended.
   */
  finalize(jobId: string): Promise<CommitOutcome | null> {
    const pending = this.pendingCommits.get(jobId);
    if (pending) return pending;
    const transaction = this.transactionFor(jobId);
    if (!transaction) return Promise.resolve(null);
    const commit = this.dependencies.committer
      .commit(transaction)
      .finally(() => this.pendingCommits.delete(jobId));
    this.pendingCommits.set(jobId, commit);
    return commit;
  }

  private propose(): Proposal | null {
    const { state, isSound } = this.dependencies;
    const controllers = [...state.liveness.keys()].sort(compareNames);
    const conditions: Condition[] = [];
    const writes: Write[] = [];
    for (const jobId of this.endedJobs) {
      const transaction = this.transactionFor(jobId);
      if (!transaction && isSound()) this.endedJobs.delete(jobId);
      if (!transaction || this.pendingCommits.has(jobId)) continue;
      // One of the live controllers finalizes the job. If two of them do, the conditions let only one commit succeed.
      if (turnOf(jobId, controllers, this.options.self) !== 0) continue;
      conditions.push(...transaction.conditions);
      writes.push(...transaction.writes);
      if (writes.length + WRITES_PER_JOB > this.options.maxWrites) break;
    }
    return writes.length > 0 ? { transaction: { conditions, writes } } : null;
  }

  /** The transaction that replaces a job's record with its final state; null while the job has not ended. */
  private transactionFor(jobId: string): Transaction | null {
    const { state, isSound } = this.dependencies;
    const job = state.jobs.get(jobId);
    const finalState = job ? finalStateOf(job) : null;
    if (!finalState || !isSound()) return null;
    const jobKey = keys.job(jobId);
    const finalStateKey = keys.finalState(jobId);
    return {
      conditions: [state.unchangedCondition(jobKey), { key: finalStateKey, modRevision: 0 }],
      writes: [{ delete: jobKey }, { put: finalStateKey, value: encodeFinalState(finalState) }],
    };
  }
}
