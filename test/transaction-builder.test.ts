import { finalPhase, newJob, placeTasks, recordOutcomes } from '../src/model/job-lifecycle.js';
import type { JobRecord } from '../src/model/job.js';
import type { MachineBatch } from '../src/model/machine.js';
import { encodeJob, keys, machineBatchBytes, machineBytes } from '../src/store/records/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import { State } from '../src/store/state.js';
import { JOB } from './fakes/world.js';

const LIMITS = { maxWrites: 6, valueBytes: 700, maxBytes: 6000 };

/** Applies what was drafted, as the store would. */
function commit(state: State, draft: TransactionBuilder): void {
  const { conditions: guards, writes: apply } = draft.build();
  for (const { key, modRevision: stamp } of guards)
    assert.equal(state.modRevisionOf(key), stamp, key);
  state.replica.applied(apply, state.replica.revision + 1);
  state.replica.revision++;
}

function fresh(...uids: string[]): State {
  const state = new State(() => undefined);
  const job = newJob({ ...JOB, tasks: 60 }, 0);
  const apply = uids.map((uid) => ({ put: keys.job(uid), value: encodeJob(job) }));
  state.replica.applied(apply, 1);
  state.replica.revision = 1;
  return state;
}

const at = (state: State, uid: string): JobRecord => state.jobs.get(uid) ?? newJob(JOB, 0);
const boxes = (from: number, count: number): string[] =>
  Array.from({ length: count }, (_, n) => `i-${String(from + n).padStart(6, '0')}`);

void test('draft: starts of several jobs share the parts, none over its limit', () => {
  const state = fresh('j', 'k');
  const draft = new TransactionBuilder(state, 'a', LIMITS);
  assert.ok(draft.set('j', placeTasks(at(state, 'j'), boxes(0, 30))));
  assert.ok(draft.set('k', placeTasks(at(state, 'k'), boxes(10, 20))));
  commit(state, draft);
  assert.equal(Object.keys(at(state, 'j').allocationsByMachine).length, 30);
  assert.equal(state.usage.get('red')?.cpus, 50 * JOB.cpus);
  assert.equal(state.jobsByMachine.get('i-000010')?.size, 2);
  const parts = state.allocationKeys('a').slice(0, -1);
  assert.ok(parts.length > 1);
  for (const key of parts)
    assert.ok(JSON.stringify(state.allocationsIn(key)).length <= LIMITS.valueBytes);
});

void test('draft: what does not fit changes nothing', () => {
  const state = fresh('j');
  const draft = new TransactionBuilder(state, 'a', { ...LIMITS, maxWrites: 2 });
  assert.ok(!draft.set('j', placeTasks(at(state, 'j'), boxes(0, 60))));
  assert.equal(draft.size, 0);
  assert.ok(draft.set('j', placeTasks(at(state, 'j'), boxes(0, 5))));
  assert.equal(draft.size, 2);
});

void test('draft: an end that changes nothing else is one put, and is seen by what is drafted after it', () => {
  const state = fresh('j');
  const start = new TransactionBuilder(state, 'a', LIMITS);
  start.set('j', placeTasks(at(state, 'j'), boxes(0, 3)));
  commit(state, start);
  const draft = new TransactionBuilder(state, 'a', LIMITS);
  const stay = { machine: 'i-000001', task: 1, attempt: 1 };
  assert.ok(
    draft.set(
      'j',
      recordOutcomes(at(state, 'j'), [{ allocation: stay, outcome: 'completed' }], 0, 1),
    ),
  );
  assert.deepEqual(
    draft.build().writes.map((change) => 'put' in change && change.put),
    [keys.allocations('a', 0)],
  );
  assert.equal(draft.job('j')?.allocationsByMachine['i-000001'], undefined);
  assert.ok(draft.set('j', placeTasks(draft.job('j') ?? at(state, 'j'), ['i-000001'])));
  commit(state, draft);
  assert.deepEqual(at(state, 'j').allocationsByMachine['i-000001'], [3, 2]);
});

void test('draft: stays of machines that changed hands are ended where they are, and adopted', () => {
  const state = fresh('j');
  const dead = new TransactionBuilder(state, 'dead', LIMITS);
  dead.set('j', placeTasks(at(state, 'j'), boxes(0, 4)));
  commit(state, dead);
  const heir = new TransactionBuilder(state, 'heir', LIMITS);
  const stay = { machine: 'i-000000', task: 0, attempt: 1 };
  assert.ok(
    heir.set(
      'j',
      recordOutcomes(at(state, 'j'), [{ allocation: stay, outcome: 'requeued' }], 0, 1),
    ),
  );
  commit(state, heir);
  assert.deepEqual(at(state, 'j').requeuedTasks, [0]);
  const adoption = new TransactionBuilder(state, 'heir', LIMITS);
  assert.ok(adoption.adopt(keys.allocations('dead', 0), (box) => box !== 'i-000003'));
  commit(state, adoption);
  assert.deepEqual(Object.keys(state.allocationsIn(keys.allocations('dead', 0))['j'] ?? {}), [
    'i-000003',
  ]);
  assert.deepEqual(Object.keys(state.allocationsIn(keys.allocations('heir', 0))['j'] ?? {}), [
    'i-000001',
    'i-000002',
  ]);
  assert.equal(Object.keys(at(state, 'j').allocationsByMachine).length, 3);
  assert.equal(finalPhase(at(state, 'j')), null);
});

void test('batch: its size grows with each machine by what is reckoned for it', () => {
  const machines: [string, string][] = [
    ['i-000001', ''],
    ['i-000002', '10.1.0.2:9000'],
    ['"odd" naïve', 'a'.repeat(60)],
  ];
  const batch: MachineBatch = {
    machineType: 'g8',
    zone: 'x',
    spot: true,
    recordedAt: 1.5e12,
    addresses: { 'i-0': 'b' },
  };
  let bytes = machineBatchBytes(batch);
  for (const [id, address] of machines) {
    batch.addresses[id] = address;
    bytes += machineBytes(id, address);
    assert.equal(machineBatchBytes(batch), bytes);
  }
});
