/**
 * Takeover lists: which live controller takes over which machines of an owner once that owner is dead. They are
 * written ahead of time, so that a failover needs no agreement. A successor is what the paper calls an heir.
 * Pure functions.
 */
import type { TakeoverListRecord } from '../store/records/index.js';
import { bytesOf } from '../store/value-size.js';
import { compareNames } from '../util/order.js';

/** A machine and the zone that it is in. */
export interface MachineLocation {
  machineId: string;
  zone: string;
}

/** Successor to the machines that it is to take over. */
export type TakeoverLists = Record<string, string[]>;

/** What a list takes beside its machines and its successor's name: quotes, colon, brackets, comma. */
const LIST_FRAME_BYTES = 6;
/** The braces of an empty record. */
const EMPTY_RECORD_BYTES = 2;

/**
 * Algorithm 1 of the paper, with one change: machines have no links among them, so every machine counts as
 * adjacent to every successor. Each successor gets one machine a round; the machines are taken zone by zone, so
 * that each list holds some of every zone.
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

/** Lays takeover lists out over records of at most `maxBytes` each. */
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

/** By how much a record grows with one more machine in a successor's list. */
function entryBytes(record: TakeoverListRecord, successor: string, machineId: string): number {
  const listBytes = successor in record ? 0 : bytesOf(successor) + LIST_FRAME_BYTES;
  return bytesOf(machineId) + 1 + listBytes;
}
