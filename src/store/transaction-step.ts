/** One step of a transaction that is being put together: it is accepted as a whole, or not at all. */
import type { Body } from '../wire/codec.js';
import { encodeAllocations, type AllocationRecord } from './records/index.js';

/** The records that a step changes. */
export class TransactionStep {
  /** Key to new value, in the order in which the records are to be written. */
  readonly values = new Map<string, Body>();
  /** Those of the values that are allocation partitions; they may be changed until the step is accepted. */
  private readonly partitions = new Map<string, AllocationRecord>();

  put(key: string, value: Body): void {
    this.values.set(key, value);
  }

  /** An allocation partition as this step has it so far; undefined if the step does not change it. */
  partition(key: string): AllocationRecord | undefined {
    return this.partitions.get(key);
  }

  /** An allocation partition for this step to change: a copy of what it holds now, made on first use. */
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
