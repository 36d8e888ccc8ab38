/** Commits the transactions of users' requests. */
import { withTimeout, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { CommitOutcome, StoreClient, Transaction } from '../store/client.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { State } from '../store/state.js';

/** Dependencies of a `RequestCommitter`. */
export interface RequestCommitterDependencies {
  store: StoreClient;
  state: State;
  writeLimiter: RateLimiter;
  clock: Clock;
  log: Log;
}

/** Commits transactions at once, without waiting for the write rate limiter, but counts them against its limit. */
export class RequestCommitter {
  constructor(
    /** How long a user's request waits for its commit, in milliseconds. */
    private readonly timeoutMs: number,
    private readonly dependencies: RequestCommitterDependencies,
  ) {}

  /** Returns the outcome; null if it is not known in time: the transaction may or may not be executed. */
  commit(transaction: Transaction): Promise<CommitOutcome | null> {
    const { store, state, writeLimiter, clock, log } = this.dependencies;
    writeLimiter.take(transaction.writes.length);
    const pendingOutcome = store.commit(transaction).then((outcome) => {
      if (outcome.kind === 'refused') writeLimiter.recordRefusal();
      if (outcome.kind === 'done')
        state.replica.applyOwnCommit(transaction.writes, outcome.revision);
      return outcome;
    });
    // A commit continues in the background after the user has been told to retry, so its failure must be handled here.
    pendingOutcome.catch((error: unknown) => {
      log.error({ err: error }, 'commit for a user failed');
    });
    return withTimeout(clock, this.timeoutMs, pendingOutcome, null);
  }
}
