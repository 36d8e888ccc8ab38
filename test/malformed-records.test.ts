/**
 * Malformed stored records. They must neither crash a controller nor influence its decisions: they count as absent, and
 * while a vital one exists, no decisions are made.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { newJob } from '../src/model/job-lifecycle.js';
import { encodeDomainHead, encodeJob, keys } from '../src/store/records/index.js';
import { State } from '../src/store/state.js';
import { auditIndexes } from '../src/store/state-audit.js';
import type { Body } from '../src/wire/codec.js';
import { createIntegrityFixture } from './fakes/integrity.js';
import { JOB, WIRE_JOB, World } from './fakes/world.js';

const job = encodeJob(newJob({ ...JOB, tasks: 3 }, 0));
const head = encodeDomainHead({
  incarnation: 1,
  fencingToken: 1,
  quota: { red: { cpus: 4, gpus: 0 } },
});

const CASES: { key: string; value: Body; isVital: boolean }[] = [
  { key: keys.domain('a'), value: { inc: 1, t: 1 }, isVital: true },
  { key: keys.domain('a'), value: { ...head, q: { red: [1] } }, isVital: true },
  { key: keys.machineShard('a', 0), value: { one: ['i-1'] }, isVital: true },
  { key: keys.machineShard('a', 0), value: { 1: 'i-1' }, isVital: true },
  { key: keys.allocations('a', 0), value: { 'j-1': { 'i-1': [0] } }, isVital: true },
  { key: keys.allocations('a', 0), value: { 'j-1': null }, isVital: true },
  { key: keys.job('j-1'), value: { ...job, s: { ...WIRE_JOB, cpus: 'two' } }, isVital: true },
  { key: keys.job('j-1'), value: {}, isVital: true },
  { key: keys.fencingToken, value: { t: -1 }, isVital: true },
  { key: keys.firstClaims, value: {}, isVital: true },
  { key: keys.machineBatch('r-1'), value: { b: [] }, isVital: false },
  { key: keys.takeoverList('a', 0), value: { b: [1] }, isVital: false },
  { key: keys.liveness('a'), value: {}, isVital: false },
  { key: keys.fleet, value: { holder: 'a', inc: 1, seq: 1, claims: [{}] }, isVital: false },
];

for (const [index, { key, value, isVital }] of CASES.entries())
  void test(`malformed: ${key} (${String(index)}) counts as absent and ${isVital ? 'stops' : 'does not stop'} decisions`, () => {
    const state = new State(() => undefined);
    const { integrity } = createIntegrityFixture(state, new Map());
    const records: Record<string, Body> = {
      [keys.domain('a')]: head,
      [keys.machineShard('a', 0)]: { 1: ['i-1'] },
      [keys.job('j-1')]: job,
      [keys.allocations('a', 0)]: { 'j-1': { 'i-1': [0, 1] } },
      [key]: value,
    };
    const items = Object.entries(records).map(([name, record]) => ({
      key: name,
      value: record,
      modRevision: 1,
    }));
    state.replica.load(items, 0, { revision: 1, events: [] }, 0);
    integrity.check();
    assert.deepEqual(
      [...state.malformedRecords()].map((record) => [record.key, record.isVital]),
      [[key, isVital]],
    );
    assert.equal(integrity.isSound, !isVital);
    assert.deepEqual(auditIndexes(state), []);
    // Once the record is repaired or removed, decisions are no longer stopped.
    state.replica.applyChanges({ revision: 2, events: [{ delete: key, modRevision: 2 }] }, 1);
    integrity.check();
    assert.deepEqual([...state.malformedRecords()], []);
    assert.equal(integrity.isSound, true);
  });

void test('malformed: a request for a job with a malformed final state gets 503, and other jobs are not delayed', async () => {
  const world = new World(8);
  world.cloud.startMachines(4);
  await world.time.runUntil(15_000);
  const body = { guards: [], apply: [{ put: keys.finalState('j-000077'), value: { ph: 'over' } }] };
  await world.store.handle('a', { method: 'POST', path: '/commit', timeoutMs: 1000, body });
  const jobId = world.submit({ expectedSeconds: 2 });
  const answer = world.request('j-000077', {
    method: 'GET',
    path: '/v2/runs/j-000077',
    timeoutMs: 2000,
  });
  await world.time.runUntil(60_000);
  assert.equal((await answer).status, 503);
  assert.equal(world.finalPhases.get(jobId), 'done');
  for (const host of world.hosts()) world.kill(host, 1e9);
});

/** Keys of unknown kinds: one cannot be percent-decoded, the kind of the other is a property of every object. */
for (const key of ['tv/other/%zz', 'tv/constructor/x'])
  void test(`malformed: a key of an unknown kind does not count as malformed: ${key}`, () => {
    const state = new State(() => undefined);
    state.replica.applyChanges(
      { revision: 1, events: [{ put: key, value: {}, modRevision: 1 }] },
      0,
    );
    assert.deepEqual([...state.malformedRecords()], []);
    assert.deepEqual(auditIndexes(state), []);
  });

void test('malformed: with a malformed record, controllers keep running, start no tasks, and resume once it is removed', async () => {
  const world = new World(7);
  world.cloud.startMachines(4);
  await world.time.runUntil(15_000);
  const write = (change: object): void => {
    const call = { method: 'POST' as const, path: '/commit', timeoutMs: 1000 };
    void world.store.handle('a', { ...call, body: { guards: [], apply: [change] } });
  };
  write({ put: keys.machineShard('zz', 0), value: { 1: 'i-1' } });
  await world.time.runUntil(16_000);
  for (let index = 0; index < 4; index++) world.submit({ expectedSeconds: 2 });
  await world.time.runUntil(40_000);
  assert.equal(world.checker.starts.length, 0);
  const found = new Set(world.recordViolations.map(({ rule, what }) => `${rule}: ${what}`));
  assert.deepEqual(
    [...found].sort(),
    ['a', 'b', 'c'].map((host) => `self-check: ${host}: malformed record`),
  );
  write({ delete: keys.machineShard('zz', 0) });
  await world.time.runUntil(80_000);
  assert.equal(world.finalPhases.size, 4);
  assert.deepEqual(world.checker.violations, []);
  for (const host of world.hosts()) world.kill(host, 1e9);
});
