import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { RateLimiter } from './rate-limiter.js';
import type { Outcome, StoreClient, Transaction } from './client.js';
import type { State } from './state.js';

export interface Proposal {
  transaction: Transaction;
  /** What it gains may have been changed by its former owner: read all that came before it first. */
  gains?: boolean;
  /** Called once the outcome is certain and, if done, already in the replica. */
  settled?(outcome: Outcome): void;
}

/** One kind of difference between what is wanted and what is recorded. */
export interface ProposalSource {
  name: string;
  propose(): Proposal | null;
}

export interface Sources {
  /** Whatever these propose goes first. */
  urgent: ProposalSource[];
  /** Takes every other turn when there is more than can be written. */
  main: ProposalSource;
  /** Served in turn. */
  rest: ProposalSource[];
}

/**
 * Commits what the sources propose, one transaction at a time. Each proposal is made afresh from the
 * replica, so nothing is decided from a state older than the last commit. No source can hold up the
 * others for good: under load the main one and the rest take turns.
 */
export class CommitLoop {
  private awake = false;
  /** Whether the main source had the last turn, and whose turn it is among the rest. */
  private mainLast = false;
  private turn = 0;
  private resolveWake: (() => void) | null = null;
  private stopped = false;

  constructor(
    private readonly sources: Sources,
    private readonly store: StoreClient,
    private readonly state: State,
    private readonly limiter: RateLimiter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly catchUp: () => Promise<boolean>,
    private readonly pauseMs: number,
    private readonly metrics: Metrics,
  ) {}

  wake(): void {
    this.awake = true;
    this.resolveWake?.();
  }

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      this.awake = false;
      // What goes before all else overdraws the budget if it must.
      const urgent = firstOf(this.sources.urgent);
      if (!urgent) {
        // The wait comes before the proposal: one made and then put off would be out of date, and its
        // source would take it for made.
        const wait = this.limiter.waitMs(1);
        if (wait > 0) {
          // In short steps: the rate may rise meanwhile, and something urgent may come up.
          await sleep(this.clock, Math.min(wait, this.pauseMs));
          continue;
        }
      }
      const made = urgent ?? this.ordinary();
      if (!made) {
        await this.untilAwake();
        continue;
      }
      this.limiter.take(made.proposal.transaction.writes.length);
      await this.settle(made.source.name, made.proposal);
    }
  }

  private ordinary(): Made | null {
    const { main, rest } = this.sources;
    const turns = [...rest.slice(this.turn), ...rest.slice(0, this.turn)];
    const made = firstOf(this.mainLast ? [...turns, main] : [main, ...turns]);
    if (!made) return null;
    this.mainLast = made.source === main;
    if (!this.mainLast) this.turn = (rest.indexOf(made.source) + 1) % rest.length;
    return made;
  }

  private async settle(name: string, proposal: Proposal): Promise<void> {
    const outcome = await this.store.commit(proposal.transaction);
    this.metrics.commits.inc(`${name}: ${outcome.kind}`);
    if (outcome.kind === 'done') {
      if (proposal.gains) await this.catchUp();
      this.state.replica.applied(proposal.transaction.writes, outcome.revision);
    } else this.log.debug({ source: name, outcome }, 'commit not made');
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

interface Made {
  source: ProposalSource;
  proposal: Proposal;
}

function firstOf(sources: ProposalSource[]): Made | null {
  for (const source of sources) {
    const proposal = source.propose();
    if (proposal) return { source, proposal };
  }
  return null;
}
