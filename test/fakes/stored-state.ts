/** A whole store as an earlier version left it amid a day of faults, and how a world comes to stand on it. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import type { Body } from '../../src/wire/codec.js';
import type { FakeStateStore } from './store.js';

export interface StoredRecord {
  key: string;
  stamp: number;
  /** Set if the record goes when the lease ends under which it was written. */
  leased?: true;
  value: Body;
}

export interface StoredState {
  generation: number;
  records: StoredRecord[];
}

/** Reads a fixture; tests run from target/check/test, and fixtures are not compiled. */
export function readFixture(name: string): unknown {
  const url = new URL(`../../../../test/fixtures/${name}`, import.meta.url);
  return JSON.parse(readFileSync(url, 'utf8'));
}

export function readStoredState(): StoredState {
  return readFixture('stored-state.json') as StoredState;
}

/** One record of each form that there is. */
export interface RecordExample {
  /** Whether a day of faults brought it about, or else what was completed by hand. */
  note: string;
  key: string;
  value: Body;
}

export function readStoredRecords(): RecordExample[] {
  return (readFixture('stored-records.json') as { records: RecordExample[] }).records;
}

/** The name in a key of one part, as in `tv/job/NAME`; null for records of other kinds. */
export function nameUnder(prefix: string, key: string): string | null {
  return key.startsWith(prefix) ? decodeURIComponent(key.slice(prefix.length)) : null;
}

/** A request to the state service that must succeed. */
async function post(store: FakeStateStore, path: string, body: Body): Promise<Body> {
  const call = { method: 'POST', path, body, timeoutMs: 1000 } as const;
  const answer = await store.handle('fixture', call);
  assert.equal(answer.status, 200, `${path}: ${JSON.stringify(answer.body)}`);
  return answer.body;
}

/**
 * Writes the records into an empty store, each with its own stamp. Those under a lease go `leaseMs` later, as
 * if every process had died at the moment of the dump.
 */
export async function restore(
  store: FakeStateStore,
  { generation, records }: StoredState,
  leaseMs: number,
): Promise<void> {
  // The records are whole only when all are in: nothing is to look at them before.
  const { onApplied } = store;
  store.onApplied = null;
  const { lease } = await post(store, '/leases', { life_ms: leaseMs });
  const byStamp = new Map<number, StoredRecord[]>();
  for (const record of records)
    byStamp.set(record.stamp, [...(byStamp.get(record.stamp) ?? []), record]);
  for (let stamp = 1; stamp <= generation; stamp++) {
    const apply = (byStamp.get(stamp) ?? []).map(({ key, value, leased }) => ({
      put: key,
      value,
      ...(leased ? { lease } : {}),
    }));
    const committed = await post(store, '/commit', { guards: [], apply });
    assert.equal(committed['generation'], stamp);
  }
  store.onApplied = onApplied;
}
