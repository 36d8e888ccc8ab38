/** Stored records of machines: batches, and the rental requests whose outcome is not known yet. */
import type { FleetRecord } from '../../model/domain.js';
import type { MachineBatch, RentalRequest } from '../../model/machine.js';
import type { Body } from '../../wire/codec.js';
import { bytesOf, jsonBytes } from '../value-size.js';
import { fleetSchema, machineBatchSchema, rentalRequestSchema } from './schemas.js';
import { fieldsOf, unknownFieldsOf } from './unknown-fields.js';

/** Stored form of a machine batch: type, zone, whether spot, time of recording, addresses and drain reasons. */
interface StoredMachineBatch {
  f: string;
  s: string;
  r: boolean;
  at: number;
  b: Record<string, string>;
  g?: Record<string, string>;
}

/** Stored form of a rental request. */
interface StoredRentalRequest {
  claim: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  count: number;
}

/** Stored form of the fleet record. */
interface StoredFleet {
  holder: string;
  inc: number;
  seq: number;
  claims: StoredRentalRequest[];
}

const BATCH_FIELDS = fieldsOf(machineBatchSchema);
const REQUEST_FIELDS = fieldsOf(rentalRequestSchema);
const FLEET_FIELDS = fieldsOf(fleetSchema);

/** Bytes reserved for a drain reason, including quotes and punctuation but without the machine's id. */
const DRAIN_REASON_BYTES = 24;
const COMMA_BYTES = 1;
const COLON_BYTES = 1;

/** The stored form of a machine batch. */
export function encodeMachineBatch(batch: MachineBatch): Body {
  const stored: StoredMachineBatch = {
    f: batch.machineType,
    s: batch.zone,
    r: batch.spot,
    at: batch.recordedAt,
    b: batch.addresses,
  };
  if (batch.drainReasons) stored.g = batch.drainReasons;
  return { ...stored, ...batch.unknownFields };
}

/** A machine batch from its stored form. */
export function decodeMachineBatch(body: Body): MachineBatch {
  const stored = body as unknown as StoredMachineBatch;
  const batch: MachineBatch = {
    machineType: stored.f,
    zone: stored.s,
    spot: stored.r,
    recordedAt: stored.at,
    addresses: stored.b,
  };
  if (stored.g) batch.drainReasons = stored.g;
  const unknownFields = unknownFieldsOf(stored, BATCH_FIELDS);
  if (unknownFields) batch.unknownFields = unknownFields;
  return batch;
}

/** Maximum bytes that the record of a batch may grow to: each of its machines may get a drain reason. */
export function machineBatchBytes(batch: MachineBatch): number {
  const stored = encodeMachineBatch({ ...batch, drainReasons: {} });
  let bytes = jsonBytes(stored);
  for (const machineId of Object.keys(batch.addresses))
    bytes += bytesOf(machineId) + DRAIN_REASON_BYTES;
  return bytes;
}

/** Maximum bytes by which one more machine may grow the record of a batch. */
export function machineBytes(machineId: string, address: string): number {
  const addressEntry = COMMA_BYTES + bytesOf(machineId) + COLON_BYTES + bytesOf(address);
  const drainReasonEntry = bytesOf(machineId) + DRAIN_REASON_BYTES;
  return addressEntry + drainReasonEntry;
}

/** The stored form of the fleet record. */
export function encodeFleet(fleet: FleetRecord): Body {
  const stored: StoredFleet = {
    holder: fleet.holder,
    inc: fleet.incarnation,
    seq: fleet.lastRequestNumber,
    claims: fleet.requests.map(encodeRentalRequest),
  };
  return { ...stored, ...fleet.unknownFields };
}

/** The fleet record from its stored form. */
export function decodeFleet(body: Body): FleetRecord {
  const stored = body as unknown as StoredFleet;
  const fleet: FleetRecord = {
    holder: stored.holder,
    incarnation: stored.inc,
    lastRequestNumber: stored.seq,
    requests: stored.claims.map(decodeRentalRequest),
  };
  const unknownFields = unknownFieldsOf(stored, FLEET_FIELDS);
  if (unknownFields) fleet.unknownFields = unknownFields;
  return fleet;
}

function encodeRentalRequest(request: RentalRequest): StoredRentalRequest {
  return {
    claim: request.requestId,
    flavor: request.machineType,
    site: request.zone,
    reclaimable: request.spot,
    count: request.count,
    ...request.unknownFields,
  };
}

function decodeRentalRequest(stored: StoredRentalRequest): RentalRequest {
  const request: RentalRequest = {
    requestId: stored.claim,
    machineType: stored.flavor,
    zone: stored.site,
    spot: stored.reclaimable,
    count: stored.count,
  };
  const unknownFields = unknownFieldsOf(stored, REQUEST_FIELDS);
  if (unknownFields) request.unknownFields = unknownFields;
  return request;
}
