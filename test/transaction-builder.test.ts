/** Transactions that start tasks, record their ends, and move allocations between domains. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { finalPhase, newJob, placeTasks, recordOutcomes } from '../src/model/job-lifecycle.js';
import type { JobRecord } from '../src/model/job.js';
import { encodeJob, keys } from '../src/store/records/index.js';
import { State } from '../src/store/state.js';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import { JOB } from './fakes/world.js';

const LIMITS = { maxWrites: 6, maxValueBytes: 700, maxBytes: 6000 };

/** Checks the conditions of a transaction and applies it, as the state service would. */
function commit(state: State, builder: TransactionBuilder): void {
  const { conditions, writes } = builder.build();
  for (const { key, modRevision } of conditions)
    assert.equal(state.modRevisionOf(key), modRevision, key);
  state.replica.applyOwnCommit(writes, state.replica.revision + 1);
  state.replica.revision++;
}

/** A state that holds only the given jobs, with 60 tasks each. */
function stateWith(...jobIds: string[]): State {
  const state = new State(() => undefined);
  const job = newJob({ ...JOB, tasks: 60 }, 0);
  const writes = jobIds.map((jobId) => ({ put: keys.job(jobId), value: encodeJob(job) }));
  state.replica.applyOwnCommit(writes, 1);
  state.replica.revision = 1;
  return state;
}

const jobIn = (state: State, jobId: string): JobRecord => state.jobs.get(jobId) ?? newJob(JOB, 0);
const machineIds = (from: number, count: number): string[] =>
  Array.from({ length: count }, (_, n) => `i-${String(from + n).padStart(6, '0')}`);

void test('transaction: allocations of several jobs share partitions, none of which exceeds the size limit', () => {
  const state = stateWith('j', 'k');
  const builder = new TransactionBuilder(state, 'a', LIMITS);
  assert.ok(builder.set('j', placeTasks(jobIn(state, 'j'), machineIds(0, 30))));
  assert.ok(builder.set('k', placeTasks(jobIn(state, 'k'), machineIds(10, 20))));
  commit(state, builder);
  assert.equal(Object.keys(jobIn(state, 'j').allocationsByMachine).length, 30);
  assert.equal(state.usageByTeam.get('red')?.cpus, 50 * JOB.cpus);
  assert.equal(state.jobsByMachine.get('i-000010')?.size, 2);
  const partitionKeys = state.allocationPartitionKeys('a').slice(0, -1);
  assert.ok(partitionKeys.length > 1);
  for (const key of partitionKeys)
    assert.ok(JSON.stringify(state.allocationsIn(key)).length <= LIMITS.maxValueBytes);
});

void test('transaction: a change that does not fit leaves the transaction unchanged', () => {
  const state = stateWith('j');
  const builder = new TransactionBuilder(state, 'a', { ...LIMITS, maxWrites: 2 });
  assert.ok(!builder.set('j', placeTasks(jobIn(state, 'j'), machineIds(0, 60))));
  assert.equal(builder.size, 0);
  assert.ok(builder.set('j', placeTasks(jobIn(state, 'j'), machineIds(0, 5))));
  assert.equal(builder.size, 2);
});

void test('transaction: the end of a task that changes nothing else is one write, and later changes in the same transaction include it', () => {
  const state = stateWith('j');
  const start = new TransactionBuilder(state, 'a', LIMITS);
  start.set('j', placeTasks(jobIn(state, 'j'), machineIds(0, 3)));
  commit(state, start);
  const builder = new TransactionBuilder(state, 'a', LIMITS);
  const allocation = { machine: 'i-000001', task: 1, attempt: 1 };
  assert.ok(
    builder.set(
      'j',
      recordOutcomes(jobIn(state, 'j'), [{ allocation, outcome: 'completed' }], 0, 1),
    ),
  );
  assert.deepEqual(
    builder.build().writes.map((write) => 'put' in write && write.put),
    [keys.allocations('a', 0)],
  );
  assert.equal(builder.job('j')?.allocationsByMachine['i-000001'], undefined);
  assert.ok(builder.set('j', placeTasks(builder.job('j') ?? jobIn(state, 'j'), ['i-000001'])));
  commit(state, builder);
  assert.deepEqual(jobIn(state, 'j').allocationsByMachine['i-000001'], [3, 2]);
});

void test('transaction: after a takeover, allocations are ended in the partition that records them, and the rest are adopted', () => {
  const state = stateWith('j');
  const deadOwner = new TransactionBuilder(state, 'dead', LIMITS);
  deadOwner.set('j', placeTasks(jobIn(state, 'j'), machineIds(0, 4)));
  commit(state, deadOwner);
  const successor = new TransactionBuilder(state, 'successor', LIMITS);
  const allocation = { machine: 'i-000000', task: 0, attempt: 1 };
  assert.ok(
    successor.set(
      'j',
      recordOutcomes(jobIn(state, 'j'), [{ allocation, outcome: 'requeued' }], 0, 1),
    ),
  );
  commit(state, successor);
  assert.deepEqual(jobIn(state, 'j').requeuedTasks, [0]);
  const adoption = new TransactionBuilder(state, 'successor', LIMITS);
  assert.ok(adoption.adopt(keys.allocations('dead', 0), (machineId) => machineId !== 'i-000003'));
  commit(state, adoption);
  assert.deepEqual(Object.keys(state.allocationsIn(keys.allocations('dead', 0))['j'] ?? {}), [
    'i-000003',
  ]);
  assert.deepEqual(Object.keys(state.allocationsIn(keys.allocations('successor', 0))['j'] ?? {}), [
    'i-000001',
    'i-000002',
  ]);
  assert.equal(Object.keys(jobIn(state, 'j').allocationsByMachine).length, 3);
  assert.equal(finalPhase(jobIn(state, 'j')), null);
});
