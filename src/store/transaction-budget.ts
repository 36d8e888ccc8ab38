/** Remaining capacity of a transaction: the state service limits the number of writes and their bytes. */
import { MAX_TRANSACTION_BYTES } from './transaction-limits.js';

/** Tracks how much of a transaction's limits is left while its writes are selected. */
export class TransactionBudget {
  constructor(
    private writesLeft: number,
    private bytesLeft = MAX_TRANSACTION_BYTES,
  ) {}

  /** Reserves one write of this many bytes. Returns false, and reserves nothing, if it does not fit. */
  reserve(bytes: number): boolean {
    if (this.writesLeft < 1 || this.bytesLeft < bytes) return false;
    this.writesLeft--;
    this.bytesLeft -= bytes;
    return true;
  }
}
