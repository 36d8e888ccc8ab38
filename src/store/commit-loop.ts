/** Commits the transactions that the components of this process propose, one at a time. */
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { CommitOutcome, StoreClient, Transaction } from './client.js';
import type { RateLimiter } from './rate-limiter.js';
import type { State } from './state.js';

/** A transaction that a component proposes to commit now. */
export interface Proposal {
  transaction: Transaction;
  /**
   * Whether the transaction takes over machines. Their former owner may have changed the records about them, so after
   * the commit the replica reads all earlier commits before the transaction is applied to it.
   */
  takesOver?: boolean;
  /** Called once the outcome is known. If the transaction was applied, the replica already contains it. */
  onSettled?(outcome: CommitOutcome): void;
}

/** Proposes transactions that bring one kind of record closer to its desired state. */
export interface ProposalSource {
  /** Label of its commits in the metrics and the log. */
  name: string;
  /** The next transaction, based on the current replica; null if there is nothing to commit. */
  propose(): Proposal | null;
}

/** The sources of a `CommitLoop`. */
export interface ProposalSources {
  /** Their proposals are committed first. */
  urgent: ProposalSource[];
  /** Gets every other turn while there is more to commit than the rate limit allows. */
  main: ProposalSource;
  /** Get the remaining turns, in round-robin order. */
  rest: ProposalSource[];
}

/** Dependencies of a `CommitLoop`. */
export interface CommitLoopDependencies {
  store: StoreClient;
  state: State;
  /** Limits the write rate of this process. */
  limiter: RateLimiter;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Brings the replica up to date. Returns false if that failed. */
  catchUp(): Promise<boolean>;
}

/** Times of a `CommitLoop`, in milliseconds. */
export interface CommitLoopOptions {
  /** Pause after a refusal, and the maximum wait before urgent proposals are looked for again. */
  pauseMs: number;
}

/** A proposal with the source that made it. */
interface SourcedProposal {
  source: ProposalSource;
  proposal: Proposal;
}

/**
 * Each proposal is based on the replica right before it is committed, so no decision is based on a state older than the
 * last commit. No non-urgent source can starve the others: under load the main source and the rest take turns.
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
  /** Whether `wake` was called since the sources were last asked, so that there may be something to commit. */
  private wakeRequested = false;
  private mainHadLastTurn = false;
  /** Index into `rest` of the source whose turn is next. */
  private nextOfRest = 0;
  private resolveWake: (() => void) | null = null;
  private stopped = false;

  constructor(
    private readonly sources: ProposalSources,
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

  /** Makes the loop ask all sources again, because something has changed. */
  wake(): void {
    this.wakeRequested = true;
    this.resolveWake?.();
  }

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  /** Commits proposals until stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      this.wakeRequested = false;
      // Urgent proposals do not wait for the rate limit; they may overdraw it.
      const urgent = firstProposal(this.sources.urgent);
      // Wait before asking the other sources: a proposal that is made and then delayed would be out of date, while its
      // source assumes that it is committed.
      const waitMs = urgent ? 0 : this.limiter.waitMs(1);
      if (waitMs > 0) {
        // Wait in short steps: the rate may rise in the meantime, and an urgent proposal may appear.
        await sleep(this.clock, Math.min(waitMs, this.pauseMs));
        continue;
      }
      const next = urgent ?? this.nextInTurn();
      if (next) await this.commit(next);
      else await this.waitForWake();
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
      this.state.replica.applyOwnCommit(transaction.writes, outcome.revision);
    } else this.log.debug({ source: source.name, outcome }, 'commit not applied');
    const isBehind = outcome.kind === 'conflict' && !(await this.catchUp());
    proposal.onSettled?.(outcome);
    if (outcome.kind === 'refused') this.limiter.recordRefusal();
    // Proposals made while the replica is known to be behind would fail again, and failed transactions count as writes.
    if (outcome.kind === 'refused' || isBehind) await sleep(this.clock, this.pauseMs);
  }

  private waitForWake(): Promise<void> {
    if (this.wakeRequested) return Promise.resolve();
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
