/** Commits what the parts of this process propose, one transaction at a time. */
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { CommitOutcome, StoreClient, Transaction } from './client.js';
import type { RateLimiter } from './rate-limiter.js';
import type { State } from './state.js';

/** A transaction that somebody wants committed now. */
export interface Proposal {
  transaction: Transaction;
  /**
   * Whether the transaction takes over machines. Their former owner may have changed what is recorded on them, so all
   * that was committed before is read first.
   */
  takesOver?: boolean;
  /** Called once the outcome is certain and, if the transaction was applied, already in the replica. */
  settled?(outcome: CommitOutcome): void;
}

/** Proposes transactions that bring one kind of record closer to what is wanted. */
export interface ProposalSource {
  /** Label of its commits in the metrics and the log. */
  name: string;
  /** The next transaction, made from the replica as it is now; null if there is nothing to commit. */
  propose(): Proposal | null;
}

/** The sources of a `CommitLoop`. */
export interface Sources {
  /** What these propose goes first. */
  urgent: ProposalSource[];
  /** Takes every other turn when there is more to commit than may be written. */
  main: ProposalSource;
  /** Served in turn. */
  rest: ProposalSource[];
}

/** What a `CommitLoop` works with. */
export interface CommitLoopDependencies {
  store: StoreClient;
  state: State;
  /** Limits the writes of this process. */
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Brings the replica up to the present; false if that failed. */
  catchUp(): Promise<boolean>;
}

/** Times of a `CommitLoop`, in milliseconds. */
export interface CommitLoopOptions {
  /** Pause after a refusal, and the longest wait before looking for urgent proposals again. */
  pauseMs: number;
}

/** A proposal with the source that it is from. */
interface SourcedProposal {
  source: ProposalSource;
  proposal: Proposal;
}

/**
 * Each proposal is made from the replica right before it is committed, so nothing is decided from a state older than the
 * last commit. No source can hold up the others for good: under load the main one and the rest take turns.
 */
export class CommitLoop {
  private readonly store: StoreClient;
  private readonly state: State;
  private readonly limiter: RateLimiter;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly metrics: Metrics;
  private readonly catchUp: () => Promise<boolean>;
  private readonly pauseMs: number;
  /** Whether there may be something to commit. */
  private awake = false;
  private mainHadLastTurn = false;
  /** Index of the source whose turn it is among the rest. */
  private nextOfRest = 0;
  private resolveWake: (() => void) | null = null;
  private stopped = false;

  constructor(
    private readonly sources: Sources,
    dependencies: CommitLoopDependencies,
    options: CommitLoopOptions,
  ) {
    this.store = dependencies.store;
    this.state = dependencies.state;
    this.limiter = dependencies.limiter;
    this.clock = dependencies.clock;
    this.log = dependencies.log;
    this.metrics = dependencies.metrics;
    this.catchUp = () => dependencies.catchUp();
    this.pauseMs = options.pauseMs;
  }

  /** Has all sources asked again, as something has changed. */
  wake(): void {
    this.awake = true;
    this.resolveWake?.();
  }

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  /** Commits until stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      this.awake = false;
      // Urgent proposals overdraw the rate limit if they must.
      const urgent = firstProposal(this.sources.urgent);
      // The wait comes before the other sources are asked: a proposal that is made and then put off would be out of
      // date, while its source takes it for committed.
      const waitMs = urgent ? 0 : this.limiter.waitMs(1);
      if (waitMs > 0) {
        // In short steps: the rate may rise meanwhile, and something urgent may come up.
        await sleep(this.clock, Math.min(waitMs, this.pauseMs));
        continue;
      }
      const next = urgent ?? this.nextInTurn();
      if (next) await this.commit(next);
      else await this.untilAwake();
    }
  }

  private nextInTurn(): SourcedProposal | null {
    const { main, rest } = this.sources;
    const inTurn = [...rest.slice(this.nextOfRest), ...rest.slice(0, this.nextOfRest)];
    const next = firstProposal(this.mainHadLastTurn ? [...inTurn, main] : [main, ...inTurn]);
    if (!next) return null;
    this.mainHadLastTurn = next.source === main;
    if (!this.mainHadLastTurn) this.nextOfRest = (rest.indexOf(next.source) + 1) % rest.length;
    return next;
  }

  private async commit({ source, proposal }: SourcedProposal): Promise<void> {
    const { transaction } = proposal;
    this.limiter.take(transaction.writes.length);
    const outcome = await this.store.commit(transaction);
    this.metrics.commits.inc(`${source.name}: ${outcome.kind}`);
    if (outcome.kind === 'done') {
      if (proposal.takesOver) await this.catchUp();
      this.state.replica.applied(transaction.writes, outcome.revision);
    } else this.log.debug({ source: source.name, outcome }, 'commit not applied');
    const isBehind = outcome.kind === 'conflict' && !(await this.catchUp());
    proposal.settled?.(outcome);
    if (outcome.kind === 'refused') this.limiter.refused();
    // What is proposed while the replica is known to be behind fails again, and failures count as writes.
    if (outcome.kind === 'refused' || isBehind) await sleep(this.clock, this.pauseMs);
  }

  private untilAwake(): Promise<void> {
    if (this.awake) return Promise.resolve();
    return new Promise((resolve) => {
      this.resolveWake = () => {
        this.resolveWake = null;
        resolve();
      };
    });
  }
}

function firstProposal(sources: ProposalSource[]): SourcedProposal | null {
  for (const source of sources) {
    const proposal = source.propose();
    if (proposal) return { source, proposal };
  }
  return null;
}
