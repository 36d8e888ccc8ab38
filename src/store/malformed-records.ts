/**
 * Stored records that do not have the form that their keys require. They are treated as absent, but no decision may be
 * based on that absence.
 */
import { setOrDelete } from '../util/maps.js';
import type { Body } from '../wire/codec.js';
import { parseKey } from './records/index.js';
import { checkRecord, type MalformedRecord } from './records/schemas.js';

/** The malformed records in the replica. */
export class MalformedRecords {
  private readonly records = new Map<string, MalformedRecord>();

  /** Number of malformed records. */
  get size(): number {
    return this.records.size;
  }

  /** All malformed records. */
  all(): Iterable<MalformedRecord> {
    return this.records.values();
  }

  /**
   * Checks the current value of a key and stores the result. Returns the value if it is well-formed, otherwise null.
   */
  check(key: string, value: Body | null): Body | null {
    const fault = value ? checkRecord(key, parseKey(key).kind, value) : null;
    // The replica does not keep final states: a malformed one is detected when it is read for a request.
    if (fault?.kind !== 'end') setOrDelete(this.records, key, fault);
    return fault ? null : value;
  }
}
