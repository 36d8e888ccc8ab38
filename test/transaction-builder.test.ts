import assert from 'node:assert/strict';
import { test } from 'node:test';
import { conclude, finalState, newJob, place } from '../src/jobs/life.js';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import {
  keys,
  machineBatchBytes,
  machineBytes,
  storeJob,
  type JobRecord,
  type MachineBatchRecord,
} from '../src/store/records.js';
import { State } from '../src/store/state.js';
import { JOB } from './fakes/world.js';

const LIMITS = { txnOps: 6, valueBytes: 700, bytes: 6000 };

/** Applies what was drafted, as the store would. */
function commit(state: State, draft: TransactionBuilder): void {
  const { guards, apply } = draft.txn();
  for (const { key, stamp } of guards) assert.equal(state.stampOf(key), stamp, key);
  state.replica.applied(apply, state.replica.generation + 1);
  state.replica.generation++;
}

function fresh(...uids: string[]): State {
  const state = new State(() => undefined);
  const job = newJob({ ...JOB, tasks: 60 }, 0);
  const apply = uids.map((uid) => ({ put: keys.job(uid), value: storeJob(job) }));
  state.replica.applied(apply, 1);
  state.replica.generation = 1;
  return state;
}

const at = (state: State, uid: string): JobRecord => state.jobs.get(uid) ?? newJob(JOB, 0);
const boxes = (from: number, count: number): string[] =>
  Array.from({ length: count }, (_, n) => `i-${String(from + n).padStart(6, '0')}`);

void test('draft: starts of several jobs share the parts, none over its limit', () => {
  const state = fresh('j', 'k');
  const draft = new TransactionBuilder(state, 'a', LIMITS);
  assert.ok(draft.set('j', place(at(state, 'j'), boxes(0, 30))));
  assert.ok(draft.set('k', place(at(state, 'k'), boxes(10, 20))));
  commit(state, draft);
  assert.equal(Object.keys(at(state, 'j').r).length, 30);
  assert.equal(state.usage.get('red')?.cpus, 50 * JOB.cpus);
  assert.equal(state.jobsByMachine.get('i-000010')?.size, 2);
  const parts = state.partKeys('a').slice(0, -1);
  assert.ok(parts.length > 1);
  for (const key of parts) assert.ok(JSON.stringify(state.run(key)).length <= LIMITS.valueBytes);
});

void test('draft: what does not fit changes nothing', () => {
  const state = fresh('j');
  const draft = new TransactionBuilder(state, 'a', { ...LIMITS, txnOps: 2 });
  assert.ok(!draft.set('j', place(at(state, 'j'), boxes(0, 60))));
  assert.equal(draft.size, 0);
  assert.ok(draft.set('j', place(at(state, 'j'), boxes(0, 5))));
  assert.equal(draft.size, 2);
});

void test('draft: an end that changes nothing else is one put, and is seen by what is drafted after it', () => {
  const state = fresh('j');
  const start = new TransactionBuilder(state, 'a', LIMITS);
  start.set('j', place(at(state, 'j'), boxes(0, 3)));
  commit(state, start);
  const draft = new TransactionBuilder(state, 'a', LIMITS);
  const stay = { machine: 'i-000001', task: 1, attempt: 1 };
  assert.ok(draft.set('j', conclude(at(state, 'j'), [{ stay, end: 'done' }], 0, 1)));
  assert.deepEqual(
    draft.txn().apply.map((change) => 'put' in change && change.put),
    [keys.run('a', 0)],
  );
  assert.equal(draft.job('j')?.r['i-000001'], undefined);
  assert.ok(draft.set('j', place(draft.job('j') ?? at(state, 'j'), ['i-000001'])));
  commit(state, draft);
  assert.deepEqual(at(state, 'j').r['i-000001'], [3, 2]);
});

void test('draft: stays of machines that changed hands are ended where they are, and adopted', () => {
  const state = fresh('j');
  const dead = new TransactionBuilder(state, 'dead', LIMITS);
  dead.set('j', place(at(state, 'j'), boxes(0, 4)));
  commit(state, dead);
  const heir = new TransactionBuilder(state, 'heir', LIMITS);
  const stay = { machine: 'i-000000', task: 0, attempt: 1 };
  assert.ok(heir.set('j', conclude(at(state, 'j'), [{ stay, end: 'back' }], 0, 1)));
  commit(state, heir);
  assert.deepEqual(at(state, 'j').b, [0]);
  const adoption = new TransactionBuilder(state, 'heir', LIMITS);
  assert.ok(adoption.adopt(keys.run('dead', 0), (box) => box !== 'i-000003'));
  commit(state, adoption);
  assert.deepEqual(Object.keys(state.run(keys.run('dead', 0))['j'] ?? {}), ['i-000003']);
  assert.deepEqual(Object.keys(state.run(keys.run('heir', 0))['j'] ?? {}), [
    'i-000001',
    'i-000002',
  ]);
  assert.equal(Object.keys(at(state, 'j').r).length, 3);
  assert.equal(finalState(at(state, 'j')), null);
});

void test('batch: its size grows with each machine by what is reckoned for it', () => {
  const machines: [string, string][] = [
    ['i-000001', ''],
    ['i-000002', '10.1.0.2:9000'],
    ['"odd" naïve', 'a'.repeat(60)],
  ];
  const batch: MachineBatchRecord = { f: 'g8', s: 'x', r: true, at: 1.5e12, b: { 'i-0': 'b' } };
  let bytes = machineBatchBytes(batch);
  for (const [id, address] of machines) {
    batch.b[id] = address;
    bytes += machineBytes(id, address);
    assert.equal(machineBatchBytes(batch), bytes);
  }
});
