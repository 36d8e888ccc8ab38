/** The writes and conditions of a transaction that is being built, kept within the limits of transactions. */
import type { Body } from '../wire/codec.js';
import type { Condition, Transaction } from './client.js';
import type { State } from './state.js';
import { VALUE_FILL_RATIO, type TransactionLimits } from './transaction-limits.js';
import { bytesOf } from './value-size.js';

interface PendingPut {
  value: Body;
  bytes: number;
}

/** Values to write, by key. Accepted values are never changed in place, only replaced. */
export class PendingWrites {
  private readonly conditions = new Map<string, number>();
  private readonly puts = new Map<string, PendingPut>();
  /** Total bytes of all values. */
  private bytes = 0;

  constructor(
    private readonly state: State,
    private readonly limits: TransactionLimits,
  ) {}

  /** Number of records that are written. */
  get size(): number {
    return this.puts.size;
  }

  /** Keys of the records that are written. */
  keys(): Iterable<string> {
    return this.puts.keys();
  }

  /** The value that will be written under a key. */
  get(key: string): Body | undefined {
    return this.puts.get(key)?.value;
  }

  /** Adds a condition, replacing an earlier one on the same key. */
  require({ key, modRevision }: Condition): void {
    this.conditions.set(key, modRevision);
  }

  /** Adds the changes of one step. Returns false, and adds nothing, if the transaction would exceed a limit. */
  accept(changes: ReadonlyMap<string, Body>): boolean {
    const puts = new Map<string, PendingPut>();
    let totalBytes = this.bytes;
    let count = this.puts.size;
    for (const [key, value] of changes) {
      const bytes = bytesOf(value);
      if (!this.fitsValue(key, bytes)) return false;
      const replaced = this.puts.get(key);
      totalBytes += bytes - (replaced?.bytes ?? 0);
      if (!replaced) count++;
      puts.set(key, { value, bytes });
    }
    if (count > this.limits.maxWrites || totalBytes > this.limits.maxBytes) return false;
    for (const [key, put] of puts) this.put(key, put);
    this.bytes = totalBytes;
    return true;
  }

  toTransaction(): Transaction {
    return {
      conditions: [...this.conditions].map(([key, modRevision]) => ({ key, modRevision })),
      writes: [...this.puts].map(([key, { value }]) => ({ put: key, value })),
    };
  }

  private put(key: string, put: PendingPut): void {
    if (!this.conditions.has(key)) this.require(this.state.unchangedCondition(key));
    this.puts.set(key, put);
  }

  /** A value that already exceeds the limit may still be replaced by one that is no larger. */
  private fitsValue(key: string, bytes: number): boolean {
    return bytes <= this.limits.maxValueBytes * VALUE_FILL_RATIO || bytes <= this.currentBytes(key);
  }

  private currentBytes(key: string): number {
    const pending = this.puts.get(key);
    if (pending) return pending.bytes;
    const stored = this.state.replica.get(key)?.value;
    return stored ? bytesOf(stored) : 0;
  }
}
