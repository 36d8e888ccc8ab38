import { without } from '../util/records.js';
import type { JobRecord } from '../model/job.js';
import { type AllocationRecord, encodeDomainHead, encodeJob, keys } from './records/index.js';
import type { Body } from '../wire/codec.js';
import { bytesOf } from './bytes.js';
import type { Write, Condition, Transaction } from './client.js';
import { isLarge, maxGuardedParts, allocationConditions } from './part-guards.js';
import type { State } from './state.js';

export interface TransactionLimits {
  maxWrites: number;
  valueBytes: number;
  maxBytes: number;
}

/** A transaction's limit is 64 KiB; keys, guards and framing take some of it. */
export const TXN_BYTES = 48 * 1024;
/** Part of a value's limit that a record is filled to. */
export const FILL = 0.9;
interface Put {
  value: Body;
  bytes: number;
}

/**
 * A transaction being put together: changes of jobs and of what is on the own machines, as many as fit.
 * What is drafted is seen by what is drafted after it.
 */
export class TransactionBuilder {
  private readonly conditions = new Map<string, number>();
  private readonly puts = new Map<string, Put>();
  private readonly jobs = new Map<string, JobRecord>();
  private bytes = 0;
  /** Machines whose tasks this changes. */
  readonly touched = new Set<string>();

  constructor(
    private readonly state: State,
    private readonly host: string,
    private readonly limits: TransactionLimits,
  ) {}

  job(uid: string): JobRecord | undefined {
    return this.jobs.get(uid) ?? this.state.jobs.get(uid);
  }

  get size(): number {
    return this.puts.size;
  }

  require(guard: Condition): void {
    this.conditions.set(guard.key, guard.modRevision);
  }

  /** Takes up a job's next state; false, and nothing changed, if the transaction cannot hold it. */
  set(uid: string, next: JobRecord): boolean {
    const before = this.job(uid);
    if (!before) return false;
    const changed = new Map<string, Body>();
    if (!sameStored(before, next)) changed.set(keys.job(uid), encodeJob(next));
    if (!this.moveRuns(uid, before, next, changed) || !this.accept(changed)) return false;
    this.jobs.set(uid, next);
    for (const box of new Set([
      ...Object.keys(before.allocationsByMachine),
      ...Object.keys(next.allocationsByMachine),
    ]))
      if (before.allocationsByMachine[box] !== next.allocationsByMachine[box])
        this.touched.add(box);
    return true;
  }

  private accept(changed: Map<string, Body>): boolean {
    const puts = new Map<string, Put>();
    let bytes = this.bytes;
    let count = this.puts.size;
    for (const [key, value] of changed) {
      const size = bytesOf(value);
      // A value over its limit may still get smaller; only what grows it is turned away.
      if (size > this.limits.valueBytes * FILL && size > this.sizeOf(key)) return false;
      bytes += size - (this.puts.get(key)?.bytes ?? 0);
      if (!this.puts.has(key)) count++;
      puts.set(key, { value, bytes: size });
    }
    if (count > this.limits.maxWrites || bytes > this.limits.maxBytes) return false;
    for (const [key, put] of puts) {
      if (!this.conditions.has(key)) this.conditions.set(key, this.state.modRevisionOf(key));
      this.puts.set(key, put);
    }
    this.bytes = bytes;
    return true;
  }

  /** Moves what a part of another domain records on machines that are the own ones now; false if not all fits. */
  adopt(key: string, mine: (box: string) => boolean): boolean {
    for (const [uid, runs] of Object.entries(this.run(key, new Map())))
      for (const [box, pairs] of Object.entries(runs)) {
        if (!mine(box)) continue;
        // A step of its own: what has been accepted is never changed any more.
        const changed = new Map<string, Body>();
        if (!this.add(uid, [[box, pairs]], changed)) return false;
        setPairs(this.edit(key, changed), uid, box, []);
        if (!this.accept(changed)) return false;
      }
    return true;
  }

  build(): Transaction {
    const apply: Write[] = [...this.puts].map(([put, { value }]) => ({ put, value }));
    return {
      conditions: [...this.conditions].map(([key, modRevision]) => ({ key, modRevision })),
      writes: apply,
    };
  }

  private run(key: string, changed: Map<string, Body>): AllocationRecord {
    return (changed.get(key) ??
      this.puts.get(key)?.value ??
      this.state.allocationsIn(key)) as AllocationRecord;
  }

  /** A part as this step goes on to change it: a copy of what it holds so far. */
  private edit(key: string, changed: Map<string, Body>): AllocationRecord {
    if (!changed.has(key)) changed.set(key, { ...this.run(key, changed) });
    return changed.get(key) as AllocationRecord;
  }

  private sizeOf(key: string): number {
    const put = this.puts.get(key);
    if (put) return put.bytes;
    const stored = this.state.replica.get(key)?.value;
    return stored ? bytesOf(stored) : 0;
  }

  /** Writes the difference between two `r` of a job into the parts that hold it. */
  private moveRuns(
    uid: string,
    before: JobRecord,
    next: JobRecord,
    changed: Map<string, Body>,
  ): boolean {
    const boxes = new Set([
      ...Object.keys(before.allocationsByMachine),
      ...Object.keys(next.allocationsByMachine),
    ]);
    const added: [string, number[]][] = [];
    for (const box of boxes) {
      const old = before.allocationsByMachine[box] ?? [];
      const now = next.allocationsByMachine[box] ?? [];
      if (old === now) continue;
      const kept = new Set(pairKeys(now));
      const had = new Set(pairKeys(old));
      if ([...had].some((pair) => !kept.has(pair))) this.drop(uid, box, kept, changed);
      const fresh = now.filter((_, at) => !had.has(pairAt(now, at - (at % 2))));
      if (fresh.length > 0) added.push([box, fresh]);
    }
    return added.length === 0 || this.add(uid, added, changed);
  }

  /** Takes off a machine what is no longer kept there, in whichever parts hold it. */
  private drop(
    uid: string,
    box: string,
    kept: ReadonlySet<string>,
    changed: Map<string, Body>,
  ): void {
    const parts = new Set(this.state.allocationPartitionsOf(uid).keys());
    for (const key of [...this.puts.keys(), ...changed.keys()])
      if (key.startsWith(keys.allocations(this.host, 0).slice(0, -1))) parts.add(key);
    for (const key of parts) {
      const record = this.run(key, changed);
      const pairs = record[uid]?.[box];
      if (!pairs) continue;
      const left = pairs.filter((_, at) => kept.has(pairAt(pairs, at - (at % 2))));
      if (left.length < pairs.length) setPairs(this.edit(key, changed), uid, box, left);
    }
  }

  /**
   * Adds to the own parts that have the job already, then to others with room, machine by machine. What
   * may be added follows from what all own parts hold, so all of them are guarded: an own commit that this
   * process does not know of, of an earlier incarnation or without an answer, makes this one fail.
   */
  private add(uid: string, added: [string, number[]][], changed: Map<string, Body>): boolean {
    const { maxWrites: txnOps } = this.limits;
    for (const guard of allocationConditions(this.state, this.host, txnOps)) this.require(guard);
    const has = (key: string): boolean => uid in this.run(key, changed);
    const own = this.ownParts();
    const left = [...added];
    for (const key of [...own.filter(has), ...own.filter((key) => !has(key))]) {
      let room = this.limits.valueBytes * FILL - this.filled(key, changed);
      if (!has(key)) room -= uid.length + FRAME_BYTES;
      while (left.length > 0) {
        const [box, fresh] = left[0] ?? ['', []];
        room -= bytesOf(box) + bytesOf(fresh) + FRAME_BYTES;
        if (room < 0) break;
        const record = this.edit(key, changed);
        setPairs(record, uid, box, [...(record[uid]?.[box] ?? []), ...fresh]);
        left.shift();
      }
      if (left.length === 0) return this.putHeadIfLarge(changed);
    }
    return false;
  }

  /** Parts that may be added to: those there are, and as many more as this transaction could make. */
  private ownParts(): string[] {
    const { maxWrites: txnOps } = this.limits;
    const own = [...this.state.allocationKeys(this.host)];
    const most = Math.max(maxGuardedParts(txnOps), own.length + txnOps);
    for (let part = own.length; part < most; part++) own.push(keys.allocations(this.host, part));
    return own;
  }

  /** Whoever relies on a large domain's parts guards its head alone; false if there is none. */
  private putHeadIfLarge(changed: Map<string, Body>): boolean {
    const { maxWrites: txnOps } = this.limits;
    const first = maxGuardedParts(txnOps);
    const own = keys.allocations(this.host, 0).slice(0, -1);
    const makesLarge = [...changed.keys()].some(
      (key) => key.startsWith(own) && Number(key.slice(own.length)) >= first,
    );
    if (!makesLarge && !isLarge(this.state, this.host, txnOps)) return true;
    const domain = this.state.domains.get(this.host);
    if (!domain) return false;
    changed.set(keys.domain(this.host), encodeDomainHead(domain));
    return true;
  }

  /** Bytes of a part as it is so far; one that this step has changed already is counted anew. */
  private filled(key: string, changed: Map<string, Body>): number {
    const edited = changed.get(key);
    return edited ? Buffer.byteLength(JSON.stringify(edited)) : bytesOf(this.run(key, changed));
  }
}

/** Quotes, colon, comma and braces round a name in a record. */
const FRAME_BYTES = 6;

const pairAt = (pairs: number[], at: number): string =>
  `${String(pairs[at])} ${String(pairs[at + 1])}`;

function pairKeys(pairs: number[]): string[] {
  return pairs.filter((_, at) => at % 2 === 0).map((_, at) => pairAt(pairs, at * 2));
}

/** Other pairs for one job on one machine, in a part that is being changed. */
function setPairs(record: AllocationRecord, uid: string, box: string, pairs: number[]): void {
  const runs = without(record[uid] ?? {}, box);
  if (pairs.length > 0) runs[box] = pairs;
  // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- a copy made for this
  if (Object.keys(runs).length === 0) delete record[uid];
  else record[uid] = runs;
}

/** Whether two states of a job are stored alike; most of their fields are the very same. */
function sameStored(one: JobRecord, two: JobRecord): boolean {
  const a: Body = { ...one, allocationsByMachine: null };
  const b: Body = { ...two, allocationsByMachine: null };
  for (const key of new Set([...Object.keys(a), ...Object.keys(b)]))
    if (a[key] !== b[key] && JSON.stringify(a[key]) !== JSON.stringify(b[key])) return false;
  return true;
}
