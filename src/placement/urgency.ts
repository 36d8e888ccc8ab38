/** Which waiting jobs can still meet their aims: pure functions of a snapshot. */
import { allocatedCount, waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';

export interface Deadlines {
  wall: number;
  /** Waiting this long without having begun, a job goes first in its rank. */
  agedMs: number;
  /** The multiples of a deadline that the operators have aims for, smallest first. */
  deadlineMultiples: number[];
  /** CPUs that work with deadlines can count on; 0 when that is not known. */
  speed: number;
}

interface Entry {
  uid: string;
  job: JobRecord;
  /** CPU time that it still takes, by its owner's estimate. */
  work: number;
}

/** Before all others of its rank: it has waited so long without beginning that it might be forgotten. */
export const AGED = -1;

/**
 * Job -> class, the smaller the more urgent. Class 0 can be done by its deadline, class 1 by the next
 * multiple of it that counts, and so on; the last cannot be in time any more. When there is more to do
 * than can be done in time, what would make others late is put off, the largest first: that leaves the
 * most jobs in time (Moore and Hodgson's rule).
 */
export function deadlineClasses(
  jobs: Iterable<{ uid: string; job: JobRecord }>,
  figures: Deadlines,
): Map<string, number> {
  const { wall, agedMs, deadlineMultiples: times, speed } = figures;
  const classes = new Map<string, number>();
  let open: Entry[] = [];
  for (const { uid, job } of jobs) {
    if (job.lastAttempt === 0 && wall - job.acceptedAt > agedMs) classes.set(uid, AGED);
    else if (job.spec.deadlineSeconds === null) classes.set(uid, 0);
    else {
      const tasks = waitingCount(job) + allocatedCount(job) / 2;
      open.push({ uid, job, work: tasks * job.spec.cpus * job.spec.expectedSeconds * 1000 });
    }
  }
  let before = 0;
  for (const [at, multiple] of times.entries()) {
    const due = ({ job }: Entry): number =>
      job.acceptedAt + (job.spec.deadlineSeconds ?? 0) * 1000 * multiple;
    const able = open
      .filter((entry) => wall + entry.job.spec.expectedSeconds * 1000 <= due(entry))
      .sort((a, b) => due(a) - due(b));
    const kept = new Set<Entry>();
    let sum = before;
    for (const entry of able) {
      kept.add(entry);
      sum += entry.work;
      while (speed > 0 && kept.size > 1 && wall + sum / speed > due(entry)) {
        const largest = [...kept].reduce((a, b) => (b.work > a.work ? b : a));
        kept.delete(largest);
        sum -= largest.work;
        if (largest === entry) break;
      }
    }
    before = sum;
    for (const { uid } of kept) classes.set(uid, at);
    open = open.filter((entry) => !kept.has(entry));
  }
  for (const { uid } of open) classes.set(uid, times.length);
  return classes;
}
