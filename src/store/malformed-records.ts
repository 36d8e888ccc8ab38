/** Stored records that are not what their keys say. They count as absent, and nothing may rest on that. */
import { setOrDelete } from '../util/maps.js';
import { keyParts } from './records/index.js';
import { type MalformedRecord, malformed } from './records/schemas.js';
import type { Body } from '../wire/codec.js';

export class MalformedRecords {
  private readonly records = new Map<string, MalformedRecord>();

  get size(): number {
    return this.records.size;
  }

  all(): Iterable<MalformedRecord> {
    return this.records.values();
  }

  /** The record that is under a key now, or null if there is none that can be read; notes which it is. */
  examine(key: string, value: Body | null): Body | null {
    const fault = value ? malformed(key, keyParts(key).kind, value) : null;
    // Final states are not held: one that cannot be read is found to be so when it is asked for.
    if (fault?.kind !== 'end') setOrDelete(this.records, key, fault);
    return fault ? null : value;
  }
}
