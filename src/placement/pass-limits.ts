/** Limits of the transaction that one planning pass makes, from the settings of the state service. */
import type { StateServiceSettings } from '../model/settings.js';
import { MAX_TRANSACTION_BYTES, type TransactionLimits } from '../store/transaction-limits.js';

/**
 * Largest transaction, as a fraction of the writes that the state service accepts per second. A transaction that needs
 * all of them is refused whenever another controller writes.
 */
const MAX_FRACTION_OF_WRITES_PER_SECOND = 0.6;
/** Smallest limit on a transaction's writes: two jobs, each with the two allocation records that it may change. */
const MIN_WRITES = 6;

/** The limits of one pass's transaction. */
export function passLimits({
  maxWrites,
  writesPerSecond,
  maxValueBytes,
}: StateServiceSettings): TransactionLimits {
  const writesPerPass = Math.floor(writesPerSecond * MAX_FRACTION_OF_WRITES_PER_SECOND);
  return {
    maxWrites: Math.min(maxWrites, Math.max(MIN_WRITES, writesPerPass)),
    maxValueBytes,
    maxBytes: MAX_TRANSACTION_BYTES,
  };
}
