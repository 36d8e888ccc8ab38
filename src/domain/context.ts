/** Options and dependencies shared by the modules of domain management. */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { State } from '../store/state.js';
import type { OwnDomain } from './own-domain.js';

/** Names, intervals and limits of domain management. */
export interface DomainManagerOptions {
  /** Name of this controller. */
  self: string;
  /** Names of the other controllers. */
  peers: readonly string[];
  /** Configured number of controllers, this one included. */
  controllerCount: number;
  /** Time between two renewals of the liveness lease, in milliseconds. */
  renewMs: number;
  /** How long the liveness lease lasts from its last renewal, in milliseconds. */
  leaseMs: number;
  /** Minimum time between two updates of the takeover lists, and between two rebalancings, in milliseconds. */
  rebalanceMs: number;
  /**
   * Unowned machines are claimed together once the first has waited this long, in milliseconds. Also the minimum time
   * between two transfers of quota from peers.
   */
  batchingMs: number;
  /** Maximum number of writes in one transaction; it may have four conditions per write. */
  maxWrites: number;
  /** Maximum size of a value in the state service, in bytes. */
  maxValueBytes: number;
}

/** Dependencies of each module of domain management. */
export interface DomainContext {
  options: DomainManagerOptions;
  state: State;
  clock: Clock;
  log: Log;
  ownDomain: OwnDomain;
  /** Makes the commit loop ask all proposal sources again. */
  wake: () => void;
}
