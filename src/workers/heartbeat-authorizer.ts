/** Decides whether this controller may answer a worker's heartbeat; an answer renews the worker's lease. */
import { withTimeout, type Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import { lastTokenOfRange } from '../model/fencing-token.js';
import type { Heartbeat } from '../model/worker.js';
import type { Owner } from '../store/ownership-index.js';
import type { State } from '../store/state.js';
import { OwnershipWaiters } from './ownership-waiters.js';
import type { PeerReports } from './peer-reports.js';
import { CLOCK_DRIFT_FACTOR } from './timing.js';

/**
 * A cancelled job must have stopped within the cancellation time, and a worker keeps its tasks for up to one lease.
 * This controller keeps answering heartbeats for this fraction of the difference after it last had all cancellations.
 */
const MAX_STALENESS_FRACTION = 0.85;

/** Whether this controller may answer a heartbeat. */
export type HeartbeatAuthorization =
  /** `fencingToken` is the first of the range under which this controller owns the machine. */
  | { kind: 'authorized'; fencingToken: number }
  /** Another controller owns the machine; `owner` is undefined if it is not known which. */
  | { kind: 'redirected'; owner: string | undefined }
  /** The owner is not certain yet, or this controller lacks current information. */
  | { kind: 'unsettled' };

const UNSETTLED: HeartbeatAuthorization = { kind: 'unsettled' };

/** This controller's name, and the timing of the worker protocol in milliseconds. */
export interface HeartbeatAuthorizerOptions {
  /** Name of this controller. */
  self: string;
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Time within which a cancelled job must have stopped. */
  cancellationMs: number;
}

/** Dependencies of a `HeartbeatAuthorizer`. */
export interface HeartbeatAuthorizerDependencies {
  state: State;
  domainManager: DomainManager;
  clock: Clock;
  peers: PeerReports;
  /** Clock time in milliseconds up to which this controller has all cancellations and claims. */
  acknowledgedUntil: () => number;
}

/** Decides from the machine's owner and the age of the known cancellations whether a worker's lease may be renewed. */
export class HeartbeatAuthorizer {
  private readonly ownershipWaiters = new OwnershipWaiters();

  constructor(
    private readonly options: HeartbeatAuthorizerOptions,
    private readonly dependencies: HeartbeatAuthorizerDependencies,
  ) {}

  async authorize(heartbeat: Heartbeat): Promise<HeartbeatAuthorization> {
    const { state, domainManager, peers } = this.dependencies;
    if (!domainManager.isRegistered || !this.hasCurrentCancellations()) return UNSETTLED;
    const { machineId } = heartbeat;
    const owner = state.ownerOf(machineId) ?? (await this.claimUnowned(heartbeat));
    if (owner && owner.host !== this.options.self)
      return state.liveness.has(owner.host) ? { kind: 'redirected', owner: owner.host } : UNSETTLED;
    const fencingToken = domainManager.fencingTokenFor(machineId);
    // A successor that cannot reach the worker counts its lease from the claim on, so it must not be renewed here.
    if (fencingToken === null || peers.hasLeftDomain(machineId)) return UNSETTLED;
    // The worker has seen a higher token, so another controller owns the machine now. The worker would ignore an answer
    // from here, but keep sending its heartbeats to this controller until its lease runs out.
    if (heartbeat.fencingToken > lastTokenOfRange(fencingToken))
      return { kind: 'redirected', owner: undefined };
    return { kind: 'authorized', fencingToken };
  }

  /** Called when the owner of a machine may have changed; wakes the requests that wait for one. */
  ownerChanged(machineId: string): void {
    if (this.dependencies.state.ownerOf(machineId)) this.ownershipWaiters.resolve(machineId);
  }

  /**
   * Requests a claim for a machine without an owner, and waits up to one heartbeat interval for it. Returns the owner,
   * if there is one then.
   */
  private async claimUnowned(heartbeat: Heartbeat): Promise<Owner | undefined> {
    const { state, domainManager, clock } = this.dependencies;
    const { machineId, address, machineType, zone, spot, fencingToken } = heartbeat;
    const reportedAt = clock.wallClock();
    const machine = { address, machineType, zone, spot, fencingToken, reportedAt };
    domainManager.unowned.requestClaim(machineId, machine);
    const owned = this.ownershipWaiters.wait(machineId);
    await withTimeout(clock, this.options.heartbeatIntervalMs, owned, undefined);
    return state.ownerOf(machineId);
  }

  /**
   * A controller that no longer receives cancellations must stop renewing leases early enough that the leases end
   * within the cancellation time.
   */
  private hasCurrentCancellations(): boolean {
    const { cancellationMs, leaseMs } = this.options;
    const stalenessMs = this.dependencies.clock.now() - this.dependencies.acknowledgedUntil();
    return stalenessMs < (cancellationMs - leaseMs * CLOCK_DRIFT_FACTOR) * MAX_STALENESS_FRACTION;
  }
}
