/** Which controller rents machines for the region: one at a time, by the fleet's record. */
import type { FleetRecord } from '../model/domain.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeFleet, keys } from '../store/records/index.js';
import { compareNames } from '../util/order.js';
import type { FleetDependencies } from './dependencies.js';

/** Knows whether this controller is the renting leader, and succeeds one that is gone. */
export class RentingLeadership {
  constructor(
    /** Name of the own host. */
    private readonly self: string,
    private readonly dependencies: FleetDependencies,
  ) {}

  /** Whether this incarnation of the controller is the leader. */
  get isHeld(): boolean {
    const { state, domainManager } = this.dependencies;
    const { fleet } = state;
    return fleet?.holder === this.self && fleet.incarnation === domainManager.incarnation;
  }

  /** Takes over the leadership. */
  source(): ProposalSource {
    return { name: 'duty', propose: () => this.propose() };
  }

  private propose(): Proposal | null {
    const { state, domainManager, log } = this.dependencies;
    const { fleet } = state;
    if (!domainManager.isRegistered || this.isHeld || !this.maySucceed(fleet)) return null;
    const next: FleetRecord = {
      holder: this.self,
      incarnation: domainManager.incarnation,
      lastRequestNumber: fleet?.lastRequestNumber ?? 0,
      requests: fleet?.requests ?? [],
    };
    return {
      transaction: {
        conditions: [domainManager.ownershipCondition(), state.unchanged(keys.fleet)],
        writes: [{ put: keys.fleet, value: encodeFleet(next) }],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done')
          log.info({ openRequests: next.requests.length }, 'renting leadership acquired');
      },
    };
  }

  /** A leader that restarted takes over from itself; one that is not live is succeeded by the first live controller. */
  private maySucceed(fleet: FleetRecord | undefined): boolean {
    if (!fleet || fleet.holder === this.self) return true;
    const { liveness } = this.dependencies.state;
    if (liveness.has(fleet.holder)) return false;
    return [...liveness.keys()].sort(compareNames)[0] === this.self;
  }
}
