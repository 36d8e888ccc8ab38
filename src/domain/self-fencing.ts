/**
 * Releases the domain while no worker is reachable from here. A controller that has lost only the connections to its
 * workers still looks alive to all others: nobody would take over its machines, and their tasks would be stopped when the
 * worker leases expire.
 */
import type { Proposal } from '../store/commit-loop.js';
import { keys } from '../store/records/index.js';
import type { DomainContext } from './context.js';

/** State of the connections to the workers. */
export interface WorkerReachability {
  /** Whether no worker is reachable although the state service is, which means that the fault is on this node. */
  isIsolated(): boolean;
}

/** Proposes the release of the domain, and keeps track of whether it is released. */
export class SelfFencing {
  private released = false;

  constructor(
    private readonly context: DomainContext,
    private readonly workers: WorkerReachability,
  ) {}

  /** Whether the domain was released and must not be registered again until a worker is reachable. */
  get isReleased(): boolean {
    return this.released;
  }

  /** Called when a worker has answered: the domain may be registered again. */
  workersReachable(): void {
    if (!this.released) return;
    this.released = false;
    this.context.log.info('workers reachable again');
    this.context.wake();
  }

  /**
   * Deletes the own liveness record while there is still time for a takeover; the successors then claim their takeover
   * lists as they do for a dead owner. At least one peer must be alive, and still be alive at the commit.
   */
  propose(): Proposal | null {
    const { options, state, ownDomain } = this.context;
    const { self } = options;
    const livePeer = [...state.liveness.keys()].find((controller) => controller !== self);
    if (livePeer === undefined || !state.liveness.has(self)) return null;
    if (!this.workers.isIsolated()) return null;
    const ownLiveness = keys.liveness(self);
    return {
      transaction: {
        conditions: [
          ownDomain.ownershipCondition(),
          state.unchangedCondition(ownLiveness),
          state.unchangedCondition(keys.liveness(livePeer)),
        ],
        writes: [{ delete: ownLiveness }],
      },
      onSettled: (outcome) => {
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
