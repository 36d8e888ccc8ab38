/** The partitions in which the allocations on each domain's machines are stored. */
import { getOrAdd } from '../util/maps.js';
import { keys } from './records/index.js';

/** Which allocation partitions exist. */
export class AllocationPartitions {
  /** Host to the numbers of its partitions. */
  private readonly numbers = new Map<string, Set<number>>();
  /** Host to the keys of its partitions in their order, including some that are yet to come. */
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
   * Keys of all partitions of a domain and of the one that would come next. A transaction with a condition on each
   * of them fails if anything has been added to any of them, or in a new one.
   */
  keysOf(host: string): string[] {
    const count = Math.max(-1, ...(this.numbers.get(host) ?? [])) + 1;
    const keyList = getOrAdd(this.keyLists, host, () => []);
    for (let part = keyList.length; part <= count; part++)
      keyList.push(keys.allocations(host, part));
    return keyList.slice(0, count + 1);
  }
}
