/** Domains (the partitions of the fleet), and the duty to rent machines. */
import type { RentalRequest } from './machine.js';
import type { ResourceAmount } from './resources.js';

/** The head of a domain, which every loss of a machine changes. */
export interface DomainHead {
  /** Incarnation of the controller process that holds it. */
  incarnation: number;
  /** Fencing token of this incarnation: machines that nobody held before come under it. */
  fencingToken: number;
  /** Team to what its tasks may use on these machines. Over all domains it adds up to the team's limit. */
  quota: Record<string, ResourceAmount>;
}

/** A controller's domain. */
export interface Domain extends DomainHead {
  /** Machine to the fencing token under which it was claimed; recorded in the shards. */
  machines: ReadonlyMap<string, number>;
}

/** Present while the controller's lease is renewed. */
export interface Liveness {
  incarnation: number;
}

/** Who rents machines for the region, and the rental requests whose outcome is not recorded yet. */
export interface FleetRecord {
  holder: string;
  incarnation: number;
  lastRequestNumber: number;
  requests: RentalRequest[];
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}
