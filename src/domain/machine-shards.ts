/** Distributes a domain's machines over stored shards of limited size: pure functions. */
import type { ShardRecord } from '../store/records/index.js';
import { bytesOf } from '../store/value-size.js';
import { compareNames } from '../util/order.js';

/** Machines to remove from a domain, and machines to add or give a new fencing token. */
export interface MachineChange {
  /** Machines that leave the domain. */
  drop?: Iterable<string>;
  /** Machine to its new fencing token; the machine joins the domain if it is not in it. */
  set?: ReadonlyMap<string, number>;
}

/** Bytes that a new fencing token adds to a record besides its digits: quotes, colon, brackets, comma. */
const GROUP_OVERHEAD_BYTES = 6;
/** Bytes of an empty record: its braces. */
const EMPTY_RECORD_BYTES = 2;

/** The new content of a shard. */
interface ShardDraft {
  key: string;
  /** Machine to fencing token. */
  machines: Map<string, number>;
  /** Fencing token of the machine that was added last. */
  lastFencingToken: number;
  bytes: number;
  isChanged: boolean;
}

/** The part of a change that is still to be applied. */
interface PendingChange {
  dropped: ReadonlySet<string>;
  /** Machine to its new fencing token, for machines that are not assigned to a shard yet. */
  unplaced: Map<string, number>;
  maxBytes: number;
}

/**
 * Returns the shards that a change writes, each with its new content, or null if the shard is to be deleted. As few
 * shards as possible are written. `keyOf` returns the keys of new shards.
 */
export function reshard(
  shards: ReadonlyMap<string, ShardRecord>,
  change: MachineChange,
  maxBytes: number,
  keyOf: (shardNumber: number) => string,
): Map<string, ShardRecord | null> {
  const pending: PendingChange = {
    dropped: new Set(change.drop),
    unplaced: new Map(change.set),
    maxBytes,
  };
  const drafts: ShardDraft[] = [];
  for (const [key, record] of shards) drafts.push(changedInPlace(key, record, pending));
  // New machines go to shards that are written anyway, if they fit.
  drafts.sort((a, b) => Number(b.isChanged) - Number(a.isChanged) || compareNames(a.key, b.key));
  placeRemaining(drafts, pending, keyOf);
  return new Map(
    drafts
      .filter(({ isChanged }) => isChanged)
      .map(({ key, machines }) => [key, machines.size === 0 ? null : toRecord(machines)]),
  );
}

/** Applies a change to one shard: dropped machines leave it; machines with a new fencing token stay in it if they fit. */
function changedInPlace(key: string, record: ShardRecord, pending: PendingChange): ShardDraft {
  const { dropped, unplaced, maxBytes } = pending;
  const shard: ShardDraft = {
    key,
    machines: new Map(),
    lastFencingToken: 0,
    bytes: bytesOf(record),
    isChanged: false,
  };
  const withNewToken: [string, number][] = [];
  for (const [fencingToken, machineIds] of Object.entries(record))
    for (const machineId of machineIds) {
      const newToken = unplaced.get(machineId);
      if (newToken !== undefined) withNewToken.push([machineId, newToken]);
      else if (!dropped.has(machineId)) shard.machines.set(machineId, Number(fencingToken));
      if (newToken !== undefined || dropped.has(machineId)) shard.isChanged = true;
    }
  if (shard.isChanged) shard.bytes = bytesOf(toRecord(shard.machines));
  for (const [machineId, fencingToken] of withNewToken)
    if (addIfFits(shard, machineId, fencingToken, maxBytes)) unplaced.delete(machineId);
  return shard;
}

/** Assigns the machines that have no shard yet to shards with enough space, and to new ones. */
function placeRemaining(
  drafts: ShardDraft[],
  { unplaced, maxBytes }: PendingChange,
  keyOf: (shardNumber: number) => string,
): void {
  let shardNumber = 0;
  for (const [machineId, fencingToken] of unplaced) {
    if (drafts.some((shard) => addIfFits(shard, machineId, fencingToken, maxBytes))) continue;
    while (drafts.some(({ key }) => key === keyOf(shardNumber))) shardNumber++;
    const shard: ShardDraft = {
      key: keyOf(shardNumber),
      machines: new Map(),
      lastFencingToken: 0,
      bytes: EMPTY_RECORD_BYTES,
      isChanged: true,
    };
    // A single machine fits with every maximum value size that the check of the settings accepts.
    addIfFits(shard, machineId, fencingToken, Infinity);
    drafts.push(shard);
  }
}

function addIfFits(
  shard: ShardDraft,
  machineId: string,
  fencingToken: number,
  maxBytes: number,
): boolean {
  // Consecutive machines with the same fencing token share its entry in the record.
  const groupBytes =
    shard.lastFencingToken === fencingToken
      ? 0
      : String(fencingToken).length + GROUP_OVERHEAD_BYTES;
  const bytes = shard.bytes + bytesOf(machineId) + 1 + groupBytes;
  if (bytes > maxBytes) return false;
  shard.bytes = bytes;
  shard.lastFencingToken = fencingToken;
  shard.machines.set(machineId, fencingToken);
  shard.isChanged = true;
  return true;
}

function toRecord(machines: ReadonlyMap<string, number>): ShardRecord {
  const record: ShardRecord = {};
  for (const [machineId, fencingToken] of machines)
    (record[String(fencingToken)] ??= []).push(machineId);
  return record;
}
