/**
 * The allocations of one job on one machine, in their compact form: task, attempt, task, attempt, ... in one flat list.
 * A fleet has very many of them, so they are kept as they are stored, without an object for each. Nothing outside this
 * module and the job lifecycle depends on that form.
 */
import type { AllocationsByMachine, JobRecord } from './job.js';

/** Pairs of a task and its attempt number, one after the other. Never changed in place. */
export type PackedAllocations = number[];

/** Numbers that one allocation takes up in the list. */
const NUMBERS_PER_ALLOCATION = 2;

/** How many tasks of a job may be on a machine. */
export function allocatedTasksOn(job: JobRecord, machineId: string): number {
  const allocations = job.allocationsByMachine[machineId];
  return allocations ? allocationCount(allocations) : 0;
}

/** How many allocations a list holds. */
export function allocationCount(allocations: PackedAllocations): number {
  return allocations.length / NUMBERS_PER_ALLOCATION;
}

/** Calls `visit` with the task and the attempt of each allocation, in their order. */
export function forEachAllocation(
  allocations: PackedAllocations,
  visit: (task: number, attempt: number) => void,
): void {
  for (let at = 0; at + 1 < allocations.length; at += NUMBERS_PER_ALLOCATION)
    visit(allocations[at] ?? 0, allocations[at + 1] ?? 0);
}

/** Whether a list holds a task under this attempt. */
export function hasAllocation(
  allocations: PackedAllocations,
  task: number,
  attempt: number,
): boolean {
  for (let at = 0; at < allocations.length; at += NUMBERS_PER_ALLOCATION)
    if (allocations[at] === task && allocations[at + 1] === attempt) return true;
  return false;
}

/** What is in the first list and not in the second. */
export function subtractAllocations(
  allocations: PackedAllocations,
  removed: PackedAllocations,
): PackedAllocations {
  const left: PackedAllocations = [];
  forEachAllocation(allocations, (task, attempt) => {
    if (!hasAllocation(removed, task, attempt)) left.push(task, attempt);
  });
  return left;
}

/** What is in both lists, in the order of the first. */
export function intersectAllocations(
  allocations: PackedAllocations,
  kept: PackedAllocations,
): PackedAllocations {
  const left: PackedAllocations = [];
  forEachAllocation(allocations, (task, attempt) => {
    if (hasAllocation(kept, task, attempt)) left.push(task, attempt);
  });
  return left;
}

/** Both lists as one. */
export function concatAllocations(
  first: PackedAllocations,
  second: PackedAllocations,
): PackedAllocations {
  return [...first, ...second];
}

/** Whether two lists hold the same in the same order; absent ones are equal to each other only. */
export function sameAllocations(
  one: PackedAllocations | undefined,
  two: PackedAllocations | undefined,
): boolean {
  if (one === two) return true;
  return one?.length === two?.length && one?.every((value, at) => value === two?.[at]) === true;
}

/** Whether two records of a job's allocations are the same. */
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
