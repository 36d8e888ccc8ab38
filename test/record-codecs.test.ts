/** Every stored record is decoded and encoded to the same value, whichever of its optional fields are present. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodeAllocations,
  decodeDomainHead,
  decodeFencingToken,
  decodeFinalState,
  decodeFirstClaims,
  decodeFleet,
  decodeJob,
  decodeLiveness,
  decodeMachineBatch,
  decodeShard,
  decodeTakeoverList,
  encodeAllocations,
  encodeDomainHead,
  encodeFencingToken,
  encodeFinalState,
  encodeFirstClaims,
  encodeFleet,
  encodeJob,
  encodeLiveness,
  encodeMachineBatch,
  encodeShard,
  encodeTakeoverList,
  parseKey,
  type RecordKind,
} from '../src/store/records/index.js';
import type { Body } from '../src/wire/codec.js';
import { readStoredRecords, readStoredState } from './fakes/stored-state.js';

/** Kind of record -> a function that decodes a stored record and encodes the result. */
const CODECS: Readonly<Record<RecordKind, (stored: Body) => Body>> = {
  dom: (stored) => encodeDomainHead(decodeDomainHead(stored)),
  own: (stored) => encodeShard(decodeShard(stored)),
  list: (stored) => encodeTakeoverList(decodeTakeoverList(stored)),
  run: (stored) => encodeAllocations(decodeAllocations(stored)),
  live: (stored) => encodeLiveness(decodeLiveness(stored)),
  term: (stored) => encodeFencingToken(decodeFencingToken(stored)),
  new: (stored) => encodeFirstClaims(decodeFirstClaims(stored)),
  lot: (stored) => encodeMachineBatch(decodeMachineBatch(stored)),
  fleet: (stored) => encodeFleet(decodeFleet(stored)),
  job: (stored) => encodeJob(decodeJob(stored)),
  end: (stored) => encodeFinalState(decodeFinalState(stored)),
};

function assertRoundTrip(key: string, value: Body): void {
  const { kind } = parseKey(key);
  assert.ok(kind, `${key}: no kind of record`);
  const codec = CODECS[kind];
  const stored = structuredClone(value);
  assert.deepEqual(codec(stored), value, key);
  assert.deepEqual(stored, value, `${key}: the stored value is not modified`);
}

for (const [index, { key, value, note }] of readStoredRecords().entries())
  void test(`record codecs: ${key} (${String(index)}, ${note}) keeps its value`, () => {
    assertRoundTrip(key, value);
  });

void test('record codecs: every record of a whole store keeps its value', () => {
  for (const { key, value } of readStoredState().records) assertRoundTrip(key, value);
});

void test('record codecs: the fixtures contain every kind of record', () => {
  const kinds = new Set(readStoredRecords().map(({ key }) => parseKey(key).kind));
  assert.deepEqual([...kinds].sort(), Object.keys(CODECS).sort());
});

void test('record codecs: the fixtures contain jobs with and without each optional field', () => {
  const optional = [
    ...['cancelled', 'stop', 'gangDone', 'gangBroken'],
    ...['fails', 'notBefore', 'avoid'],
  ];
  const jobs = readStoredRecords().filter(({ key }) => parseKey(key).kind === 'job');
  for (const field of optional) {
    assert.ok(jobs.some(({ value }) => field in value));
    assert.ok(jobs.some(({ value }) => !(field in value)));
  }
});

/** A record with an unknown field, as of a later version, at each place where earlier versions preserve such fields. */
function withLaterFields(kind: RecordKind, value: Body): Body {
  const later = { later: { of: 'another version' } };
  if (kind === 'job') return { ...value, ...later, s: { ...(value['s'] as Body), ...later } };
  if (kind === 'fleet') {
    const claims = (value['claims'] as Body[]).map((claim) => ({ ...claim, ...later }));
    return { ...value, ...later, claims };
  }
  return { ...value, ...later };
}

void test('record codecs: fields of a later version are kept when a record is written again', () => {
  const kinds: readonly (RecordKind | null)[] = ['job', 'lot', 'fleet'];
  for (const { key, value } of readStoredRecords()) {
    const { kind } = parseKey(key);
    if (kind && kinds.includes(kind)) assertRoundTrip(key, withLaterFields(kind, value));
  }
});
