/** What the parts of domain management share. */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { State } from '../store/state.js';
import type { OwnDomain } from './own-domain.js';

/** Names, times and limits by which the domain is managed. */
export interface DomainManagerOptions {
  /** Name of this controller. */
  self: string;
  /** Names of the other controllers. */
  peers: readonly string[];
  /** Controllers that there are to be, this one included. */
  controllerCount: number;
  /** Time between two renewals of the liveness lease, in milliseconds. */
  renewMs: number;
  /** How long the liveness lease lasts from its last renewal, in milliseconds. */
  leaseMs: number;
  /** Takeover lists are rewritten, and domains rebalanced, at most this often, in milliseconds. */
  rebalanceMs: number;
  /** Unowned machines are claimed together when the first has waited this long, in milliseconds. */
  gatherMs: number;
  /** Writes that one transaction may have; it may have four conditions for each. */
  maxWrites: number;
  /** Largest value that the state service stores, in bytes. */
  maxValueBytes: number;
}

/** What each part of domain management is constructed with. */
export interface DomainContext {
  options: DomainManagerOptions;
  state: State;
  clock: Clock;
  log: Log;
  ownDomain: OwnDomain;
  /** Has the sources of proposals asked again. */
  wake: () => void;
}
