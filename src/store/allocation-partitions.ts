/** The partitions that store the allocations on each domain's machines. */
import { getOrAdd } from '../util/maps.js';
import { keys } from './records/index.js';

/** Tracks which allocation partitions exist. */
export class AllocationPartitions {
  /** Numbers of the existing partitions, by host. */
  private readonly numbers = new Map<string, Set<number>>();
  /** Partition keys in numerical order, by host. Includes keys of partitions that do not exist yet. */
  private readonly keyLists = new Map<string, string[]>();

  /** Records whether a partition exists. */
  set(host: string, part: number, exists: boolean): void {
    const numbers = getOrAdd(this.numbers, host, () => new Set<number>());
    if (exists) numbers.add(part);
    else numbers.delete(part);
  }

  /** Controllers that have, or have had, allocation partitions. */
  hosts(): Iterable<string> {
    return this.numbers.keys();
  }

  /**
   * Keys of all partitions of a domain, and of the next one that would be created. A transaction with a condition on
   * each of them fails if anything has been added to an existing partition or in a new one.
   */
  keysOf(host: string): string[] {
    const count = Math.max(-1, ...(this.numbers.get(host) ?? [])) + 1;
    const keyList = getOrAdd(this.keyLists, host, () => []);
    for (let part = keyList.length; part <= count; part++)
      keyList.push(keys.allocations(host, part));
    return keyList.slice(0, count + 1);
  }
}
