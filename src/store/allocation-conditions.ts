/**
 * Conditions for transactions that depend on all allocations of a domain: those that take machines away, grant part of
 * a team's quota, remove a machine or add a task.
 *
 * In a small domain there is a condition on each partition, and on the absence of the next one, so that a concurrent
 * addition causes a conflict. A domain of thousands of machines needs more partitions than a transaction may have
 * conditions. For such a large domain the condition is on its head instead, and each transaction that adds to any of
 * its partitions also writes the head. Partitions are never deleted, so a large domain stays large. The transaction
 * that creates the partition that makes a domain large writes the head too.
 */
import type { Condition } from './client.js';
import type { State } from './state.js';

/**
 * Partitions that may have a condition each, per write that a transaction may have. The state service allows four
 * conditions per write.
 */
const PARTITION_CONDITIONS_PER_WRITE = 2.5;

/** How many partitions of a domain may have a condition each, in a transaction of at most `maxWrites` writes. */
export function maxPartitionConditions(maxWrites: number): number {
  return Math.floor(maxWrites * PARTITION_CONDITIONS_PER_WRITE);
}

/** Whether a domain has more partitions than can have a condition each in one transaction. */
export function isLargeDomain(state: State, host: string, maxWrites: number): boolean {
  const partitionCount = state.allocationPartitionKeys(host).length - 1;
  return partitionCount > maxPartitionConditions(maxWrites);
}

/**
 * Conditions that, together with one on the domain's head, make a transaction fail if any allocation has been added on
 * the domain's machines. None for a large domain: there the condition on the head is enough.
 */
export function allocationConditions(state: State, host: string, maxWrites: number): Condition[] {
  if (isLargeDomain(state, host, maxWrites)) return [];
  return state.allocationPartitionKeys(host).map((key) => state.unchangedCondition(key));
}
