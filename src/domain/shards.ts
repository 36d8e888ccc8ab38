/** How a domain's machines, and its takeover lists, are laid out over records of limited size: pure functions. */
import { compareNames } from '../util/order.js';
import type { ShardRecord, TakeoverListRecord } from '../store/records/index.js';
import { bytesOf } from '../store/value-size.js';

/** What a new term or heir takes beside its own name: quotes, colon, brackets, comma. */
const GROUP_BYTES = 6;

interface Shard {
  key: string;
  /** Machine -> term. */
  m: Map<string, number>;
  /** Term of the machine that was added last. */
  last: number;
  bytes: number;
  changed: boolean;
}

/**
 * The shards that change when machines leave a domain or come under a term, each with its new content;
 * as few of them as can be. `keyOf` names the shards that are to be made anew.
 */
export function reshard(
  shards: ReadonlyMap<string, ShardRecord>,
  change: { drop?: Iterable<string>; set?: ReadonlyMap<string, number> },
  mostBytes: number,
  keyOf: (n: number) => string,
): Map<string, ShardRecord | null> {
  const drop = new Set(change.drop);
  const left = new Map(change.set);
  const laid: Shard[] = [];
  for (const [key, record] of shards) {
    const shard: Shard = { key, m: new Map(), last: 0, bytes: bytesOf(record), changed: false };
    const raised: [string, number][] = [];
    for (const [term, boxes] of Object.entries(record))
      for (const box of boxes) {
        const next = left.get(box);
        if (drop.has(box) || next !== undefined) shard.changed = true;
        if (next !== undefined) raised.push([box, next]);
        else if (!drop.has(box)) shard.m.set(box, Number(term));
      }
    // What only comes under another term stays where it is, as far as it fits.
    if (shard.changed) shard.bytes = bytesOf(stored(shard.m));
    for (const [box, term] of raised) if (fill(shard, box, term, mostBytes)) left.delete(box);
    laid.push(shard);
  }
  // Shards that are written anyway take newcomers first.
  laid.sort((a, b) => Number(b.changed) - Number(a.changed) || compareNames(a.key, b.key));
  let n = 0;
  for (const [box, term] of left) {
    if (laid.some((shard) => fill(shard, box, term, mostBytes))) continue;
    while (laid.some(({ key }) => key === keyOf(n))) n++;
    const shard: Shard = { key: keyOf(n), m: new Map(), last: 0, bytes: 2, changed: true };
    // One machine fits any record that the settings' check lets pass.
    fill(shard, box, term, Infinity);
    laid.push(shard);
  }
  return new Map(
    laid
      .filter(({ changed }) => changed)
      .map(({ key, m }) => [key, m.size === 0 ? null : stored(m)]),
  );
}

function fill(shard: Shard, box: string, term: number, mostBytes: number): boolean {
  // Machines that come one after the other share their term's name.
  const group = shard.last === term ? 0 : String(term).length + GROUP_BYTES;
  const bytes = shard.bytes + bytesOf(box) + 1 + group;
  if (bytes > mostBytes) return false;
  shard.bytes = bytes;
  shard.last = term;
  shard.m.set(box, term);
  shard.changed = true;
  return true;
}

function stored(m: ReadonlyMap<string, number>): ShardRecord {
  const record: ShardRecord = {};
  for (const [box, term] of m) (record[String(term)] ??= []).push(box);
  return record;
}

/** Takeover lists laid out over records of that size. */
export function layLists(
  lists: Readonly<Record<string, readonly string[]>>,
  mostBytes: number,
): TakeoverListRecord[] {
  const records: TakeoverListRecord[] = [];
  let bytes = Infinity;
  for (const [heir, boxes] of Object.entries(lists))
    for (const box of boxes) {
      let record = records.at(-1);
      const group = record && heir in record ? 0 : bytesOf(heir) + GROUP_BYTES;
      bytes += bytesOf(box) + 1 + group;
      if (!record || bytes > mostBytes) {
        records.push((record = {}));
        bytes = 2 + bytesOf(box) + 1 + bytesOf(heir) + GROUP_BYTES;
      }
      (record[heir] ??= []).push(box);
    }
  return records;
}
