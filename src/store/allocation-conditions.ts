/**
 * Conditions of transactions that rest on all allocations of a domain: those that take machines away, grant a part of a
 * team's quota, remove a machine or add a task.
 *
 * Up to a number of partitions there is a condition on each, and on the absence of the next, so that nothing can be added
 * unseen. A domain of thousands of machines needs more partitions than a transaction may have conditions. Beyond that
 * number the condition is on the head instead, and each transaction that adds to any partition of the domain writes the
 * head too. Partitions are never deleted, so a large domain stays large; whoever creates the partition that makes it so
 * writes the head in the same transaction.
 */
import type { Condition } from './client.js';
import type { State } from './state.js';

/** Partitions with a condition of their own, for each write that a transaction may have. It may have four conditions for each. */
const PARTITIONS_PER_WRITE = 2.5;

/** How many partitions of a domain may have a condition each, in a transaction of at most so many writes. */
export function maxPartitionConditions(maxWrites: number): number {
  return Math.floor(maxWrites * PARTITIONS_PER_WRITE);
}

/** Whether a domain has more partitions than may have a condition each. */
export function isLargeDomain(state: State, host: string, maxWrites: number): boolean {
  const partitionCount = state.allocationKeys(host).length - 1;
  return partitionCount > maxPartitionConditions(maxWrites);
}

/**
 * Conditions under which, together with that on the domain's head, nothing can have been added to the allocations on its
 * machines.
 */
export function allocationConditions(state: State, host: string, maxWrites: number): Condition[] {
  if (isLargeDomain(state, host, maxWrites)) return [];
  return state.allocationKeys(host).map((key) => state.unchanged(key));
}
