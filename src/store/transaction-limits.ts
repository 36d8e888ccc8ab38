/** Limits of the state service on transactions and values, and the fractions of them that are used. */

/** Limits of one transaction. */
export interface TransactionLimits {
  /** Maximum number of writes. A transaction may have four conditions per write. */
  maxWrites: number;
  /** Maximum size of one value in the state service, in bytes. */
  maxValueBytes: number;
  /** Maximum total size of all values, in bytes. */
  maxBytes: number;
}

/**
 * Maximum total size of the values of a transaction. The state service allows 64 KiB for a transaction; 48 KiB leave
 * room for keys, conditions and framing, which count too.
 */
export const MAX_TRANSACTION_BYTES = 48 * 1024;

/** Records are filled up to this fraction of the maximum value size. */
export const VALUE_FILL_RATIO = 0.9;

/** Bytes of the shortest allocation in a record: a task and an attempt of one digit each, with their commas. */
export const MIN_ALLOCATION_BYTES = 4;

/** Bytes of all allocations that one transaction can add at most, beside one write for the job. */
export function maxNewAllocationBytes({
  maxWrites,
  maxValueBytes,
  maxBytes,
}: TransactionLimits): number {
  return Math.min(maxBytes, (maxWrites - 1) * maxValueBytes * VALUE_FILL_RATIO);
}
