/**
 * Gives the domain up while no worker can be reached from here. A controller that has lost its workers alone looks
 * alive to all others: nobody would take its machines over, and their tasks would die by their leases.
 */
import type { Proposal } from '../store/commit-loop.js';
import { keys } from '../store/records/index.js';
import type { DomainContext } from './context.js';

/** What is known of the connections to the workers. */
export interface WorkerReachability {
  /** Whether no worker is reached, although the state service is: the fault is this node's own. */
  isIsolated(): boolean;
}

/** Proposes the release of the domain, and remembers that it was released. */
export class SelfFencing {
  private released = false;

  constructor(
    private readonly context: DomainContext,
    private readonly workers: WorkerReachability,
  ) {}

  /** Whether the domain was given up, and is not to be held again until a worker is reached. */
  get isReleased(): boolean {
    return this.released;
  }

  /** A worker has answered: the domain may be held again. */
  workersReachable(): void {
    if (!this.released) return;
    this.released = false;
    this.context.log.info('workers reachable again');
    this.context.wake();
  }

  /**
   * Gives up the own liveness while there is time; the successors then claim their lists as of a dead owner. One of
   * the others must be alive, and stay so.
   */
  propose(): Proposal | null {
    const { options, state, ownDomain } = this.context;
    const { self } = options;
    const livePeer = [...state.liveness.keys()].find((host) => host !== self);
    if (livePeer === undefined || !state.liveness.has(self)) return null;
    if (!this.workers.isIsolated()) return null;
    const ownLiveness = keys.liveness(self);
    return {
      transaction: {
        conditions: [
          ownDomain.ownershipCondition(),
          state.unchanged(ownLiveness),
          state.unchanged(keys.liveness(livePeer)),
        ],
        writes: [{ delete: ownLiveness }],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done') this.release();
      },
    };
  }

  private release(): void {
    const { log, ownDomain } = this.context;
    ownDomain.setIncarnation(null);
    this.released = true;
    log.error({ machines: ownDomain.record.machines.size }, 'domain released: no worker reachable');
  }
}
