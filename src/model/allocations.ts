/**
 * The allocations of one job on one machine in packed form, a flat list: task, attempt, task, attempt, ...
 * A fleet has very many allocations, so they are kept in memory in their stored form, without an object for each. Only
 * this module and the job lifecycle depend on that form.
 */
import type { AllocationsByMachine, JobRecord } from './job.js';

/** Task and attempt numbers in alternation. Never modified in place. */
export type PackedAllocations = number[];

/** List entries per allocation: the task and the attempt. */
export const NUMBERS_PER_ALLOCATION = 2;

/** Number of tasks of a job recorded on a machine, each of which may be running there. */
export function allocatedTasksOn(job: JobRecord, machineId: string): number {
  const allocations = job.allocationsByMachine[machineId];
  return allocations ? allocationCount(allocations) : 0;
}

/** Number of allocations in a list. */
export function allocationCount(allocations: PackedAllocations): number {
  return allocations.length / NUMBERS_PER_ALLOCATION;
}

/** Bytes of one allocation in the JSON form of a list: its two numbers, each with a comma. */
export function allocationBytes(task: number, attempt: number): number {
  return String(task).length + String(attempt).length + NUMBERS_PER_ALLOCATION;
}

/** Calls `visit` with the task and the attempt of each allocation, in list order. */
export function forEachAllocation(
  allocations: PackedAllocations,
  visit: (task: number, attempt: number) => void,
): void {
  for (let index = 0; index + 1 < allocations.length; index += NUMBERS_PER_ALLOCATION)
    visit(allocations[index] ?? 0, allocations[index + 1] ?? 0);
}

/** Whether a list contains this attempt of the task. */
export function hasAllocation(
  allocations: PackedAllocations,
  task: number,
  attempt: number,
): boolean {
  for (let index = 0; index < allocations.length; index += NUMBERS_PER_ALLOCATION)
    if (allocations[index] === task && allocations[index + 1] === attempt) return true;
  return false;
}

/** Larger than any task number, so that a task and an attempt combine to one number. */
const TASK_NUMBER_RANGE = 2 ** 17;
/** Length of lists up to which searching them is faster than making a set. */
const MAX_SEARCHED_LENGTH = 32;

/** A set of allocations of one job on one machine. */
export class AllocationSet {
  private readonly members = new Set<number>();

  constructor(allocations: PackedAllocations = []) {
    forEachAllocation(allocations, (task, attempt) => {
      this.add(task, attempt);
    });
  }

  add(task: number, attempt: number): void {
    this.members.add(attempt * TASK_NUMBER_RANGE + task);
  }

  has(task: number, attempt: number): boolean {
    return this.members.has(attempt * TASK_NUMBER_RANGE + task);
  }

  /** Removes an allocation; returns false if it is not in the set. */
  delete(task: number, attempt: number): boolean {
    return this.members.delete(attempt * TASK_NUMBER_RANGE + task);
  }
}

/** The allocations of the first list that are not in the second. */
export function subtractAllocations(
  allocations: PackedAllocations,
  removed: PackedAllocations,
): PackedAllocations {
  const isRemoved = membershipOf(removed);
  const remaining: PackedAllocations = [];
  forEachAllocation(allocations, (task, attempt) => {
    if (!isRemoved(task, attempt)) remaining.push(task, attempt);
  });
  return remaining;
}

/** The allocations that are in both lists, in the order of the first. */
export function intersectAllocations(
  allocations: PackedAllocations,
  kept: PackedAllocations,
): PackedAllocations {
  const isKept = membershipOf(kept);
  const common: PackedAllocations = [];
  forEachAllocation(allocations, (task, attempt) => {
    if (isKept(task, attempt)) common.push(task, attempt);
  });
  return common;
}

/** A test of whether an allocation is in a list, in constant time however long the list is. */
function membershipOf(allocations: PackedAllocations): (task: number, attempt: number) => boolean {
  if (allocations.length <= MAX_SEARCHED_LENGTH)
    return (task, attempt) => hasAllocation(allocations, task, attempt);
  const members = new AllocationSet(allocations);
  return (task, attempt) => members.has(task, attempt);
}

/** The allocations of the first list followed by those of the second. */
export function concatAllocations(
  first: PackedAllocations,
  second: PackedAllocations,
): PackedAllocations {
  return [...first, ...second];
}

/** Whether two lists have the same allocations in the same order. An absent list equals only another absent list. */
export function sameAllocations(
  one: PackedAllocations | undefined,
  two: PackedAllocations | undefined,
): boolean {
  if (one === two) return true;
  return one?.length === two?.length && one?.every((value, at) => value === two?.[at]) === true;
}

/** Whether a job's allocations are the same on each machine in both records. */
export function sameAllocationsByMachine(
  one: AllocationsByMachine,
  two: AllocationsByMachine,
): boolean {
  const machines = Object.keys(two);
  if (Object.keys(one).length !== machines.length) return false;
  return machines.every((machineId) => sameAllocations(one[machineId], two[machineId]));
}

/** Machines that appear in either of two records of allocations. */
export function machinesOfEither(
  one: AllocationsByMachine,
  two: AllocationsByMachine,
): Set<string> {
  return new Set([...Object.keys(one), ...Object.keys(two)]);
}

/** Whether a stored value is a list of allocations. */
export function isPackedAllocations(value: unknown): value is PackedAllocations {
  return (
    Array.isArray(value) &&
    value.length % NUMBERS_PER_ALLOCATION === 0 &&
    value.every(Number.isSafeInteger)
  );
}
