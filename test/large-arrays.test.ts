/** Arrays of very many small tasks: the controllers, other jobs and the array itself go on. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_OPERATOR_SETTINGS } from '../src/config/operator.js';
import { allocatedTasksOn } from '../src/model/allocations.js';
import { newJob, placeTasks, recordOutcomes } from '../src/model/job-lifecycle.js';
import { plan } from '../src/placement/plan.js';
import { maxTaskStatusBytes, MAX_REPORTED_TASKS_BYTES } from '../src/protocol/heartbeat-size.js';
import { encodeJob, keys } from '../src/store/records/index.js';
import { State } from '../src/store/state.js';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import { longestTurnMs } from './fakes/event-loop.js';
import { job, machine, snapshot } from './fakes/placement.js';
import { JOB, World, type WorldOptions } from './fakes/world.js';

/** The largest array that users may submit. */
const MAX_TASKS = 100_000;
/** Time in which a controller must get to renew its lease, for the worker lease of these tests: 10 s. */
const MAX_TURN_MS = 10_000 * DEFAULT_OPERATOR_SETTINGS.renewalShare;
const SMALL_TASK = { cpus: 0.0005, memoryGb: 0.001 };
const LARGE_MACHINE = { cpus: 64, gpus: 0, memoryGb: 512 };

/** One large machine for each controller. */
const WORLD_OPTIONS: Partial<WorldOptions> = {
  machineTypes: [
    {
      ...LARGE_MACHINE,
      name: 'large',
      pricePerHour: 1,
      spotPricePerHour: 0.3,
      bootSeconds: 10,
      zones: ['x', 'y'],
    },
  ],
  state: { rps: 120, write_rps: 25, value_kb: 8, txn_ops: 20 },
};

// Placing and ending tasks copied the machine's whole list of allocations for each task: over a minute for 64,000.
void test('large array: placing and ending all tasks on one machine take time in proportion to their number', async () => {
  const machines = Array.from({ length: MAX_TASKS }, () => 'i-1');
  const blockedMs = await longestTurnMs(() => {
    const placed = placeTasks(newJob({ ...JOB, tasks: MAX_TASKS }, 0), machines);
    assert.equal(allocatedTasksOn(placed, 'i-1'), MAX_TASKS);
    const outcomes = machines.map((id, task) => ({
      allocation: { machine: id, task, attempt: 1 },
      outcome: 'completed' as const,
    }));
    assert.deepEqual(recordOutcomes(placed, outcomes, 0, 1).allocationsByMachine, {});
    return Promise.resolve();
  });
  assert.ok(blockedMs < MAX_TURN_MS, `${blockedMs.toFixed(0)} ms`);
});

// A plan placed all tasks for which there was room, of which a transaction could then record only a small part.
void test('large array: a plan places no more than one transaction can record, and leaves room for the jobs behind', () => {
  const jobs = {
    j: job({ ...SMALL_TASK, tasks: MAX_TASKS, priority: 'urgent' }),
    k: job({ ...SMALL_TASK, tasks: MAX_TASKS, priority: 'urgent' }, 1),
    l: job({}, 2),
  };
  const candidates = ['1', '2', '3'].map((id) => machine(id, { capacity: LARGE_MACHINE }));
  const maxAllocationBytes = 40_000;
  const placements = plan({ ...snapshot(candidates, jobs), maxAllocationBytes });
  const tasks = new Map(placements.map(({ jobId, machineIds }) => [jobId, machineIds.length]));
  const total = [...tasks.values()].reduce((sum, count) => sum + count, 0);
  assert.ok(total * '9,1,'.length <= maxAllocationBytes, `${String(total)} tasks`);
  assert.ok((tasks.get('j') ?? 0) > 1000);
  assert.ok((tasks.get('k') ?? 0) > 1000);
  assert.equal(tasks.get('l'), 1);
});

// The tasks added to one machine went into one stored value or not at all, so no more than it holds could be added.
void test('large array: tasks for one machine that exceed a stored value are recorded in several', () => {
  const limits = { maxWrites: 6, maxValueBytes: 1024, maxBytes: 40_000 };
  const state = new State(() => undefined);
  const array = newJob({ ...JOB, tasks: 1000 }, 0);
  state.replica.applyOwnCommit([{ put: keys.job('j'), value: encodeJob(array) }], 1);
  const builder = new TransactionBuilder(state, 'a', limits);
  assert.ok(
    builder.set(
      'j',
      placeTasks(
        array,
        Array.from({ length: 400 }, () => 'i-1'),
      ),
    ),
  );
  state.replica.applyOwnCommit(builder.build().writes, 2);
  const recorded = state.jobs.get('j');
  assert.ok(recorded);
  assert.equal(allocatedTasksOn(recorded, 'i-1'), 400);
  for (const key of state.allocationPartitionKeys('a'))
    assert.ok(JSON.stringify(state.allocationsIn(key)).length <= limits.maxValueBytes);
});

// Nothing bounded the tasks on a machine. Heartbeats over 64 KiB were refused, and the lease ended with all tasks killed.
void test('large array: it takes no more than half of the heartbeats of a machine, and another array finds room', () => {
  const jobs = {
    j: job({ ...SMALL_TASK, tasks: MAX_TASKS, priority: 'urgent' }),
    k: job({ ...SMALL_TASK, tasks: MAX_TASKS }),
    l: job({ kind: 'service', tasks: 2 }),
  };
  const heartbeatBytes = MAX_REPORTED_TASKS_BYTES;
  const only = machine('1', {
    capacity: LARGE_MACHINE,
    free: { ...LARGE_MACHINE, heartbeatBytes },
  });
  const tasks = new Map(
    plan(snapshot([only], jobs)).map(({ jobId, machineIds }) => [jobId, machineIds.length]),
  );
  const bytesOf = (jobId: 'j' | 'k'): number =>
    (tasks.get(jobId) ?? 0) * maxTaskStatusBytes(jobId, jobs[jobId].spec);
  assert.ok(bytesOf('j') <= heartbeatBytes / 2);
  assert.ok(bytesOf('j') > heartbeatBytes / 3);
  assert.ok(bytesOf('k') <= heartbeatBytes / 4);
  assert.ok(bytesOf('k') > heartbeatBytes / 6);
  assert.equal(tasks.get('l'), 2);
});

// Planning such an array blocked all controllers for more than a minute: leases ended and no request was answered.
void test('large array: it does not block the controllers', async () => {
  const world = new World(1, WORLD_OPTIONS);
  world.cloud.startMachines(3);
  await world.time.runUntil(10_000);
  const jobId = world.submit({ ...SMALL_TASK, tasks: MAX_TASKS, expectedSeconds: 20 });
  const blockedMs = await longestTurnMs(() => world.time.runUntil(14_000));
  assert.ok(blockedMs < MAX_TURN_MS, `${blockedMs.toFixed(0)} ms`);
  assert.ok(world.checker.starts.some((start) => start.jobId === jobId));
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  assert.deepEqual(world.store.oversized, []);
  world.shutDown();
});
