/** Leadership for renting machines: one controller of the region at a time, as recorded in the fleet's record. */
import type { FleetRecord } from '../model/domain.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeFleet, keys } from '../store/records/index.js';
import { compareNames } from '../util/order.js';
import type { FleetDependencies } from './dependencies.js';

/** Determines whether this controller is the renting leader, and takes over from a leader that is no longer live. */
export class RentingLeadership {
  constructor(
    /** Name of this controller. */
    private readonly self: string,
    private readonly dependencies: FleetDependencies,
  ) {}

  /** Whether this incarnation of the controller is the leader. */
  get isHeld(): boolean {
    const { state, domainManager } = this.dependencies;
    const { fleet } = state;
    return fleet?.holder === this.self && fleet.incarnation === domainManager.incarnation;
  }

  /** Proposes to take over the leadership. */
  source(): ProposalSource {
    return { name: 'duty', propose: () => this.propose() };
  }

  private propose(): Proposal | null {
    const { state, domainManager, log } = this.dependencies;
    const { fleet } = state;
    if (!domainManager.isRegistered || this.isHeld || !this.mayTakeOver(fleet)) return null;
    const next: FleetRecord = {
      holder: this.self,
      incarnation: domainManager.incarnation,
      lastRequestNumber: fleet?.lastRequestNumber ?? 0,
      requests: fleet?.requests ?? [],
    };
    return {
      transaction: {
        conditions: [domainManager.ownershipCondition(), state.unchangedCondition(keys.fleet)],
        writes: [{ put: keys.fleet, value: encodeFleet(next) }],
      },
      onSettled: (outcome) => {
        if (outcome.kind === 'done')
          log.info({ openRequests: next.requests.length }, 'renting leadership acquired');
      },
    };
  }

  /**
   * Whether this controller may become the leader. A restarted leader takes over from its earlier incarnation. If the
   * leader is not live, the live controller whose name sorts first takes over.
   */
  private mayTakeOver(fleet: FleetRecord | undefined): boolean {
    if (!fleet || fleet.holder === this.self) return true;
    const { liveness } = this.dependencies.state;
    if (liveness.has(fleet.holder)) return false;
    return [...liveness.keys()].sort(compareNames)[0] === this.self;
  }
}
