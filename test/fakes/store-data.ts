/** Records, revisions, leases and change log of the fake state service. */
import type { Body } from '../../src/wire/codec.js';

interface StoredRecord {
  value: Body;
  modRevision: number;
  lease: number | null;
}

/** A write of a transaction in its wire form. */
export interface WireWrite {
  put?: string;
  delete?: string;
  value?: Body;
  lease?: number;
}

/** A condition of a transaction in its wire form. */
export interface WireCondition {
  key: string;
  stamp: number;
}

interface Change {
  key: string;
  value: Body | null;
  modRevision: number;
}

/** The key that a write changes. */
export const writtenKey = (write: WireWrite): string => write.put ?? write.delete ?? '';

export class StoreData {
  revision = 0;
  private readonly records = new Map<string, StoredRecord>();
  private readonly leases = new Map<number, { lifeMs: number; endsAt: number }>();
  private readonly log: Change[] = [];
  private nextLease = 1;

  get(key: string): StoredRecord | undefined {
    return this.records.get(key);
  }

  valuesUnder(prefix: string): Body[] {
    return [...this.records]
      .filter(([key]) => key.startsWith(prefix))
      .map(([, { value }]) => value);
  }

  *entries(): Generator<readonly [string, Body]> {
    for (const [key, { value }] of this.records) yield [key, value];
  }

  /** Records under a prefix whose keys are greater than `since`, sorted by key. */
  sortedUnder(prefix: string, since: string): [string, StoredRecord][] {
    return [...this.records]
      .filter(([key]) => key.startsWith(prefix) && key > since)
      .sort(([a], [b]) => (a < b ? -1 : 1));
  }

  changesUnder(prefix: string, sinceRevision: number): Change[] {
    return this.log.filter(
      ({ key, modRevision }) => modRevision > sinceRevision && key.startsWith(prefix),
    );
  }

  /** Keys whose records are not at the revision that the condition requires; revision 0: there must be no record. */
  failedConditions(conditions: readonly WireCondition[]): string[] {
    return conditions
      .filter(({ key, stamp }) => (this.records.get(key)?.modRevision ?? 0) !== stamp)
      .map(({ key }) => key);
  }

  /** Applies all writes under one new revision. */
  apply(writes: readonly WireWrite[]): void {
    this.revision++;
    for (const { put, delete: deleted, value, lease } of writes) {
      if (put !== undefined) this.put(put, structuredClone(value ?? {}), lease ?? null);
      else if (deleted !== undefined) this.delete(deleted);
    }
  }

  hasLease(lease: number): boolean {
    return this.leases.has(lease);
  }

  grantLease(lifeMs: number, now: number): number {
    const lease = this.nextLease++;
    this.leases.set(lease, { lifeMs, endsAt: now + lifeMs });
    return lease;
  }

  /** Extends a lease by its full duration; false if it does not exist. */
  extendLease(id: number, now: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.endsAt = now + lease.lifeMs;
    return true;
  }

  extendAllLeases(now: number): void {
    for (const id of this.leases.keys()) this.extendLease(id, now);
  }

  /** Deletes expired leases and the records attached to them; returns whether any record was deleted. */
  expireLeases(now: number): boolean {
    let hasChanged = false;
    for (const [id, { endsAt }] of this.leases) {
      if (endsAt > now) continue;
      this.leases.delete(id);
      const expired = [...this.records].filter(([, { lease }]) => lease === id);
      if (expired.length === 0) continue;
      this.revision++;
      for (const [key] of expired) this.delete(key);
      hasChanged = true;
    }
    return hasChanged;
  }

  private put(key: string, value: Body, lease: number | null): void {
    this.records.set(key, { value, modRevision: this.revision, lease });
    this.log.push({ key, value, modRevision: this.revision });
  }

  private delete(key: string): void {
    if (this.records.delete(key)) this.log.push({ key, value: null, modRevision: this.revision });
  }
}
