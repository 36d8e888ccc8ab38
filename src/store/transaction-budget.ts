/** How much more fits into a transaction: the state service limits the number of writes and their bytes. */
import { MAX_TRANSACTION_BYTES } from './transaction-limits.js';

/** What is left of a transaction's limits while its writes are chosen. */
export class TransactionBudget {
  constructor(
    private writesLeft: number,
    private bytesLeft = MAX_TRANSACTION_BYTES,
  ) {}

  /** Reserves one write of this many bytes; false, and nothing reserved, if it does not fit. */
  take(bytes: number): boolean {
    if (this.writesLeft < 1 || this.bytesLeft < bytes) return false;
    this.writesLeft--;
    this.bytesLeft -= bytes;
    return true;
  }
}
