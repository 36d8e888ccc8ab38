/** The partition of the fleet that this controller owns, according to its replica. */
import type { Clock } from '../clock.js';
import type { Domain } from '../model/domain.js';
import type { Condition } from '../store/client.js';
import { keys } from '../store/records/index.js';
import type { State } from '../store/state.js';
import type { LivenessLease } from './liveness-lease.js';

/** The state that a decision is based on, for the log. */
export interface DecisionContext {
  incarnation: number;
  /** Last fencing token that was taken. */
  fencingToken: number;
  /** Time left of the liveness lease, in milliseconds. */
  leaseRemainingMs: number;
  /** Revision up to which the replica is complete. */
  revision: number;
  /** Time since the replica was last confirmed current, in milliseconds. */
  replicaAgeMs: number;
}

/** The own domain's record, and the incarnation under which this process holds it. */
export class OwnDomain {
  /** Incarnation under which the domain is held, or null while the domain is not registered. */
  private heldIncarnation: number | null = null;

  constructor(
    readonly controller: string,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly lease: LivenessLease,
  ) {}

  get isRegistered(): boolean {
    return this.heldIncarnation !== null;
  }

  /** Incarnation under which the domain is held, 0 if it is not. */
  get incarnation(): number {
    return this.heldIncarnation ?? 0;
  }

  /** Sets the incarnation under which the domain is held from now on; null if it is no longer held. */
  setIncarnation(incarnation: number | null): void {
    this.heldIncarnation = incarnation;
  }

  /** The domain's record. If none has been written yet, a record with only the domain's machines. */
  get record(): Domain {
    const stored = this.state.domains.get(this.controller);
    if (stored) return stored;
    const machines = this.state.machinesOf(this.controller);
    return { incarnation: 0, fencingToken: 0, quota: {}, machines };
  }

  /** Fencing token under which this process may command the machine, or null if it does not own it. */
  fencingTokenFor(machineId: string): number | null {
    const owner = this.state.ownerOf(machineId);
    return this.heldIncarnation !== null && owner?.host === this.controller
      ? owner.fencingToken
      : null;
  }

  /** Condition on the domain's head, which every loss of ownership changes. Every commit of a decision needs it. */
  ownershipCondition(): Condition {
    return this.state.unchangedCondition(keys.domain(this.controller));
  }

  decisionContext(): DecisionContext {
    const { revision, lastConfirmedAt } = this.state.replica;
    return {
      incarnation: this.incarnation,
      fencingToken: this.state.fencingToken,
      leaseRemainingMs: Math.round(this.lease.remainingMs),
      revision,
      replicaAgeMs: Math.round(this.clock.now() - lastConfirmedAt),
    };
  }
}
