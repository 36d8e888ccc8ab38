import type { JobRecord } from '../store/records.js';
import { allocationsOn, wantsRunning, type TaskOutcome, type Allocation } from '../jobs/life.js';
import type { TaskReport } from './report.js';

export interface WorkerCommand {
  verb: 'launch' | 'halt' | 'reap';
  task: string;
  try: number;
  drain_s?: number;
  [field: string]: unknown;
}

export interface Difference {
  orders: WorkerCommand[];
  /** Stays that are proved over, by job. */
  endings: Map<string, { stay: Allocation; end: TaskOutcome }[]>;
}

/**
 * What a machine should do, from what is recorded for it and what it shows. The picture must be fenced:
 * taken under the owner's term, so that no command of an earlier term can still change it, and with no
 * launch of this term unanswered. Only then does the absence of a task prove anything.
 */
export function difference(
  box: string,
  picture: ReadonlyMap<string, TaskReport>,
  jobs: Iterable<[string, JobRecord]>,
  /** Whether a copy of the task's launch that comes late could still be executed. */
  relaunchable: (key: string) => boolean = () => false,
): Difference {
  const orders: WorkerCommand[] = [];
  const endings: Difference['endings'] = new Map();
  const wanted = new Set<string>();
  const launches: WorkerCommand[] = [];
  for (const [uid, job] of jobs) {
    for (const stay of allocationsOn(job, box)) {
      const name = `${uid}/${String(stay.task)}`;
      wanted.add(taskKey(name, stay.attempt));
      const shown = picture.get(taskKey(name, stay.attempt));
      const goesOn = wantsRunning(job, stay.task);
      if (!shown) {
        if (goesOn) launches.push({ verb: 'launch', task: name, try: stay.attempt });
        else push(endings, uid, { stay, end: 'back' });
      } else if (shown.phase === 'exited') {
        push(endings, uid, { stay, end: endOf(shown) });
      } else if (!goesOn) {
        // A task that is saving is left alone: the halt that made it save had its time.
        const saves = !job.cancelled && !job.gangDone;
        if (!saves || shown.phase !== 'saving')
          orders.push({
            verb: 'halt',
            task: name,
            try: stay.attempt,
            drain_s: saves ? Math.ceil(job.s.flush_s) + 1 : 0,
          });
      }
    }
  }
  for (const [key, shown] of picture) {
    if (wanted.has(key)) continue;
    // Exited and no longer recorded: its outcome is committed, so the worker may forget it. What was
    // stopped may run elsewhere by now: once forgotten, a late copy of its launch would start it again.
    if (shown.phase === 'exited') {
      if (shown.cause === 'done' || !relaunchable(key))
        orders.push({ verb: 'reap', task: shown.task, try: shown.try });
    }
    // Runs without a record: never meant to be.
    else orders.push({ verb: 'halt', task: shown.task, try: shown.try, drain_s: 0 });
  }
  // Launches last: what is halted or reaped first leaves its room.
  orders.push(...launches);
  return { orders, endings };
}

export function taskKey(name: string, attempt: number): string {
  return `${name}#${String(attempt)}`;
}

export function indexTasks(tasks: TaskReport[]): Map<string, TaskReport> {
  return new Map(tasks.map((task) => [taskKey(task.task, task.try), task]));
}

function endOf(shown: TaskReport): TaskOutcome {
  if (shown.cause === 'done') return 'done';
  return shown.cause === 'error' ? 'error' : 'back';
}

function push(
  into: Difference['endings'],
  uid: string,
  ending: { stay: Allocation; end: TaskOutcome },
): void {
  const list = into.get(uid);
  if (list) list.push(ending);
  else into.set(uid, [ending]);
}
