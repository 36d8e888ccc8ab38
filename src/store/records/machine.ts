/** Stored records of machines: batches, and the rental requests whose outcome is open. */
import type { FleetRecord } from '../../model/domain.js';
import type { MachineBatch, RentalRequest } from '../../model/machine.js';
import type { Body } from '../../wire/codec.js';
import { bytesOf } from '../bytes.js';

interface StoredMachineBatch {
  f: string;
  s: string;
  r: boolean;
  at: number;
  b: Record<string, string>;
  g?: Record<string, string>;
}

interface StoredRentalRequest {
  claim: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  count: number;
}

interface StoredFleet {
  holder: string;
  inc: number;
  seq: number;
  claims: StoredRentalRequest[];
}

/** What a drain reason takes beside the machine's name; the reasons are this program's own. */
const DRAIN_REASON_BYTES = 24;

export function encodeMachineBatch(batch: MachineBatch): Body {
  const stored: StoredMachineBatch = {
    f: batch.machineType,
    s: batch.zone,
    r: batch.spot,
    at: batch.recordedAt,
    b: batch.addresses,
  };
  if (batch.drainReasons) stored.g = batch.drainReasons;
  return { ...stored };
}

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
  return batch;
}

/** How large the record of a batch may get: each of its machines may have to be drained. */
export function machineBatchBytes(batch: MachineBatch): number {
  const stored = encodeMachineBatch({ ...batch, drainReasons: {} });
  let bytes = Buffer.byteLength(JSON.stringify(stored));
  for (const machineId of Object.keys(batch.addresses))
    bytes += bytesOf(machineId) + DRAIN_REASON_BYTES;
  return bytes;
}

/** By how much the record of a batch grows with a further machine. */
export function machineBytes(machineId: string, address: string): number {
  // Comma, name, colon and address; the name once more and a reason, should it be drained.
  return 1 + bytesOf(machineId) + 1 + bytesOf(address) + bytesOf(machineId) + DRAIN_REASON_BYTES;
}

export function encodeFleet(fleet: FleetRecord): Body {
  const stored: StoredFleet = {
    holder: fleet.holder,
    inc: fleet.incarnation,
    seq: fleet.lastRequestNumber,
    claims: fleet.requests.map(encodeRentalRequest),
  };
  return { ...stored };
}

export function decodeFleet(body: Body): FleetRecord {
  const stored = body as unknown as StoredFleet;
  return {
    holder: stored.holder,
    incarnation: stored.inc,
    lastRequestNumber: stored.seq,
    requests: stored.claims.map(decodeRentalRequest),
  };
}

function encodeRentalRequest(request: RentalRequest): StoredRentalRequest {
  return {
    claim: request.requestId,
    flavor: request.machineType,
    site: request.zone,
    reclaimable: request.spot,
    count: request.count,
  };
}

function decodeRentalRequest(stored: StoredRentalRequest): RentalRequest {
  return {
    requestId: stored.claim,
    machineType: stored.flavor,
    zone: stored.site,
    spot: stored.reclaimable,
    count: stored.count,
  };
}
