/** Domains (the partitions of the fleet), and the record of the controller that rents machines. */
import type { RentalRequest } from './machine.js';
import type { ResourceAmount } from './resources.js';

/**
 * The head record of a domain. It changes whenever the domain loses a machine, so a transaction that requires it to be
 * unchanged conflicts with such a loss.
 */
export interface DomainHead {
  /** Incarnation of the controller process that owns the domain. */
  incarnation: number;
  /** Fencing token of this incarnation; machines without a previous owner are claimed under it. */
  fencingToken: number;
  /** By team, what its tasks may use on these machines. Over all domains these amounts add up to the team's limit. */
  quota: Record<string, ResourceAmount>;
}

/** A controller's domain. */
export interface Domain extends DomainHead {
  /** By machine, the fencing token under which it was claimed; recorded in the domain's shards. */
  machines: ReadonlyMap<string, number>;
}

/** A controller's liveness record, which exists while the controller renews its lease. */
export interface Liveness {
  incarnation: number;
}

/** The controller that rents machines for the region, and the rental requests whose outcome is not recorded yet. */
export interface FleetRecord {
  holder: string;
  incarnation: number;
  lastRequestNumber: number;
  requests: RentalRequest[];
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}
