/** Preemption: which tasks stop so that others can start. A pure function of a snapshot. */
import { fits, releaseResources, reserveResources } from '../model/fit.js';
import { waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import { compareJobs } from './job-order.js';
import {
  compareCost,
  isEligible,
  isLower,
  isZoneOpen,
  mayPreempt,
  requirementsKey,
  roomKey,
} from './preemption-rules.js';
import { addUsage, fairShareOf, isWithinLimit, isWithinQuota, recordShortfall } from './quota.js';
import type { PreemptedTask, RunningTask, RunningTasks } from './running-tasks.js';
import { isLexicographicallyLess } from './sort-key.js';
import type { Candidate, JobEntry, Snapshot } from './types.js';
import { addTask, countTasksByZone } from './zones.js';

/**
 * Tasks that stop for jobs that were not placed, `maxTasks` at most: lower priorities make room for higher ones, and
 * what a team runs beyond its guarantee makes room for a team within its own. The resources of tasks that are
 * stopping already count as free. The snapshot is the one that was planned with, so that its candidates show what
 * is left.
 */
export function selectPreemptions(
  snapshot: Snapshot,
  unplaced: readonly JobEntry[],
  running: RunningTasks,
  maxTasks: number,
): PreemptedTask[] {
  return new PreemptionSelector(snapshot, running, maxTasks).select(unplaced);
}

/** The cheapest way to room for a task. */
interface Room {
  candidate: Candidate;
  toStop: RunningTask[];
  key: readonly number[];
}

class PreemptionSelector {
  private readonly running = new Map<string, readonly RunningTask[]>();
  private readonly preempted: PreemptedTask[] = [];

  constructor(
    private readonly snapshot: Snapshot,
    running: RunningTasks,
    private readonly maxTasks: number,
  ) {
    for (const candidate of snapshot.candidates) {
      const tasks = running.get(candidate.id) ?? [];
      for (const { job, isStopping } of tasks) {
        if (!isStopping) continue;
        releaseResources(job.spec, candidate.free);
        addUsage(snapshot, job.spec, -1);
      }
      this.running.set(
        candidate.id,
        tasks.filter(({ isStopping }) => !isStopping),
      );
    }
  }

  select(unplaced: readonly JobEntry[]): PreemptedTask[] {
    // Where there is no room for one task, there is none for another with the same requirements.
    const withoutRoom = new Set<string>();
    for (const entry of this.inOrder(unplaced)) {
      const { spec } = entry.job;
      if (spec.kind === 'gang' && spec.tasks > 1) continue;
      const requirements = requirementsKey(entry);
      if (withoutRoom.has(requirements)) continue;
      if (!this.makeRoomForJob(entry.job)) withoutRoom.add(requirements);
    }
    return this.preempted;
  }

  private inOrder(unplaced: readonly JobEntry[]): JobEntry[] {
    const { snapshot } = this;
    return unplaced
      .filter(({ job }) => waitingCount(job) > 0 && (job.notBefore ?? 0) <= snapshot.wallClockMs)
      .sort((a, b) => compareJobs(snapshot, a, b));
  }

  /** Makes room for all waiting tasks of a job; false if there is too little. */
  private makeRoomForJob(job: JobRecord): boolean {
    // Room in a zone that the job may not use is of no help: tasks would be stopped for it without end.
    const tasksByZone = countTasksByZone(this.snapshot, job, []);
    for (let waiting = waitingCount(job); waiting > 0; waiting--) {
      // Nor is room that the own domain's part of the limit keeps the job from using.
      const isWithinTeamLimit = isWithinLimit(this.snapshot, job.spec, 1);
      if (isWithinTeamLimit && !isWithinQuota(this.snapshot, job.spec, 1)) {
        recordShortfall(this.snapshot, job.spec, waiting);
        return true;
      }
      if (!this.makeRoomForTask(job, tasksByZone, isWithinTeamLimit)) return false;
    }
    return true;
  }

  private makeRoomForTask(
    job: JobRecord,
    tasksByZone: Map<string, number>,
    isWithinTeamLimit: boolean,
  ): boolean {
    // A team at its limit makes room for its own higher priorities first.
    const ownTasks = isWithinTeamLimit ? [] : this.stopOwnLowerPriorities(job);
    if (!ownTasks) return false;
    const mayStop = this.maxTasks - this.preempted.length - ownTasks.length;
    if (mayStop < 0) return false;
    const room = this.cheapestRoom(job, tasksByZone, mayStop);
    if (!room) return false;
    this.takeRoom(job, room);
    this.preempted.push(...ownTasks, ...room.toStop.map(({ task }) => task));
    addTask(tasksByZone, room.candidate.zone);
    addUsage(this.snapshot, job.spec, 1);
    return true;
  }

  /** Stops lower priorities of the job's own team until its limit allows one more task; null if that is not enough. */
  private stopOwnLowerPriorities(job: JobRecord): PreemptedTask[] | null {
    const { snapshot } = this;
    const lower = [...this.running.values()]
      .flat()
      .filter(({ job: other }) => other.spec.team === job.spec.team && isLower(other, job))
      .sort(compareCost);
    const toStop: RunningTask[] = [];
    for (const running of lower) {
      if (isWithinLimit(snapshot, job.spec, 1)) break;
      toStop.push(running);
      addUsage(snapshot, running.job.spec, -1);
    }
    if (!isWithinLimit(snapshot, job.spec, 1)) {
      for (const running of toStop) addUsage(snapshot, running.job.spec, 1);
      return null;
    }
    this.releaseStopped(toStop);
    return toStop.map(({ task }) => task);
  }

  private releaseStopped(toStop: readonly RunningTask[]): void {
    const candidates = new Map(this.snapshot.candidates.map((each) => [each.id, each]));
    for (const running of toStop) {
      const { machineId } = running.task;
      const candidate = candidates.get(machineId);
      if (candidate) releaseResources(running.job.spec, candidate.free);
      this.removeRunning(machineId, [running]);
    }
  }

  /** The candidate on which the fewest tasks stop for one task of the job; none stop if enough will be free. */
  private cheapestRoom(
    job: JobRecord,
    tasksByZone: ReadonlyMap<string, number>,
    mayStop: number,
  ): Room | null {
    const { snapshot } = this;
    const isGuaranteed =
      snapshot.enforcesGuarantees && fairShareOf(snapshot, job.spec.team, job.spec) <= 1;
    const avoidsGpuMachines = snapshot.fitsWithoutGpus(job.spec);
    let best: Room | null = null;
    for (const candidate of snapshot.candidates) {
      if (!isZoneOpen(job, candidate.zone, tasksByZone)) continue;
      if (!isEligible(job, candidate, avoidsGpuMachines)) continue;
      const toStop = this.tasksToStop(job, candidate, isGuaranteed);
      if (!toStop || toStop.length > mayStop) continue;
      const key = roomKey(job, candidate, toStop.length);
      if (!best || isLexicographicallyLess(key, best.key)) best = { candidate, toStop, key };
    }
    return best;
  }

  /** The tasks that stop on a candidate for one task of the job; null if that frees too little. */
  private tasksToStop(
    job: JobRecord,
    candidate: Candidate,
    isGuaranteed: boolean,
  ): RunningTask[] | null {
    if (fits(job.spec, candidate.free)) return [];
    const free = { ...candidate.free };
    const toStop: RunningTask[] = [];
    const preemptible = (this.running.get(candidate.id) ?? [])
      .filter(({ job: other }) => mayPreempt(this.snapshot, job, other, isGuaranteed))
      .sort(compareCost);
    for (const running of preemptible) {
      toStop.push(running);
      releaseResources(running.job.spec, free);
      if (fits(job.spec, free)) return toStop;
    }
    return null;
  }

  private takeRoom(job: JobRecord, { candidate, toStop }: Room): void {
    for (const running of toStop) releaseResources(running.job.spec, candidate.free);
    reserveResources(job.spec, candidate.free);
    this.removeRunning(candidate.id, toStop);
  }

  private removeRunning(machineId: string, stopped: readonly RunningTask[]): void {
    const running = this.running.get(machineId) ?? [];
    this.running.set(
      machineId,
      running.filter((each) => !stopped.includes(each)),
    );
  }
}
