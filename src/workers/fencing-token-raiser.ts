/** Takes new ranges of fencing tokens for machines, so that workers refuse commands sent under lower tokens. */
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import { fitsTransactionLimits } from '../domain/transaction-limits.js';
import type { Transaction } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import { nextFencingTokenRange } from '../store/fencing-token-counter.js';
import type { State } from '../store/state.js';
import type { SessionStore } from './session-store.js';
import type { WorkerSession } from './worker-session.js';

/** Limits and timing, in milliseconds, of a `FencingTokenRaiser`. */
export interface FencingTokenRaiserOptions {
  /** An unknown outcome is settled only if there was contact to the machine within this time. */
  heartbeatIntervalMs: number;
  /** Interval at which machines are checked for ranges that are nearly used up. */
  rangeCheckMs: number;
  /** Maximum number of writes in a transaction. */
  maxWrites: number;
}

/** Dependencies of a `FencingTokenRaiser`. */
export interface FencingTokenRaiserDependencies {
  state: State;
  sessions: SessionStore;
  domainManager: DomainManager;
  clock: Clock;
}

/** Proposes new ranges for machines with a start of unknown outcome and for those that have used up theirs. */
export class FencingTokenRaiser {
  /** Sessions that had an unknown outcome; `propose` removes those where it has been resolved. */
  private readonly unknownOutcomes = new Set<WorkerSession>();
  private rangesCheckedAt = -Infinity;

  constructor(
    private readonly options: FencingTokenRaiserOptions,
    private readonly dependencies: FencingTokenRaiserDependencies,
  ) {}

  noteUnknownOutcome(session: WorkerSession): void {
    this.unknownOutcomes.add(session);
  }

  propose(): Proposal | null {
    const { sessions } = this.dependencies;
    for (const session of this.unknownOutcomes)
      if (!session.unknownOutcome || !sessions.isCurrent(session))
        this.unknownOutcomes.delete(session);
    const settled = [...this.unknownOutcomes].filter((session) => this.canBeSettled(session));
    const machineIds = [...settled, ...this.sessionsWithoutTokens()].map((each) => each.machineId);
    if (machineIds.length === 0) return null;
    const { transaction, count } = this.largestTransaction(machineIds);
    return {
      transaction,
      onSettled: ({ kind }) => {
        // Peers take ranges from the same counter, so conflicts are expected.
        if (kind !== 'done' || count < machineIds.length) this.rangesCheckedAt = -Infinity;
      },
    };
  }

  /** Takes a range for all machines, or only for the first ones if all exceed the limits of a transaction. */
  private largestTransaction(machineIds: readonly string[]): {
    transaction: Transaction;
    count: number;
  } {
    for (let count = machineIds.length; ; count = Math.ceil(count / 2)) {
      const transaction = this.transactionFor(machineIds.slice(0, count));
      if (count <= 1 || fitsTransactionLimits(transaction, this.options.maxWrites))
        return { transaction, count };
    }
  }

  private transactionFor(machineIds: readonly string[]): Transaction {
    const { state, domainManager } = this.dependencies;
    const { fencingToken, condition, write } = nextFencingTokenRange(state);
    const raised = new Map(machineIds.map((machineId) => [machineId, fencingToken]));
    const { conditions, writes } = domainManager.changeMachines({ set: raised });
    return { conditions: [...conditions, condition], writes: [...writes, write] };
  }

  /**
   * Whether a new range can settle the unknown outcome: the machine is owned and was in contact recently, and no range has
   * been taken since the request.
   */
  private canBeSettled(session: WorkerSession): boolean {
    const { sessions, clock } = this.dependencies;
    const { unknownOutcome, fencingToken, lastContactAt } = session;
    return (
      unknownOutcome !== null &&
      unknownOutcome.fencingToken >= fencingToken &&
      sessions.isOwned(session) &&
      clock.now() - lastContactAt < this.options.heartbeatIntervalMs
    );
  }

  /** Machines whose ranges are nearly used up. */
  private sessionsWithoutTokens(): WorkerSession[] {
    const { sessions, clock } = this.dependencies;
    const now = clock.now();
    if (now - this.rangesCheckedAt < this.options.rangeCheckMs) return [];
    this.rangesCheckedAt = now;
    return [...sessions.values()].filter(
      (session) =>
        session.tokens.needsNewRange && !session.leaseExpired && sessions.isOwned(session),
    );
  }
}
