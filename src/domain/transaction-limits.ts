/** Limits of the state service on one transaction. */
import { bytesOf } from '../store/value-size.js';
import type { Transaction } from '../store/client.js';
import { MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';

/** Maximum number of conditions in a transaction, per permitted write. */
export const CONDITIONS_PER_WRITE = 4;

/** Whether a transaction is within the limits of the state service. */
export function fitsTransactionLimits(transaction: Transaction, maxWrites: number): boolean {
  const { conditions, writes } = transaction;
  const bytes = writes.reduce((sum, write) => sum + ('put' in write ? bytesOf(write.value) : 0), 0);
  return (
    writes.length <= maxWrites &&
    conditions.length <= CONDITIONS_PER_WRITE * maxWrites &&
    bytes <= MAX_TRANSACTION_BYTES
  );
}
