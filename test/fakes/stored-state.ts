/** The complete store of an earlier version, recorded during a run with faults, and its restoration into a fake store. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import type { Body } from '../../src/wire/codec.js';
import type { FakeStateStore } from './store.js';

export interface StoredRecord {
  key: string;
  stamp: number;
  /** Set if the record is bound to a lease and deleted when that lease ends. */
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

/** An example record; the fixture has one for each form of record. */
export interface RecordExample {
  /** The origin: recorded during a run with faults (`drawn`), or what was completed by hand. */
  note: string;
  key: string;
  value: Body;
}

export function readStoredRecords(): RecordExample[] {
  return (readFixture('stored-records.json') as { records: RecordExample[] }).records;
}

/** The decoded name in a key with this prefix, as in `tv/job/NAME`; null for other keys. */
export function nameUnder(prefix: string, key: string): string | null {
  return key.startsWith(prefix) ? decodeURIComponent(key.slice(prefix.length)) : null;
}

/** Sends a request to the state service and asserts that it succeeds. */
async function post(store: FakeStateStore, path: string, body: Body): Promise<Body> {
  const call = { method: 'POST', path, body, timeoutMs: 1000 } as const;
  const answer = await store.handle('fixture', call);
  assert.equal(answer.status, 200, `${path}: ${JSON.stringify(answer.body)}`);
  return answer.body;
}

/**
 * Writes the records into an empty store, each with its recorded stamp. Records bound to a lease are deleted after
 * `leaseMs`, as if every process had died at the moment of the dump.
 */
export async function restore(
  store: FakeStateStore,
  { generation, records }: StoredState,
  leaseMs: number,
): Promise<void> {
  // The records are consistent only once all are written, so they are not audited before.
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
