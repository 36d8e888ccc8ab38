/** How a job goes from its submission to its final state. Functions on records alone: nothing is read or written. */
import { without } from '../util/records.js';
import { allocationCount, forEachAllocation } from './allocations.js';
import type { FinalState, JobRecord, JobSpec } from './job.js';

/** One attempt of a task on the machine where it may be. */
export interface Allocation {
  machine: string;
  task: number;
  attempt: number;
}

/** How an allocation has ended. */
export type TaskOutcome =
  | 'completed'
  /** Off the machine, not completed: to be started again. */
  | 'requeued'
  /** Ended with an error of its own. */
  | 'failed';

/** A job as it is accepted; the time of day is in milliseconds. */
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

/** All allocations of a job. */
export function* allocationsOf(job: JobRecord): Generator<Allocation> {
  for (const machine of Object.keys(job.allocationsByMachine)) yield* allocationsOn(job, machine);
}

/** The allocations of a job on one machine. */
export function allocationsOn(job: JobRecord, machine: string): Allocation[] {
  const allocations: Allocation[] = [];
  forEachAllocation(job.allocationsByMachine[machine] ?? [], (task, attempt) => {
    allocations.push({ machine, task, attempt });
  });
  return allocations;
}

/** How many tasks may be on machines. */
export function allocatedCount(job: JobRecord): number {
  let count = 0;
  for (const allocations of Object.values(job.allocationsByMachine))
    count += allocationCount(allocations);
  return count;
}

/** How many tasks wait for a machine now. A gang waits as a whole, once nothing of its last attempt is left. */
export function waitingCount(job: JobRecord): number {
  if (job.cancelled || job.gangDone) return 0;
  if (job.spec.kind === 'gang')
    return Object.keys(job.allocationsByMachine).length === 0 ? job.spec.tasks : 0;
  return job.spec.tasks - job.firstUnplacedTask + job.requeuedTasks.length;
}

/** How many tasks are completed. A gang completes as a whole. */
export function doneCount(job: JobRecord): number {
  if (job.spec.kind === 'gang') return job.gangDone ? job.spec.tasks : 0;
  return job.firstUnplacedTask - allocatedCount(job) - job.requeuedTasks.length;
}

/** The final state that the job has reached, if nothing of it can be anywhere. */
export function finalPhase(job: JobRecord): 'done' | 'cancelled' | null {
  if (Object.keys(job.allocationsByMachine).length > 0) return null;
  if (job.cancelled) return 'cancelled';
  if (job.spec.kind === 'service') return null;
  return doneCount(job) === job.spec.tasks ? 'done' : null;
}

/** What replaces the record of a job that is over; null while it is not. */
export function finalStateOf(job: JobRecord): FinalState | null {
  const phase = finalPhase(job);
  return phase === null ? null : { phase, tasks: job.spec.tasks };
}

/** Whether a task of this job that is on a machine is meant to go on. */
export function shouldRun(job: JobRecord, task: number): boolean {
  return !job.cancelled && !job.gangDone && !job.gangBroken && !job.preemptedTasks?.includes(task);
}

/** Places waiting tasks, one on each named machine, under a new attempt number. */
export function placeTasks(job: JobRecord, machines: readonly string[]): JobRecord {
  const next = copyForUpdate(job);
  next.lastAttempt++;
  if (job.spec.kind === 'gang') resetGang(next);
  for (const machine of machines) addAllocation(next, machine, takeWaitingTask(next));
  return next;
}

/** An outcome that is proved: the task is off the machine. */
export interface AllocationOutcome {
  allocation: Allocation;
  outcome: TaskOutcome;
}

/** The delay between failures of one job doubles this many times. */
const MAX_DELAY_DOUBLINGS = 5;
/** A job's first failure delays nothing. */
const FAILURES_WITHOUT_DELAY = 1;
/** How many of the machines where a job failed last are avoided. */
const MAX_AVOIDED_MACHINES = 4;

/**
 * Takes tasks off their machines. Only proof that a task is off its machine may lead here. Outcomes of allocations that
 * are not recorded change nothing. `wallClock` and `retryDelayMs`, the first delay after a failure, are in milliseconds.
 */
export function recordOutcomes(
  job: JobRecord,
  outcomes: readonly AllocationOutcome[],
  wallClock: number,
  retryDelayMs: number,
): JobRecord {
  const next = copyForUpdate(job);
  for (const { allocation, outcome } of outcomes) {
    if (!removeAllocation(next, allocation)) continue;
    removePreemption(next, allocation.task);
    if (outcome === 'failed') noteFailure(next, allocation.machine, wallClock, retryDelayMs);
    if (outcome === 'completed') clearFailures(next);
    noteProgress(next, allocation.task, outcome);
  }
  if (isGoneIncompleteGang(next)) resetGang(next);
  return next;
}

/** A copy whose allocations and requeued tasks may be changed in place. */
function copyForUpdate(job: JobRecord): JobRecord {
  return {
    ...job,
    allocationsByMachine: { ...job.allocationsByMachine },
    requeuedTasks: [...job.requeuedTasks],
  };
}

/** The gang is to be placed as a whole. */
function resetGang(job: JobRecord): void {
  delete job.gangBroken;
  delete job.preemptedTasks;
  job.firstUnplacedTask = 0;
  job.requeuedTasks = [];
}

function isGoneIncompleteGang(job: JobRecord): boolean {
  if (job.spec.kind !== 'gang' || job.gangDone) return false;
  return Object.keys(job.allocationsByMachine).length === 0;
}

function takeWaitingTask(job: JobRecord): number {
  return job.requeuedTasks.shift() ?? job.firstUnplacedTask++;
}

function addAllocation(job: JobRecord, machine: string, task: number): void {
  const pairs = job.allocationsByMachine[machine] ?? [];
  job.allocationsByMachine[machine] = [...pairs, task, job.lastAttempt];
}

/** False, and nothing changed, if the allocation is not recorded. */
function removeAllocation(job: JobRecord, { machine, task, attempt }: Allocation): boolean {
  const pairs = job.allocationsByMachine[machine] ?? [];
  const at = pairs.findIndex(
    (value, index) => index % 2 === 0 && value === task && pairs[index + 1] === attempt,
  );
  if (at < 0) return false;
  const left = [...pairs.slice(0, at), ...pairs.slice(at + 2)];
  if (left.length > 0) job.allocationsByMachine[machine] = left;
  else job.allocationsByMachine = without(job.allocationsByMachine, machine);
  return true;
}

function removePreemption(job: JobRecord, task: number): void {
  const left = job.preemptedTasks?.filter((preempted) => preempted !== task) ?? [];
  if (left.length > 0) job.preemptedTasks = left;
  else delete job.preemptedTasks;
}

function noteFailure(
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

/** What the outcome of one task means for what is left to do. */
function noteProgress(job: JobRecord, task: number, outcome: TaskOutcome): void {
  if (job.spec.kind === 'gang') {
    if (outcome === 'completed') job.gangDone = true;
    else if (!job.gangDone) job.gangBroken = true;
    return;
  }
  const runsAgain = outcome !== 'completed' || job.spec.kind === 'service';
  if (runsAgain) job.requeuedTasks.push(task);
}
