/** Messages to and from the cloud that rents out machines. */
import * as v from 'valibot';
import type { MachineType, Rental, RentalRequest } from '../model/machine.js';
import type { Body } from '../wire/codec.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

const WireMachineType = v.object({
  sku: v.string(),
  cpus: amount,
  cards: v.optional(amount, 0),
  memory_gb: amount,
  cache_gb: v.optional(amount, 0),
  pull_gb_per_s: v.optional(amount, 0),
  rate: amount,
  low_price: v.nullish(amount),
  ready_s: amount,
  sites: v.array(v.string()),
});

const WireMachineTypes = v.array(WireMachineType);

const WireRental = v.object({
  uid: v.string(),
  address: v.optional(v.string(), ''),
  flavor: v.string(),
  site: v.string(),
  reclaimable: v.boolean(),
  phase: v.picklist(['booting', 'running', 'failed']),
  held_s: v.optional(amount, 0),
});

const WireRentals = v.array(WireRental);

const MachineIds = v.array(v.string());

/** The machine types in an answer; null if the answer is malformed. */
export function decodeMachineTypes(body: Body): MachineType[] | null {
  const types = v.safeParse(WireMachineTypes, body['flavors']);
  return types.success ? types.output.map(decodeMachineType) : null;
}

function decodeMachineType(wire: v.InferOutput<typeof WireMachineType>): MachineType {
  return {
    name: wire.sku,
    cpus: wire.cpus,
    gpus: wire.cards,
    memoryGb: wire.memory_gb,
    cacheGb: wire.cache_gb,
    imagePullGbPerSecond: wire.pull_gb_per_s,
    pricePerHour: wire.rate,
    spotPricePerHour: wire.low_price,
    bootSeconds: wire.ready_s,
    zones: wire.sites,
  };
}

/** One page of the list of rented machines. */
export interface RentalPage {
  rentals: Rental[];
  hasMore: boolean;
}

/** The page in an answer; null if the answer is malformed. */
export function decodeRentalPage(body: Body): RentalPage | null {
  const rentals = v.safeParse(WireRentals, body['boxes']);
  if (!rentals.success) return null;
  return { rentals: rentals.output.map(decodeRental), hasMore: body['more'] === true };
}

function decodeRental(wire: v.InferOutput<typeof WireRental>): Rental {
  return {
    machineId: wire.uid,
    address: wire.address,
    machineType: wire.flavor,
    zone: wire.site,
    spot: wire.reclaimable,
    phase: wire.phase,
    rentedSeconds: wire.held_s,
  };
}

/** A rental request. The request id is its idempotency key. */
export function encodeRentalRequest(request: RentalRequest): Body {
  return {
    claim: request.requestId,
    flavor: request.machineType,
    site: request.zone,
    reclaimable: request.spot,
    count: request.count,
  };
}

/** Ids of the machines that were rented for a request; null if the answer does not contain them. */
export function decodeRentedMachines(body: Body): string[] | null {
  const machineIds = v.safeParse(MachineIds, body['boxes']);
  return machineIds.success ? machineIds.output : null;
}

/** Whether the cloud refused a request for lack of capacity, as opposed to being unable to answer now. */
export function isOutOfCapacity(body: Body): boolean {
  return body['error'] === 'no capacity';
}

/** A request to delete machines. */
export function encodeDeletion(machineIds: readonly string[]): Body {
  return { boxes: [...machineIds] };
}
