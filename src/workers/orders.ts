import {
  allocationsOn,
  shouldRun,
  type Allocation,
  type TaskOutcome,
} from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { TaskStatus, WorkerCommand } from '../model/worker.js';

export interface Reconciliation {
  commands: WorkerCommand[];
  /** Stays that are proved over, by job. */
  outcomes: Map<string, { stay: Allocation; end: TaskOutcome }[]>;
}

/**
 * What a machine should do, from what is recorded for it and what it shows. The picture must be fenced:
 * taken under the owner's term, so that no command of an earlier term can still change it, and with no
 * launch of this term unanswered. Only then does the absence of a task prove anything.
 */
export function reconcileMachine(
  box: string,
  picture: ReadonlyMap<string, TaskStatus>,
  jobs: Iterable<[string, JobRecord]>,
  /** Whether a copy of the task's launch that comes late could still be executed. */
  relaunchable: (key: string) => boolean = () => false,
): Reconciliation {
  const orders: WorkerCommand[] = [];
  const endings: Reconciliation['outcomes'] = new Map();
  const wanted = new Set<string>();
  const launches: WorkerCommand[] = [];
  for (const [uid, job] of jobs) {
    for (const stay of allocationsOn(job, box)) {
      const name = `${uid}/${String(stay.task)}`;
      wanted.add(taskKey(name, stay.attempt));
      const shown = picture.get(taskKey(name, stay.attempt));
      const goesOn = shouldRun(job, stay.task);
      if (!shown) {
        if (goesOn) launches.push({ kind: 'start', taskName: name, attempt: stay.attempt });
        else push(endings, uid, { stay, end: 'back' });
      } else if (shown.phase === 'exited') {
        push(endings, uid, { stay, end: endOf(shown) });
      } else if (!goesOn) {
        // A task that is saving is left alone: the halt that made it save had its time.
        const saves = !job.cancelled && !job.gangDone;
        if (!saves || shown.phase !== 'checkpointing')
          orders.push({
            kind: 'stop',
            taskName: name,
            attempt: stay.attempt,
            gracePeriodSeconds: saves ? Math.ceil(job.spec.checkpointSeconds) + 1 : 0,
          });
      }
    }
  }
  for (const [key, shown] of picture) {
    if (wanted.has(key)) continue;
    // Exited and no longer recorded: its outcome is committed, so the worker may forget it. What was
    // stopped may run elsewhere by now: once forgotten, a late copy of its launch would start it again.
    if (shown.phase === 'exited') {
      if (shown.exitReason === 'done' || !relaunchable(key))
        orders.push({ kind: 'acknowledge', taskName: shown.taskName, attempt: shown.attempt });
    }
    // Runs without a record: never meant to be.
    else
      orders.push({
        kind: 'stop',
        taskName: shown.taskName,
        attempt: shown.attempt,
        gracePeriodSeconds: 0,
      });
  }
  // Launches last: what is halted or reaped first leaves its room.
  orders.push(...launches);
  return { commands: orders, outcomes: endings };
}

export function taskKey(name: string, attempt: number): string {
  return `${name}#${String(attempt)}`;
}

export function indexTasks(tasks: TaskStatus[]): Map<string, TaskStatus> {
  return new Map(tasks.map((task) => [taskKey(task.taskName, task.attempt), task]));
}

function endOf(shown: TaskStatus): TaskOutcome {
  if (shown.exitReason === 'done') return 'done';
  return shown.exitReason === 'error' ? 'error' : 'back';
}

function push(
  into: Reconciliation['outcomes'],
  uid: string,
  ending: { stay: Allocation; end: TaskOutcome },
): void {
  const list = into.get(uid);
  if (list) list.push(ending);
  else into.set(uid, [ending]);
}
