/** Machines, their types and their rentals. */

/** A machine type that the cloud offers for rent. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Disk space for cached images. */
  cacheGb: number;
  imagePullGbPerSecond: number;
  pricePerHour: number;
  /** Price per hour as a spot machine; null or absent if the type is not offered as one. */
  spotPricePerHour?: number | null | undefined;
  /** How long it usually takes from rental to the first heartbeat. */
  bootSeconds: number;
  zones: string[];
}

/** A machine type in a zone, regular or spot, as offered by the cloud. */
export interface RentalOffer {
  machineType: string;
  zone: string;
  spot: boolean;
}

/** A machine in the cloud's list. The list lags behind, so it does not prove whether a machine exists. */
export interface Rental extends RentalOffer {
  machineId: string;
  address: string;
  phase: 'booting' | 'running' | 'failed';
  rentedSeconds: number;
}

/** A request to the cloud to rent machines. Its id is an idempotency key and is never reused. */
export interface RentalRequest extends RentalOffer {
  requestId: string;
  count: number;
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** Machines of the same type, zone and price model that were rented or first seen together. */
export interface MachineBatch extends RentalOffer {
  /** Time of day at which they were rented or first seen, in milliseconds. */
  recordedAt: number;
  /** Address of each machine; empty until it is known. */
  addresses: Record<string, string>;
  /** Machines to be drained and returned to the cloud, with the reason for each. */
  drainReasons?: Record<string, string>;
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** A machine, as recorded in its batch. */
export interface Machine extends RentalOffer {
  /** Name of the batch that contains it. */
  batch: string;
  address: string;
  recordedAt: number;
  /** Set if the machine is to be drained and returned to the cloud. */
  drainReason?: string;
}

/** Why no new work may be placed on a machine. */
export type CordonReason = 'silent' | 'failing' | 'preemptionAnnounced';
