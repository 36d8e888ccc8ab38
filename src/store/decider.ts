import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Budget } from './budget.js';
import type { Outcome, StoreClient, Txn } from './client.js';
import type { State } from './state.js';

export interface Proposal {
  txn: Txn;
  /** What it gains may have been changed by its former owner: read all that came before it first. */
  gains?: boolean;
  /** Called once the outcome is certain and, if done, already in the replica. */
  settled?(outcome: Outcome): void;
}

/** One kind of difference between what is wanted and what is recorded. */
export interface Source {
  name: string;
  propose(): Proposal | null;
}

/**
 * Commits what the sources propose, one transaction at a time and the first source first. Each proposal
 * is made afresh from the replica, so nothing is decided from a state older than the last commit.
 */
export class Decider {
  private awake = false;
  private resolveWake: (() => void) | null = null;
  private stopped = false;

  constructor(
    private readonly sources: Source[],
    private readonly store: StoreClient,
    private readonly state: State,
    private readonly budget: Budget,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly catchUp: () => Promise<boolean>,
    private readonly pauseMs: number,
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
      const made = this.first();
      if (!made) {
        await this.untilAwake();
        continue;
      }
      const wait = this.budget.waitMs(made.proposal.txn.apply.length);
      if (wait > 0) {
        // What was proposed may be out of date when the budget allows it: propose again then.
        await sleep(this.clock, wait);
        continue;
      }
      this.budget.take(made.proposal.txn.apply.length);
      await this.settle(made.name, made.proposal);
    }
  }

  private first(): { name: string; proposal: Proposal } | null {
    for (const source of this.sources) {
      const proposal = source.propose();
      if (proposal) return { name: source.name, proposal };
    }
    return null;
  }

  private async settle(name: string, proposal: Proposal): Promise<void> {
    const outcome = await this.store.commit(proposal.txn);
    if (outcome.kind === 'done') {
      if (proposal.gains) await this.catchUp();
      this.state.replica.applied(proposal.txn.apply, outcome.generation);
    } else this.log.debug({ source: name, outcome }, 'commit not made');
    if (outcome.kind === 'conflict') await this.catchUp();
    proposal.settled?.(outcome);
    if (outcome.kind === 'refused') await sleep(this.clock, this.pauseMs);
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
