import type { EndRecord, JobRecord, JobSpec } from '../store/records.js';

/** A task's stay on a machine. */
export interface Allocation {
  machine: string;
  task: number;
  attempt: number;
}

export type TaskOutcome =
  /** Completed. */
  | 'done'
  /** Off the machine, not completed: to be started again. */
  | 'back'
  /** Ended with an error of its own. */
  | 'error';

export function newJob(spec: JobSpec, at: number): JobRecord {
  return { s: spec, at, t: 0, n: 0, r: {}, b: [] };
}

export function* allocations(job: JobRecord): Generator<Allocation> {
  for (const [box, pairs] of Object.entries(job.r))
    for (let at = 0; at + 1 < pairs.length; at += 2)
      yield { machine: box, task: pairs[at] ?? 0, attempt: pairs[at + 1] ?? 0 };
}

export function allocationsOn(job: JobRecord, box: string): Allocation[] {
  const pairs = job.r[box] ?? [];
  const out: Allocation[] = [];
  for (let at = 0; at + 1 < pairs.length; at += 2)
    out.push({ machine: box, task: pairs[at] ?? 0, attempt: pairs[at + 1] ?? 0 });
  return out;
}

export function placedCount(job: JobRecord): number {
  let count = 0;
  for (const pairs of Object.values(job.r)) count += pairs.length / 2;
  return count;
}

/** How many tasks wait for a machine now. A gang waits as a whole, once nothing of its last attempt is left. */
export function waitingCount(job: JobRecord): number {
  if (job.cancelled || job.gangDone) return 0;
  if (job.s.shape === 'group') return Object.keys(job.r).length === 0 ? job.s.tasks : 0;
  return job.s.tasks - job.n + job.b.length;
}

export function doneCount(job: JobRecord): number {
  if (job.s.shape === 'group') return job.gangDone ? job.s.tasks : 0;
  return job.n - placedCount(job) - job.b.length;
}

/** The final state that the job has reached, if nothing of it can be anywhere. */
export function finalState(job: JobRecord): 'done' | 'cancelled' | null {
  if (Object.keys(job.r).length > 0) return null;
  if (job.cancelled) return 'cancelled';
  if (job.s.shape === 'standing') return null;
  return doneCount(job) === job.s.tasks ? 'done' : null;
}

/** What replaces the record of a job that is over; null while it is not. */
export function endOf(job: JobRecord): EndRecord | null {
  const phase = finalState(job);
  return phase === null ? null : { ph: phase, tasks: job.s.tasks };
}

/** Whether a task of this job that is on a machine is meant to go on. */
export function wantsRunning(job: JobRecord, task: number): boolean {
  return !job.cancelled && !job.gangDone && !job.gangBroken && !job.stop?.includes(task);
}

/** Places waiting tasks, one on each named machine, under a new attempt number. */
export function place(job: JobRecord, boxes: string[]): JobRecord {
  const next: JobRecord = { ...job, r: { ...job.r }, b: [...job.b], t: job.t + 1 };
  if (job.s.shape === 'group') {
    delete next.gangBroken;
    delete next.stop;
    next.n = 0;
    next.b = [];
  }
  for (const box of boxes) {
    const task = next.b.length > 0 ? (next.b.shift() ?? 0) : next.n++;
    next.r[box] = [...(next.r[box] ?? []), task, next.t];
  }
  return next;
}

export interface TaskEnding {
  stay: Allocation;
  end: TaskOutcome;
}

/** How failures of one job hold back its next start: the pause doubles, up to 32 of them. */
const MAX_DOUBLINGS = 5;
const MAX_AVOIDED = 4;

/** Takes tasks off their machines. Only proof that a task is off its machine may lead here. */
export function conclude(
  job: JobRecord,
  endings: TaskEnding[],
  wall: number,
  pauseMs: number,
): JobRecord {
  const next: JobRecord = { ...job, r: { ...job.r }, b: [...job.b] };
  for (const { stay, end } of endings) {
    const pairs = next.r[stay.machine];
    if (!pairs) continue;
    const at = pairs.findIndex(
      (value, index) => index % 2 === 0 && value === stay.task && pairs[index + 1] === stay.attempt,
    );
    if (at < 0) continue;
    const left = [...pairs.slice(0, at), ...pairs.slice(at + 2)];
    if (left.length > 0) next.r[stay.machine] = left;
    else next.r = without(next.r, stay.machine);
    if (next.stop) next.stop = next.stop.filter((task) => task !== stay.task);
    if (next.stop?.length === 0) delete next.stop;
    if (end === 'error') {
      next.fails = (next.fails ?? 0) + 1;
      const pause = pauseMs * 2 ** Math.min(MAX_DOUBLINGS, next.fails - 1);
      if (next.fails > 1) next.notBefore = wall + pause;
      next.avoid = [
        ...(next.avoid ?? []).filter((box) => box !== stay.machine),
        stay.machine,
      ].slice(-MAX_AVOIDED);
    } else if (end === 'done') {
      delete next.fails;
      delete next.notBefore;
      delete next.avoid;
    }
    if (job.s.shape === 'group') {
      if (end === 'done') next.gangDone = true;
      else if (!next.gangDone) next.gangBroken = true;
    } else if (end !== 'done' || job.s.shape === 'standing') {
      next.b.push(stay.task);
    }
  }
  if (job.s.shape === 'group' && Object.keys(next.r).length === 0 && !next.gangDone) {
    next.n = 0;
    next.b = [];
    delete next.gangBroken;
    delete next.stop;
  }
  return next;
}

export function without<T>(record: Record<string, T>, key: string): Record<string, T> {
  const copy = { ...record };
  // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- a copy made for this
  delete copy[key];
  return copy;
}
