/** Preemption: which tasks stop so that others can start. Pure functions of a snapshot. */
import {
  fits,
  isAllowedOn,
  releaseResources,
  reserveResources,
  suitsGpuUse,
} from '../model/fit.js';
import { allocationsOn, shouldRun, waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import { NO_RESOURCES } from '../model/resources.js';
import { compareJobs } from './job-order.js';
import { priorityIndex } from './priority.js';
import { addUsage, fairShareOf, isWithinLimit, isWithinQuota, recordShortfall } from './quota.js';
import { isLexicographicallyLess } from './sort-key.js';
import type { Candidate, JobEntry, Snapshot } from './types.js';
import { addTask, countTasksByZone, maxTasksPerZone } from './zones.js';

/** A task that is to stop. */
export interface PreemptedTask {
  jobId: string;
  task: number;
  machineId: string;
}

/** A task on a machine that can be stopped there, or is stopping. */
interface RunningTask {
  task: PreemptedTask;
  job: JobRecord;
  /** Told to stop already, so that its resources will be free. */
  isStopping: boolean;
}

/** Machine to the tasks on it that could stop or are stopping. */
export type RunningTasks = ReadonlyMap<string, readonly RunningTask[]>;

/** The tasks on the candidates that could stop or are stopping. */
export function runningTasksOn(
  candidates: readonly Candidate[],
  jobsOn: (machineId: string) => Iterable<string>,
  jobOf: (jobId: string) => JobRecord | undefined,
): RunningTasks {
  const running = new Map<string, RunningTask[]>();
  for (const { id: machineId } of candidates) {
    const tasks: RunningTask[] = [];
    for (const jobId of jobsOn(machineId)) {
      const job = jobOf(jobId);
      if (job) addRunningTasks(tasks, machineId, jobId, job);
    }
    running.set(machineId, tasks);
  }
  return running;
}

function addRunningTasks(
  tasks: RunningTask[],
  machineId: string,
  jobId: string,
  job: JobRecord,
): void {
  const isGang = job.spec.kind === 'gang' && job.spec.tasks > 1;
  for (const { task } of allocationsOn(job, machineId)) {
    const isStopping = !shouldRun(job, task);
    // A gang would have to stop on all its machines, so its tasks are not preempted.
    if (isStopping || !isGang) tasks.push({ task: { jobId, task, machineId }, job, isStopping });
  }
}

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
    const free = { ...candidate.free };
    const toStop: RunningTask[] = [];
    const preemptible = (this.running.get(candidate.id) ?? [])
      .filter(({ job: other }) => mayPreempt(this.snapshot, job, other, isGuaranteed))
      .sort(compareCost);
    for (const running of preemptible) {
      if (fits(job.spec, free)) break;
      toStop.push(running);
      releaseResources(running.job.spec, free);
    }
    return fits(job.spec, free) ? toStop : null;
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

/** Equal for jobs that could run in the same places. */
function requirementsKey({ jobId, job: { spec, avoidedMachines } }: JobEntry): string {
  // Where tasks of such a job may go depends on where its others are, or have failed.
  const dependsOnOwnTasks = spec.spreadAcrossZones || spec.singleZone || avoidedMachines;
  return JSON.stringify([
    spec.team,
    spec.priority,
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.machineTypes,
    spec.zone,
    spec.spot,
    dependsOnOwnTasks ? jobId : '',
  ]);
}

function isZoneOpen(
  { spec }: JobRecord,
  zone: string,
  tasksByZone: ReadonlyMap<string, number>,
): boolean {
  if ((tasksByZone.get(zone) ?? 0) >= maxTasksPerZone(spec)) return false;
  return !spec.singleZone || tasksByZone.size === 0 || tasksByZone.has(zone);
}

function isEligible(
  { spec, avoidedMachines }: JobRecord,
  candidate: Candidate,
  avoidsGpuMachines: boolean,
): boolean {
  return (
    isAllowedOn(spec, candidate) &&
    !avoidedMachines?.includes(candidate.id) &&
    fits(spec, candidate.capacity) &&
    (!avoidsGpuMachines || suitsGpuUse(spec, candidate.capacity))
  );
}

/** For a service it is better to stop more tasks than to wait for its image. */
function roomKey({ spec }: JobRecord, candidate: Candidate, stopped: number): number[] {
  const imagePulls = candidate.images.has(spec.image) ? 0 : 1;
  return spec.kind === 'service' ? [imagePulls, stopped] : [stopped, imagePulls];
}

/** The lowest priority stops first, then the job that was accepted last. */
function compareCost(a: RunningTask, b: RunningTask): number {
  return (
    priorityIndex(b.job.spec.priority) - priorityIndex(a.job.spec.priority) ||
    b.job.acceptedAt - a.job.acceptedAt
  );
}

function isLower(other: JobRecord, job: JobRecord): boolean {
  return priorityIndex(other.spec.priority) > priorityIndex(job.spec.priority);
}

/** Whether tasks of `other` may stop for `job`, which is within its team's guarantee if `isGuaranteed`. */
function mayPreempt(
  snapshot: Snapshot,
  job: JobRecord,
  other: JobRecord,
  isGuaranteed: boolean,
): boolean {
  if (isLower(other, job)) return true;
  const { team, kind, cpus, gpus } = other.spec;
  if (!isGuaranteed || team === job.spec.team || kind === 'service') return false;
  const quota = snapshot.teams.get(team);
  if (!quota) return false;
  // The other team must remain beyond its guarantee even without this task.
  const used = snapshot.usageByTeam.get(team) ?? NO_RESOURCES;
  return used.cpus - cpus >= quota.guaranteedCpus || used.gpus - gpus > quota.guaranteedGpus;
}
