/** Commits what users' requests ask for. */
import { within, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { CommitOutcome, StoreClient, Transaction } from '../store/client.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { State } from '../store/state.js';

/** What commits are made with. */
export interface RequestCommitterDependencies {
  store: StoreClient;
  state: State;
  writeLimiter: RateLimiter;
  clock: Clock;
  log: Log;
}

/** Commits transactions at once, and counts them against the limit of writes. */
export class RequestCommitter {
  constructor(
    /** How long a user's request waits for its commit. */
    private readonly timeoutMs: number,
    private readonly dependencies: RequestCommitterDependencies,
  ) {}

  /** The outcome; null if it is not known in time, when the transaction may or may not be executed. */
  commit(transaction: Transaction): Promise<CommitOutcome | null> {
    const { store, state, writeLimiter, clock, log } = this.dependencies;
    writeLimiter.take(transaction.writes.length);
    const work = store.commit(transaction).then((outcome) => {
      if (outcome.kind === 'refused') writeLimiter.refused();
      if (outcome.kind === 'done') state.replica.applied(transaction.writes, outcome.revision);
      return outcome;
    });
    // An unanswered commit goes on being settled after the user has been told to come back.
    work.catch((error: unknown) => {
      log.error({ err: error }, 'commit for a user failed');
    });
    return within(clock, this.timeoutMs, work, null);
  }
}
