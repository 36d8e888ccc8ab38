/** How a domain's machines are laid out over stored shards of limited size: pure functions. */
import type { ShardRecord } from '../store/records/index.js';
import { bytesOf } from '../store/value-size.js';
import { compareNames } from '../util/order.js';

/** Machines that leave a domain, or come under a fencing token in it. */
export interface MachineChange {
  /** Machines that leave. */
  drop?: Iterable<string>;
  /** Machine to its new fencing token; the machine joins the domain if it is not in it. */
  set?: ReadonlyMap<string, number>;
}

/** What a new fencing token takes in a record beside its digits: quotes, colon, brackets, comma. */
const GROUP_FRAME_BYTES = 6;
/** The braces of an empty record. */
const EMPTY_RECORD_BYTES = 2;

/** A shard as it is going to be. */
interface ShardDraft {
  key: string;
  /** Machine to fencing token. */
  machines: Map<string, number>;
  /** Fencing token of the machine that was added last. */
  lastFencingToken: number;
  bytes: number;
  isChanged: boolean;
}

/** What is still to be done of a change. */
interface PendingChange {
  dropped: ReadonlySet<string>;
  /** Machine to its new fencing token; without those that have found their shard. */
  unplaced: Map<string, number>;
  maxBytes: number;
}

/**
 * The shards that a change writes, each with its new content, or null if it is to be deleted; as few of them as can
 * be. `keyOf` names the shards that are to be created.
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
  // Shards that are written anyway take new machines first.
  drafts.sort((a, b) => Number(b.isChanged) - Number(a.isChanged) || compareNames(a.key, b.key));
  placeRemaining(drafts, pending, keyOf);
  return new Map(
    drafts
      .filter(({ isChanged }) => isChanged)
      .map(({ key, machines }) => [key, machines.size === 0 ? null : toRecord(machines)]),
  );
}

/** A shard without the dropped machines; those that only change their fencing token stay, as far as they fit. */
function changedInPlace(key: string, record: ShardRecord, pending: PendingChange): ShardDraft {
  const { dropped, unplaced, maxBytes } = pending;
  const shard: ShardDraft = {
    key,
    machines: new Map(),
    lastFencingToken: 0,
    bytes: bytesOf(record),
    isChanged: false,
  };
  const raised: [string, number][] = [];
  for (const [fencingToken, machineIds] of Object.entries(record))
    for (const machineId of machineIds) {
      const next = unplaced.get(machineId);
      if (next !== undefined) raised.push([machineId, next]);
      else if (!dropped.has(machineId)) shard.machines.set(machineId, Number(fencingToken));
      if (next !== undefined || dropped.has(machineId)) shard.isChanged = true;
    }
  if (shard.isChanged) shard.bytes = bytesOf(toRecord(shard.machines));
  for (const [machineId, fencingToken] of raised)
    if (addIfFits(shard, machineId, fencingToken, maxBytes)) unplaced.delete(machineId);
  return shard;
}

/** Puts the machines that have no shard yet into those with room, and into new ones. */
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
    // One machine fits any record that the check of the settings lets pass.
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
  // Machines that come one after the other share the name of their fencing token.
  const groupBytes =
    shard.lastFencingToken === fencingToken ? 0 : String(fencingToken).length + GROUP_FRAME_BYTES;
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
