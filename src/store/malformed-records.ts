/** Stored records that are not what their keys say. They count as absent, and no decision may rest on that. */
import { setOrDelete } from '../util/maps.js';
import type { Body } from '../wire/codec.js';
import { keyParts } from './records/index.js';
import { malformed, type MalformedRecord } from './records/schemas.js';

/** The malformed records among those that the replica holds. */
export class MalformedRecords {
  private readonly records = new Map<string, MalformedRecord>();

  /** How many there are. */
  get size(): number {
    return this.records.size;
  }

  /** All of them. */
  all(): Iterable<MalformedRecord> {
    return this.records.values();
  }

  /** Checks what is now under a key, and notes the result. Returns the value if it is well-formed, else null. */
  check(key: string, value: Body | null): Body | null {
    const fault = value ? malformed(key, keyParts(key).kind, value) : null;
    // The replica does not keep final states: one that is malformed is found when it is asked for.
    if (fault?.kind !== 'end') setOrDelete(this.records, key, fault);
    return fault ? null : value;
  }
}
