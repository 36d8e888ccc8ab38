/** Preemption rules: which tasks may be stopped for a job, in what order and on which machines. Pure functions. */
import { fits, isAllowedOn, suitsGpuUse } from '../model/fit.js';
import type { JobRecord } from '../model/job.js';
import { NO_RESOURCES } from '../model/resources.js';
import { priorityIndex } from './priority.js';
import type { RunningTask } from './running-tasks.js';
import type { Candidate, JobEntry, Snapshot } from './types.js';
import { maxTasksPerZone } from './zones.js';

/** A key that is the same for jobs of one team and priority that can run on the same machines. */
export function requirementsKey({ jobId, job: { spec, avoidedMachines } }: JobEntry): string {
  // Where such a job may run depends on where its other tasks are or have failed, so it shares its key with no other
  // job.
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

/** Whether one more task of the job may run in the zone. */
export function isZoneOpen(
  { spec }: JobRecord,
  zone: string,
  tasksByZone: ReadonlyMap<string, number>,
): boolean {
  if ((tasksByZone.get(zone) ?? 0) >= maxTasksPerZone(spec)) return false;
  return !spec.singleZone || tasksByZone.size === 0 || tasksByZone.has(zone);
}

/** Whether the candidate could hold a task of the job if all other tasks on it were stopped. */
export function isEligible(
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

/**
 * Sort key of candidates, the lowest first: few stopped tasks, then a cached image. For a service the cached image
 * counts more, since stopping more tasks is better than waiting for an image pull.
 */
export function preemptionSortKey(
  { spec }: JobRecord,
  candidate: Candidate,
  tasksToStop: number,
): number[] {
  const imagePulls = candidate.images.has(spec.image) ? 0 : 1;
  return spec.kind === 'service' ? [imagePulls, tasksToStop] : [tasksToStop, imagePulls];
}

/** Order in which tasks are stopped: the lowest priority first, within a priority the job that was accepted last. */
export function comparePreemptionOrder(a: RunningTask, b: RunningTask): number {
  return (
    priorityIndex(b.job.spec.priority) - priorityIndex(a.job.spec.priority) ||
    b.job.acceptedAt - a.job.acceptedAt
  );
}

/** Whether `other` has a lower priority than `job`. */
export function hasLowerPriority(other: JobRecord, job: JobRecord): boolean {
  return priorityIndex(other.spec.priority) > priorityIndex(job.spec.priority);
}

/** Whether tasks of `other` may be stopped for `job`; `isGuaranteed` if `job` is within its team's guarantee. */
export function mayPreempt(
  snapshot: Snapshot,
  job: JobRecord,
  other: JobRecord,
  isGuaranteed: boolean,
): boolean {
  if (hasLowerPriority(other, job)) return true;
  const { team, kind, cpus, gpus } = other.spec;
  if (!isGuaranteed || team === job.spec.team || kind === 'service') return false;
  const quota = snapshot.teams.get(team);
  if (!quota) return false;
  // Without this task the other team must still use its whole guarantee of CPUs, or more than its guarantee of GPUs.
  const used = snapshot.usageByTeam.get(team) ?? NO_RESOURCES;
  return used.cpus - cpus >= quota.guaranteedCpus || used.gpus - gpus > quota.guaranteedGpus;
}
