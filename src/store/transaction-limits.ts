/** Limits of the state service on transactions and values, and how far they are used. */

/** What one transaction may hold. */
export interface TransactionLimits {
  /** Writes; a transaction may have four conditions for each. */
  maxWrites: number;
  /** Limit of the state service on one value, in bytes. */
  maxValueBytes: number;
  /** All values together, in bytes. */
  maxBytes: number;
}

/** Bytes that all values of a transaction may take: 48 of its 64 KiB, as keys, conditions and framing count too. */
export const MAX_TRANSACTION_BYTES = 48 * 1024;

/** Part of the limit on a value's size up to which a record is filled. */
export const VALUE_FILL_RATIO = 0.9;
