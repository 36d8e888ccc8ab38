/** Operations on packed allocations: an array of alternating task and attempt numbers (task, attempt, task, ...). */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allocatedTasksOn,
  allocationCount,
  concatAllocations,
  forEachAllocation,
  hasAllocation,
  intersectAllocations,
  isPackedAllocations,
  machinesOfEither,
  sameAllocations,
  sameAllocationsByMachine,
  subtractAllocations,
} from '../src/model/allocations.js';
import { newJob, placeTasks } from '../src/model/job-lifecycle.js';
import { JOB } from './fakes/world.js';

/** Task 4 with attempt 1, task 1 with attempt 4, task 5 with attempt 5. */
const PACKED = [4, 1, 1, 4, 5, 5];

void test('allocations: a job counts its tasks on each machine', () => {
  const job = placeTasks(newJob({ ...JOB, tasks: 9 }, 0), ['i-1', 'i-2', 'i-1']);
  assert.equal(allocatedTasksOn(job, 'i-1'), 2);
  assert.equal(allocatedTasksOn(job, 'i-2'), 1);
  assert.equal(allocatedTasksOn(job, 'i-3'), 0);
});

void test('allocations: all are visited in order, each with its task and attempt', () => {
  const visited: [number, number][] = [];
  forEachAllocation(PACKED, (task, attempt) => visited.push([task, attempt]));
  assert.deepEqual(visited, [
    [4, 1],
    [1, 4],
    [5, 5],
  ]);
  assert.equal(allocationCount(PACKED), 3);
});

void test('allocations: a task and an attempt are found only as a pair', () => {
  assert.ok(hasAllocation(PACKED, 4, 1));
  assert.ok(hasAllocation(PACKED, 1, 4));
  assert.ok(!hasAllocation(PACKED, 4, 5));
  // The attempt of one pair and the task of the next are not a pair.
  assert.ok(!hasAllocation([4, 1, 2, 3], 1, 2));
});

void test('allocations: difference, intersection and concatenation do not change their operands', () => {
  const other = [5, 5, 4, 1, 7, 7];
  assert.deepEqual(subtractAllocations(PACKED, other), [1, 4]);
  assert.deepEqual(subtractAllocations(other, PACKED), [7, 7]);
  assert.deepEqual(intersectAllocations(PACKED, other), [4, 1, 5, 5]);
  assert.deepEqual(concatAllocations(PACKED, [7, 7]), [4, 1, 1, 4, 5, 5, 7, 7]);
  assert.deepEqual(PACKED, [4, 1, 1, 4, 5, 5]);
  assert.deepEqual(other, [5, 5, 4, 1, 7, 7]);
});

void test('allocations: equal only if the same pairs are in the same order on the same machines', () => {
  assert.ok(sameAllocations(PACKED, [...PACKED]));
  assert.ok(!sameAllocations(PACKED, [1, 4, 4, 1, 5, 5]));
  assert.ok(!sameAllocations(PACKED, undefined));
  assert.ok(!sameAllocations(undefined, []));
  assert.ok(sameAllocations(undefined, undefined));
  assert.ok(sameAllocationsByMachine({ a: [0, 1], b: [1, 1] }, { b: [1, 1], a: [0, 1] }));
  assert.ok(!sameAllocationsByMachine({ a: [0, 1] }, { b: [0, 1] }));
  assert.ok(!sameAllocationsByMachine({ a: [0, 1] }, { a: [0, 1], b: [0, 1] }));
  assert.deepEqual([...machinesOfEither({ a: [0, 1] }, { b: [0, 1], a: [] })], ['a', 'b']);
});

/** Stored values, and whether they are packed allocations. */
const STORED: [unknown, boolean][] = [
  [PACKED, true],
  [[], true],
  [[1], false],
  [[1, 1.5], false],
  [['1', 1], false],
  [{ 0: 1 }, false],
  [null, false],
];
for (const [value, isPacked] of STORED)
  void test(`allocations: ${JSON.stringify(value)} is ${isPacked ? '' : 'not '}a packed list`, () => {
    assert.equal(isPackedAllocations(value), isPacked);
  });
