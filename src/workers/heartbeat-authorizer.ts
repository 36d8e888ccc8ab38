/** Who may answer a worker's heartbeat, and so keep its lease alive. */
import { within, type Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { Heartbeat } from '../model/worker.js';
import type { Owner } from '../store/ownership-index.js';
import type { State } from '../store/state.js';
import { OwnershipWaiters } from './ownership-waiters.js';
import type { PeerKnowledge } from './peer-knowledge.js';
import { CLOCK_DRIFT_FACTOR } from './timing.js';

/** Part of the time left to a cancellation, beyond a lease, for which this controller goes on without news. */
const NEWS_AGE_SHARE = 0.85;

/** Whether this controller may answer a heartbeat. */
export type HeartbeatAuthorization =
  | { kind: 'authorized'; fencingToken: number }
  /** Another controller owns the machine; undefined if it is not known which. */
  | { kind: 'redirected'; owner: string | undefined }
  /** Nobody can tell yet. */
  | { kind: 'unsettled' };

const UNSETTLED: HeartbeatAuthorization = { kind: 'unsettled' };

/** Times of the worker protocol, in milliseconds, and who answers. */
export interface HeartbeatAuthorizerOptions {
  /** Name of this controller. */
  self: string;
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Time within which a cancelled job must have stopped, in milliseconds. */
  cancellationMs: number;
}

/** What the authorization rests on. */
export interface HeartbeatAuthorizerDependencies {
  state: State;
  domainManager: DomainManager;
  clock: Clock;
  peers: PeerKnowledge;
  /** Time of the clock up to which all cancellations and claims are known here, in milliseconds. */
  acknowledgedUntil: () => number;
}

/** Decides from ownership, and from what is known of cancellations, whether a worker's lease may be renewed. */
export class HeartbeatAuthorizer {
  private readonly ownershipWaiters = new OwnershipWaiters();

  constructor(
    private readonly options: HeartbeatAuthorizerOptions,
    private readonly dependencies: HeartbeatAuthorizerDependencies,
  ) {}

  async authorize(heartbeat: Heartbeat): Promise<HeartbeatAuthorization> {
    const { state, domainManager, peers } = this.dependencies;
    if (!domainManager.isRegistered || !this.knowsCancellations()) return UNSETTLED;
    const { machineId } = heartbeat;
    const owner = state.ownerOf(machineId) ?? (await this.claimUnowned(heartbeat));
    if (owner && owner.host !== this.options.self)
      return state.liveness.has(owner.host) ? { kind: 'redirected', owner: owner.host } : UNSETTLED;
    const fencingToken = domainManager.fencingTokenFor(machineId);
    // A successor that cannot reach the worker counts its lease from the claim on.
    if (fencingToken === null || peers.hasLeftDomain(machineId)) return UNSETTLED;
    // The worker has seen a higher token: another controller owns it by now. It would drop an answer from here, and stay
    // with this controller while its lease runs out.
    if (heartbeat.fencingToken > fencingToken) return { kind: 'redirected', owner: undefined };
    return { kind: 'authorized', fencingToken };
  }

  /** Called when a machine may have got an owner. */
  ownerChanged(machineId: string): void {
    if (this.dependencies.state.ownerOf(machineId)) this.ownershipWaiters.resolve(machineId);
  }

  /** Has a machine without an owner claimed, and waits for that a while; returns its owner then, if any. */
  private async claimUnowned(heartbeat: Heartbeat): Promise<Owner | undefined> {
    const { state, domainManager, clock } = this.dependencies;
    const { machineId, address, machineType, zone, spot, fencingToken } = heartbeat;
    const reportedAt = clock.wallClock();
    const machine = { address, machineType, zone, spot, fencingToken, reportedAt };
    domainManager.unowned.requestClaim(machineId, machine);
    const owned = this.ownershipWaiters.wait(machineId);
    await within(clock, this.options.heartbeatIntervalMs, owned, undefined);
    return state.ownerOf(machineId);
  }

  /**
   * A controller that no longer hears of cancellations must stop keeping tasks alive early enough that
   * their leases end within the time that a cancellation has.
   */
  private knowsCancellations(): boolean {
    const { cancellationMs, leaseMs } = this.options;
    const newsAgeMs = this.dependencies.clock.now() - this.dependencies.acknowledgedUntil();
    return newsAgeMs < (cancellationMs - leaseMs * CLOCK_DRIFT_FACTOR) * NEWS_AGE_SHARE;
  }
}
