/** One step of a transaction that is being built. A step is accepted completely or not at all. */
import type { Body } from '../wire/codec.js';
import { encodeAllocations, type AllocationRecord } from './records/index.js';

/** The records that a step changes. */
export class TransactionStep {
  /** New values by key, in the order in which the records will be written. */
  readonly values = new Map<string, Body>();
  /** The values that are allocation partitions, by key. They may be changed until the step is accepted. */
  private readonly partitions = new Map<string, AllocationRecord>();

  put(key: string, value: Body): void {
    this.values.set(key, value);
  }

  /** An allocation partition with this step's changes so far; undefined if the step does not change it. */
  partition(key: string): AllocationRecord | undefined {
    return this.partitions.get(key);
  }

  /** An allocation partition that this step may change: a copy of `current`, made on first use. */
  editPartition(key: string, current: AllocationRecord): AllocationRecord {
    let copy = this.partitions.get(key);
    if (!copy) {
      copy = { ...current };
      this.partitions.set(key, copy);
      this.put(key, encodeAllocations(copy));
    }
    return copy;
  }
}
