/** Machines, their types and their rentals. */

/** A kind of machine that the cloud rents out. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Disk for cached images. */
  cacheGb: number;
  imagePullGbPerSecond: number;
  pricePerHour: number;
  /** Price as a spot machine, where the type can be one. */
  spotPricePerHour?: number | null | undefined;
  /** How long it usually takes from rental to the first heartbeat. */
  bootSeconds: number;
  zones: string[];
}

/** A kind of machine in a zone, as the cloud offers it. */
export interface RentalOffer {
  machineType: string;
  zone: string;
  spot: boolean;
}

/** A machine in the cloud's list, which lags behind and proves nothing. */
export interface Rental extends RentalOffer {
  machineId: string;
  address: string;
  phase: 'booting' | 'running' | 'failed';
  rentedSeconds: number;
}

/** Machines that the cloud was asked for; the id is an idempotency key and never used again. */
export interface RentalRequest extends RentalOffer {
  requestId: string;
  count: number;
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** Machines of one kind that were rented or first seen together. */
export interface MachineBatch extends RentalOffer {
  /** Time of day at which they were rented or first seen, in milliseconds. */
  recordedAt: number;
  /** Machine to address; empty until it is known. */
  addresses: Record<string, string>;
  /** Machines that are to be drained and given back, and why. */
  drainReasons?: Record<string, string>;
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** A machine, as its batch tells. */
export interface Machine extends RentalOffer {
  /** Name of the batch that lists it. */
  batch: string;
  address: string;
  recordedAt: number;
  /** Set when the machine is to be drained and given back. */
  drainReason?: string;
}

/** Why no new work may be placed on a machine. */
export type CordonReason = 'silent' | 'failing' | 'preemptionAnnounced';
