/** The life of a job from submission to its final state. Pure functions on records, without access to the store. */
import { getOrAdd } from '../util/maps.js';
import { without } from '../util/records.js';
import {
  allocationCount,
  AllocationSet,
  concatAllocations,
  forEachAllocation,
  type PackedAllocations,
} from './allocations.js';
import type { FinalState, JobRecord, JobSpec } from './job.js';

/** One attempt of a task, and the machine on which it may be running. */
export interface Allocation {
  machine: string;
  task: number;
  attempt: number;
}

/** How an allocation ended. */
export type TaskOutcome =
  | 'completed'
  /** No longer on the machine and not completed; the task is to be started again. */
  | 'requeued'
  /** Ended with an error of the task itself. */
  | 'failed';

/** The initial record of an accepted job; `acceptedAt` is a time of day in milliseconds. */
export function newJob(spec: JobSpec, acceptedAt: number): JobRecord {
  return {
    spec,
    acceptedAt,
    lastAttempt: 0,
    firstUnplacedTask: 0,
    allocationsByMachine: {},
    requeuedTasks: [],
  };
}

/** The allocations of a job on one machine. */
export function allocationsOn(job: JobRecord, machine: string): Allocation[] {
  const allocations: Allocation[] = [];
  forEachAllocation(job.allocationsByMachine[machine] ?? [], (task, attempt) => {
    allocations.push({ machine, task, attempt });
  });
  return allocations;
}

/** Number of tasks recorded on machines, each of which may be running. */
export function allocatedCount(job: JobRecord): number {
  let count = 0;
  for (const allocations of Object.values(job.allocationsByMachine))
    count += allocationCount(allocations);
  return count;
}

/**
 * Number of tasks that wait for a machine now. A gang waits as a whole, once no allocation of its last attempt is left.
 */
export function waitingCount(job: JobRecord): number {
  if (job.cancelled || job.gangDone) return 0;
  if (job.spec.kind === 'gang')
    return Object.keys(job.allocationsByMachine).length === 0 ? job.spec.tasks : 0;
  return job.spec.tasks - job.firstUnplacedTask + job.requeuedTasks.length;
}

/**
 * Number of completed tasks. A gang completes as a whole. None of a cancelled job count, since its record does not say
 * which of its tasks were stopped.
 */
export function doneCount(job: JobRecord): number {
  if (job.cancelled) return 0;
  if (job.spec.kind === 'gang') return job.gangDone ? job.spec.tasks : 0;
  return job.firstUnplacedTask - allocatedCount(job) - job.requeuedTasks.length;
}

/** The final phase that the job has reached; null if it has reached none or may still have tasks on machines. */
export function finalPhase(job: JobRecord): 'done' | 'cancelled' | null {
  if (Object.keys(job.allocationsByMachine).length > 0) return null;
  if (job.cancelled) return 'cancelled';
  if (job.spec.kind === 'service') return null;
  return doneCount(job) === job.spec.tasks ? 'done' : null;
}

/** The final state that replaces the record of a job that has ended; null while the job has not ended. */
export function finalStateOf(job: JobRecord): FinalState | null {
  const phase = finalPhase(job);
  return phase === null ? null : { phase, tasks: job.spec.tasks };
}

/** A test of whether a task of this job that is on a machine should keep running there. */
export function runTest(job: JobRecord): (task: number) => boolean {
  if (job.cancelled || job.gangDone || job.gangBroken) return () => false;
  const preempted = new Set(job.preemptedTasks);
  return (task) => !preempted.has(task);
}

/** Places waiting tasks under a new attempt number, one task for each entry of `machines`. */
export function placeTasks(job: JobRecord, machines: readonly string[]): JobRecord {
  const next = copyForUpdate(job);
  next.lastAttempt++;
  if (job.spec.kind === 'gang') resetGang(next);
  addAllocations(next, machines);
  return next;
}

/** An outcome with proof that the task is no longer on the machine. */
export interface AllocationOutcome {
  allocation: Allocation;
  outcome: TaskOutcome;
}

/** How many times the retry delay of a job doubles at most. */
const MAX_DELAY_DOUBLINGS = 5;
/** Number of failures after which a job is retried without delay: the first failure delays nothing. */
const FAILURES_WITHOUT_DELAY = 1;
/** A job avoids at most this many machines: those on which it failed most recently. */
const MAX_AVOIDED_MACHINES = 4;

/**
 * Removes the allocations of tasks that have ended. Must be called only with proof that each task is no longer on its
 * machine. Outcomes of allocations that are not recorded are ignored. From the second failure without a completed task
 * in between, the job is delayed: by `retryDelayMs` times 2, 4, 8 and so on. Both times are in milliseconds;
 * `wallClock` is a time of day.
 */
export function recordOutcomes(
  job: JobRecord,
  outcomes: readonly AllocationOutcome[],
  wallClock: number,
  retryDelayMs: number,
): JobRecord {
  const next = copyForUpdate(job);
  const ended = removeAllocations(next, outcomes);
  removePreemptions(next, ended);
  for (const { allocation, outcome } of ended) {
    if (outcome === 'failed') recordFailure(next, allocation.machine, wallClock, retryDelayMs);
    if (outcome === 'completed') clearFailures(next);
    applyOutcome(next, allocation.task, outcome);
  }
  if (isStoppedIncompleteGang(next)) resetGang(next);
  return next;
}

/** A copy whose `allocationsByMachine` and `requeuedTasks` may be modified in place. */
function copyForUpdate(job: JobRecord): JobRecord {
  return {
    ...job,
    allocationsByMachine: { ...job.allocationsByMachine },
    requeuedTasks: [...job.requeuedTasks],
  };
}

/** Resets the gang so that it is placed again as a whole. */
function resetGang(job: JobRecord): void {
  delete job.gangBroken;
  delete job.preemptedTasks;
  job.firstUnplacedTask = 0;
  job.requeuedTasks = [];
}

function isStoppedIncompleteGang(job: JobRecord): boolean {
  if (job.spec.kind !== 'gang' || job.gangDone) return false;
  return Object.keys(job.allocationsByMachine).length === 0;
}

/** Allocates one waiting task under the last attempt number for each entry of `machines`. */
function addAllocations(job: JobRecord, machines: readonly string[]): void {
  const tasks = takeWaitingTasks(job, machines.length);
  const added = new Map<string, PackedAllocations>();
  for (const [index, machine] of machines.entries())
    getOrAdd(added, machine, () => []).push(tasks[index] ?? 0, job.lastAttempt);
  for (const [machine, allocations] of added) {
    const others = job.allocationsByMachine[machine] ?? [];
    job.allocationsByMachine[machine] = concatAllocations(others, allocations);
  }
}

/** Removes tasks from those that wait: first tasks to run again, then tasks that were never placed. */
function takeWaitingTasks(job: JobRecord, count: number): number[] {
  const tasks = job.requeuedTasks.slice(0, count);
  job.requeuedTasks = job.requeuedTasks.slice(count);
  while (tasks.length < count) tasks.push(job.firstUnplacedTask++);
  return tasks;
}

/** Removes the allocations of these outcomes; returns the outcomes whose allocations were recorded. */
function removeAllocations(
  job: JobRecord,
  outcomes: readonly AllocationOutcome[],
): AllocationOutcome[] {
  const remaining = new Map<string, AllocationSet>();
  const ended = outcomes.filter(({ allocation: { machine, task, attempt } }) =>
    getOrAdd(remaining, machine, () => new AllocationSet(job.allocationsByMachine[machine])).delete(
      task,
      attempt,
    ),
  );
  for (const machine of new Set(ended.map(({ allocation }) => allocation.machine)))
    keepAllocations(job, machine, remaining.get(machine) ?? new AllocationSet());
  return ended;
}

/** Removes the allocations on a machine that are not in `kept`. */
function keepAllocations(job: JobRecord, machine: string, kept: AllocationSet): void {
  const remaining: PackedAllocations = [];
  forEachAllocation(job.allocationsByMachine[machine] ?? [], (task, attempt) => {
    if (kept.has(task, attempt)) remaining.push(task, attempt);
  });
  if (remaining.length > 0) job.allocationsByMachine[machine] = remaining;
  else job.allocationsByMachine = without(job.allocationsByMachine, machine);
}

function removePreemptions(job: JobRecord, ended: readonly AllocationOutcome[]): void {
  if (!job.preemptedTasks) return;
  const endedTasks = new Set(ended.map(({ allocation }) => allocation.task));
  const remaining = job.preemptedTasks.filter((task) => !endedTasks.has(task));
  if (remaining.length > 0) job.preemptedTasks = remaining;
  else delete job.preemptedTasks;
}

function recordFailure(
  job: JobRecord,
  machine: string,
  wallClock: number,
  retryDelayMs: number,
): void {
  const failures = (job.failures ?? 0) + 1;
  const doublings = Math.min(MAX_DELAY_DOUBLINGS, failures - 1);
  job.failures = failures;
  if (failures > FAILURES_WITHOUT_DELAY) job.notBefore = wallClock + retryDelayMs * 2 ** doublings;
  const others = (job.avoidedMachines ?? []).filter((avoided) => avoided !== machine);
  job.avoidedMachines = [...others, machine].slice(-MAX_AVOIDED_MACHINES);
}

function clearFailures(job: JobRecord): void {
  delete job.failures;
  delete job.notBefore;
  delete job.avoidedMachines;
}

/** Updates the job's progress after one task has ended: gang state, or the tasks to run again. */
function applyOutcome(job: JobRecord, task: number, outcome: TaskOutcome): void {
  if (job.spec.kind === 'gang') {
    if (outcome === 'completed') job.gangDone = true;
    else if (!job.gangDone) job.gangBroken = true;
    return;
  }
  const runsAgain = outcome !== 'completed' || job.spec.kind === 'service';
  if (runsAgain && !job.cancelled) job.requeuedTasks.push(task);
}
