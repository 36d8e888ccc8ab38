/** Preemption: selects tasks to stop so that others can start. A pure function of a snapshot. */
import { fits, releaseResources, reserveResources } from '../model/fit.js';
import { allocationBytes } from '../model/allocations.js';
import { waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import { compareJobs } from './job-order.js';
import {
  comparePreemptionOrder,
  isEligible,
  hasLowerPriority,
  isZoneOpen,
  mayPreempt,
  requirementsKey,
  preemptionSortKey,
} from './preemption-rules.js';
import { maxSingleTasks } from './plan-budget.js';
import { addUsage, fairShareOf, isWithinLimit, isWithinQuota, recordShortfall } from './quota.js';
import type { PreemptedTask, RunningTask, RunningTasks } from './running-tasks.js';
import { isLexicographicallyLess } from './sort-key.js';
import { sizeOfTask } from './task-size.js';
import type { Candidate, JobEntry, Snapshot } from './types.js';
import { addTasks, countTasksByZone } from './zones.js';

/**
 * Selects at most `maxTasks` tasks to stop for jobs that were not placed. Higher priorities preempt lower ones, and a
 * team within its guarantee preempts tasks of teams that exceed theirs. The resources of tasks that are already
 * stopping count as free. `snapshot` must be the one used for planning, so that its candidates show what the placements
 * left free.
 */
export function selectPreemptions(
  snapshot: Snapshot,
  unplaced: readonly JobEntry[],
  running: RunningTasks,
  maxTasks: number,
): PreemptedTask[] {
  return new PreemptionSelector(snapshot, running, maxTasks).select(unplaced);
}

/** A candidate that can hold one more task once the listed tasks on it have stopped. */
interface PreemptionOption {
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
      for (const { job, size, isStopping } of tasks) {
        if (!isStopping) continue;
        releaseResources(size, candidate.free);
        addUsage(snapshot, job.spec, -1);
      }
      this.running.set(
        candidate.id,
        tasks.filter(({ isStopping }) => !isStopping),
      );
    }
  }

  select(unplaced: readonly JobEntry[]): PreemptedTask[] {
    // Requirements for which no room could be made; other jobs with the same requirements are skipped.
    const withoutRoom = new Set<string>();
    for (const entry of this.inOrder(unplaced)) {
      const { spec } = entry.job;
      if (spec.kind === 'gang' && spec.tasks > 1) continue;
      const requirements = requirementsKey(entry);
      if (withoutRoom.has(requirements)) continue;
      if (!this.makeRoomForJob(entry)) withoutRoom.add(requirements);
    }
    return this.preempted;
  }

  private inOrder(unplaced: readonly JobEntry[]): JobEntry[] {
    const { snapshot } = this;
    return unplaced
      .filter(({ job }) => waitingCount(job) > 0 && (job.notBefore ?? 0) <= snapshot.wallClockMs)
      .sort((a, b) => compareJobs(snapshot, a, b));
  }

  /** Makes room for the waiting tasks of a job; false if preemption cannot free enough. */
  private makeRoomForJob(entry: JobEntry): boolean {
    const { job } = entry;
    // Zones in which the job may run no further task are excluded: stopping tasks there would not let it start, and
    // would be repeated without end.
    const tasksByZone = countTasksByZone(this.snapshot, job);
    const waitingAtFirst = waitingCount(job);
    const waitingAtLast = Math.max(0, waitingAtFirst - this.maxTasksFor(job));
    for (let waiting = waitingAtFirst; waiting > waitingAtLast; waiting--) {
      // Nothing is stopped either if this domain's part of the team's limit would still keep the task from starting.
      const isWithinTeamLimit = isWithinLimit(this.snapshot, job.spec, 1);
      if (isWithinTeamLimit && !isWithinQuota(this.snapshot, job.spec, 1)) {
        recordShortfall(this.snapshot, job.spec, waiting);
        return true;
      }
      if (!this.makeRoomForTask(entry, tasksByZone, isWithinTeamLimit)) return false;
    }
    return true;
  }

  /** For how many tasks of a job room may be made; each of them examines all candidates. */
  private maxTasksFor({ spec, lastAttempt }: JobRecord): number {
    const { maxAllocationBytes = Infinity, candidates } = this.snapshot;
    const bytes = allocationBytes(spec.tasks - 1, lastAttempt + 1);
    return maxSingleTasks(maxAllocationBytes, bytes, candidates.length);
  }

  private makeRoomForTask(
    entry: JobEntry,
    tasksByZone: Map<string, number>,
    isWithinTeamLimit: boolean,
  ): boolean {
    const { job } = entry;
    // If the team is at its limit, its own tasks of lower priorities are stopped first.
    const ownTasks = isWithinTeamLimit ? [] : this.stopOwnLowerPriorities(job);
    if (!ownTasks) return false;
    const maxToStop = this.maxTasks - this.preempted.length - ownTasks.length;
    if (maxToStop < 0) return false;
    const option = this.cheapestOption(entry, tasksByZone, maxToStop);
    if (!option) return false;
    this.applyOption(entry, option);
    this.preempted.push(...ownTasks, ...option.toStop.map(({ task }) => task));
    addTasks(tasksByZone, option.candidate.zone);
    addUsage(this.snapshot, job.spec, 1);
    return true;
  }

  /** Stops lower-priority tasks of the job's team until its limit allows one more task; null if that is not enough. */
  private stopOwnLowerPriorities(job: JobRecord): PreemptedTask[] | null {
    const { snapshot } = this;
    const lower = [...this.running.values()]
      .flat()
      .filter(({ job: other }) => other.spec.team === job.spec.team && hasLowerPriority(other, job))
      .sort(comparePreemptionOrder);
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
      if (candidate) releaseResources(running.size, candidate.free);
      this.removeRunning(machineId, [running]);
    }
  }

  /**
   * The best candidate by `preemptionSortKey` for one task of the job. No task is stopped if enough will be free
   * anyway.
   */
  private cheapestOption(
    entry: JobEntry,
    tasksByZone: ReadonlyMap<string, number>,
    maxToStop: number,
  ): PreemptionOption | null {
    const { snapshot } = this;
    const { job } = entry;
    const isGuaranteed =
      snapshot.enforcesGuarantees && fairShareOf(snapshot, job.spec.team, job.spec) <= 1;
    const avoidsGpuMachines = snapshot.fitsWithoutGpus(job.spec);
    let best: PreemptionOption | null = null;
    for (const candidate of snapshot.candidates) {
      if (!isZoneOpen(job, candidate.zone, tasksByZone)) continue;
      if (!isEligible(job, candidate, avoidsGpuMachines)) continue;
      const toStop = this.tasksToStop(entry, candidate, isGuaranteed);
      if (!toStop || toStop.length > maxToStop) continue;
      const key = preemptionSortKey(job, candidate, toStop.length);
      if (!best || isLexicographicallyLess(key, best.key)) best = { candidate, toStop, key };
    }
    return best;
  }

  /**
   * The tasks to stop on a candidate for one task of the job; null if stopping all that it may preempt is not enough.
   */
  private tasksToStop(
    { jobId, job }: JobEntry,
    candidate: Candidate,
    isGuaranteed: boolean,
  ): RunningTask[] | null {
    const size = sizeOfTask(jobId, job.spec);
    if (fits(size, candidate.free)) return [];
    const free = { ...candidate.free };
    const toStop: RunningTask[] = [];
    const preemptible = (this.running.get(candidate.id) ?? [])
      .filter(({ job: other }) => mayPreempt(this.snapshot, job, other, isGuaranteed))
      .sort(comparePreemptionOrder);
    for (const running of preemptible) {
      toStop.push(running);
      releaseResources(running.size, free);
      if (fits(size, free)) return toStop;
    }
    return null;
  }

  private applyOption({ jobId, job }: JobEntry, { candidate, toStop }: PreemptionOption): void {
    for (const running of toStop) releaseResources(running.size, candidate.free);
    reserveResources(sizeOfTask(jobId, job.spec), candidate.free);
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
