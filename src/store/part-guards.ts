/**
 * What a transaction guards that rests on all that is recorded on a domain's machines: who takes machines away, deals a
 * part of a limit, drops a machine or adds a task.
 *
 * Up to a number of parts each is guarded, and the absence of the next, so that nothing can be added unseen. A domain of
 * thousands of machines needs more parts than a transaction may have guards. Beyond that number the head is guarded
 * instead, and each transaction that adds anything to any part of the domain puts the head too. Parts are never deleted,
 * so a domain that is large stays large; whoever creates the part that makes it so puts the head in that transaction.
 */
import type { Condition } from './client.js';
import type { State } from './state.js';

/** Parts that are guarded one by one, for each change that a transaction may have; it may have four guards for each. */
const PARTS_PER_OP = 2.5;

/** The most parts of a domain that are guarded one by one. */
export function maxGuardedParts(txnOps: number): number {
  return Math.floor(txnOps * PARTS_PER_OP);
}

/** Whether a domain has more parts than are guarded one by one. */
export function isLarge(state: State, host: string, txnOps: number): boolean {
  return state.allocationKeys(host).length - 1 > maxGuardedParts(txnOps);
}

/**
 * Guards under which, together with that on the domain's head, nothing can have been added to what is recorded on its
 * machines.
 */
export function allocationConditions(state: State, host: string, txnOps: number): Condition[] {
  if (isLarge(state, host, txnOps)) return [];
  return state.allocationKeys(host).map((key) => state.unchanged(key));
}
