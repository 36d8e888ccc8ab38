/**
 * Takeover lists: which live controller takes over which machines of an owner once that owner is dead. They are
 * recorded in advance, so that a failover needs no agreement between controllers. The paper calls a successor an heir.
 * Pure functions.
 */
import type { TakeoverListRecord } from '../store/records/index.js';
import { bytesOf } from '../store/value-size.js';
import { compareNames } from '../util/order.js';

/** A machine and its zone. */
export interface MachineLocation {
  machineId: string;
  zone: string;
}

/** Successor to the machines that it takes over when their owner is dead. */
export type TakeoverLists = Record<string, string[]>;

/** Bytes of a list besides its machines and its successor's name: quotes, colon, brackets, comma. */
const LIST_OVERHEAD_BYTES = 6;
/** Bytes of an empty record: its braces. */
const EMPTY_RECORD_BYTES = 2;

/**
 * Algorithm 1 of the paper, with one change: machines have no links between them, so every machine counts as adjacent to
 * every successor. Each successor gets one machine per round. The machines are taken zone by zone, so that each list has
 * machines of every zone.
 */
export function partitionForTakeover(
  machines: readonly MachineLocation[],
  successors: readonly string[],
): TakeoverLists {
  const lists: TakeoverLists = {};
  const order = [...successors].sort();
  if (order.length === 0) return lists;
  const byZone = [...machines].sort(
    (a, b) => compareNames(a.zone, b.zone) || compareNames(a.machineId, b.machineId),
  );
  for (const [index, { machineId }] of byZone.entries()) {
    const successor = order[index % order.length] ?? '';
    (lists[successor] ??= []).push(machineId);
  }
  return lists;
}

/** Distributes takeover lists over records of at most `maxBytes` each. */
export function layOutTakeoverLists(
  lists: Readonly<Record<string, readonly string[]>>,
  maxBytes: number,
): TakeoverListRecord[] {
  const records: TakeoverListRecord[] = [];
  let record: TakeoverListRecord = {};
  let bytes = 0;
  for (const [successor, machineIds] of Object.entries(lists))
    for (const machineId of machineIds) {
      bytes += entryBytes(record, successor, machineId);
      if (records.length === 0 || bytes > maxBytes) {
        record = {};
        records.push(record);
        bytes = EMPTY_RECORD_BYTES + entryBytes(record, successor, machineId);
      }
      (record[successor] ??= []).push(machineId);
    }
  return records;
}

/** Number of bytes by which a record grows when a machine is added to a successor's list. */
function entryBytes(record: TakeoverListRecord, successor: string, machineId: string): number {
  const listBytes = successor in record ? 0 : bytesOf(successor) + LIST_OVERHEAD_BYTES;
  return bytesOf(machineId) + 1 + listBytes;
}
