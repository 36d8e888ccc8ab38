import { without } from '../util/records.js';
import type { FinalState, JobRecord, JobSpec } from '../model/job.js';

/** A task's stay on a machine. */
export interface Allocation {
  machine: string;
  task: number;
  attempt: number;
}

export type TaskOutcome =
  | 'completed'
  /** Off the machine, not completed: to be started again. */
  | 'requeued'
  /** Ended with an error of its own. */
  | 'failed';

export function newJob(spec: JobSpec, at: number): JobRecord {
  return {
    spec: spec,
    acceptedAt: at,
    lastAttempt: 0,
    firstUnplacedTask: 0,
    allocationsByMachine: {},
    requeuedTasks: [],
  };
}

export function* allocationsOf(job: JobRecord): Generator<Allocation> {
  for (const [box, pairs] of Object.entries(job.allocationsByMachine))
    for (let at = 0; at + 1 < pairs.length; at += 2)
      yield { machine: box, task: pairs[at] ?? 0, attempt: pairs[at + 1] ?? 0 };
}

export function allocationsOn(job: JobRecord, box: string): Allocation[] {
  const pairs = job.allocationsByMachine[box] ?? [];
  const out: Allocation[] = [];
  for (let at = 0; at + 1 < pairs.length; at += 2)
    out.push({ machine: box, task: pairs[at] ?? 0, attempt: pairs[at + 1] ?? 0 });
  return out;
}

export function allocatedCount(job: JobRecord): number {
  let count = 0;
  for (const pairs of Object.values(job.allocationsByMachine)) count += pairs.length / 2;
  return count;
}

/** How many tasks wait for a machine now. A gang waits as a whole, once nothing of its last attempt is left. */
export function waitingCount(job: JobRecord): number {
  if (job.cancelled || job.gangDone) return 0;
  if (job.spec.kind === 'gang')
    return Object.keys(job.allocationsByMachine).length === 0 ? job.spec.tasks : 0;
  return job.spec.tasks - job.firstUnplacedTask + job.requeuedTasks.length;
}

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
  return phase === null ? null : { phase: phase, tasks: job.spec.tasks };
}

/** Whether a task of this job that is on a machine is meant to go on. */
export function shouldRun(job: JobRecord, task: number): boolean {
  return !job.cancelled && !job.gangDone && !job.gangBroken && !job.preemptedTasks?.includes(task);
}

/** Places waiting tasks, one on each named machine, under a new attempt number. */
export function placeTasks(job: JobRecord, boxes: string[]): JobRecord {
  const next: JobRecord = {
    ...job,
    allocationsByMachine: { ...job.allocationsByMachine },
    requeuedTasks: [...job.requeuedTasks],
    lastAttempt: job.lastAttempt + 1,
  };
  if (job.spec.kind === 'gang') {
    delete next.gangBroken;
    delete next.preemptedTasks;
    next.firstUnplacedTask = 0;
    next.requeuedTasks = [];
  }
  for (const box of boxes) {
    const task =
      next.requeuedTasks.length > 0 ? (next.requeuedTasks.shift() ?? 0) : next.firstUnplacedTask++;
    next.allocationsByMachine[box] = [
      ...(next.allocationsByMachine[box] ?? []),
      task,
      next.lastAttempt,
    ];
  }
  return next;
}

export interface AllocationOutcome {
  allocation: Allocation;
  outcome: TaskOutcome;
}

/** How failures of one job hold back its next start: the pause doubles, up to 32 of them. */
const MAX_DOUBLINGS = 5;
const MAX_AVOIDED = 4;

/** Takes tasks off their machines. Only proof that a task is off its machine may lead here. */
export function recordOutcomes(
  job: JobRecord,
  endings: AllocationOutcome[],
  wall: number,
  pauseMs: number,
): JobRecord {
  const next: JobRecord = {
    ...job,
    allocationsByMachine: { ...job.allocationsByMachine },
    requeuedTasks: [...job.requeuedTasks],
  };
  for (const { allocation: stay, outcome: end } of endings) {
    const pairs = next.allocationsByMachine[stay.machine];
    if (!pairs) continue;
    const at = pairs.findIndex(
      (value, index) => index % 2 === 0 && value === stay.task && pairs[index + 1] === stay.attempt,
    );
    if (at < 0) continue;
    const left = [...pairs.slice(0, at), ...pairs.slice(at + 2)];
    if (left.length > 0) next.allocationsByMachine[stay.machine] = left;
    else next.allocationsByMachine = without(next.allocationsByMachine, stay.machine);
    if (next.preemptedTasks)
      next.preemptedTasks = next.preemptedTasks.filter((task) => task !== stay.task);
    if (next.preemptedTasks?.length === 0) delete next.preemptedTasks;
    if (end === 'failed') {
      next.failures = (next.failures ?? 0) + 1;
      const pause = pauseMs * 2 ** Math.min(MAX_DOUBLINGS, next.failures - 1);
      if (next.failures > 1) next.notBefore = wall + pause;
      next.avoidedMachines = [
        ...(next.avoidedMachines ?? []).filter((box) => box !== stay.machine),
        stay.machine,
      ].slice(-MAX_AVOIDED);
    } else if (end === 'completed') {
      delete next.failures;
      delete next.notBefore;
      delete next.avoidedMachines;
    }
    if (job.spec.kind === 'gang') {
      if (end === 'completed') next.gangDone = true;
      else if (!next.gangDone) next.gangBroken = true;
    } else if (end !== 'completed' || job.spec.kind === 'service') {
      next.requeuedTasks.push(stay.task);
    }
  }
  if (
    job.spec.kind === 'gang' &&
    Object.keys(next.allocationsByMachine).length === 0 &&
    !next.gangDone
  ) {
    next.firstUnplacedTask = 0;
    next.requeuedTasks = [];
    delete next.gangBroken;
    delete next.preemptedTasks;
  }
  return next;
}
