/** Which tasks may stop for which jobs, in what order, and where: pure functions of a snapshot. */
import { fits, isAllowedOn, suitsGpuUse } from '../model/fit.js';
import type { JobRecord } from '../model/job.js';
import { NO_RESOURCES } from '../model/resources.js';
import { priorityIndex } from './priority.js';
import type { RunningTask } from './running-tasks.js';
import type { Candidate, JobEntry, Snapshot } from './types.js';
import { maxTasksPerZone } from './zones.js';

/** A key that is equal for jobs that could run on the same machines for the same team. */
export function requirementsKey({ jobId, job: { spec, avoidedMachines } }: JobEntry): string {
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

/** Whether the zone may hold one more task of the job. */
export function isZoneOpen(
  { spec }: JobRecord,
  zone: string,
  tasksByZone: ReadonlyMap<string, number>,
): boolean {
  if ((tasksByZone.get(zone) ?? 0) >= maxTasksPerZone(spec)) return false;
  return !spec.singleZone || tasksByZone.size === 0 || tasksByZone.has(zone);
}

/** Whether the candidate could hold a task of the job if all else on it stopped. */
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

/** Sort key of candidates, the lowest first: for a service it is better to stop more tasks than to wait for its image. */
export function roomKey({ spec }: JobRecord, candidate: Candidate, stopped: number): number[] {
  const imagePulls = candidate.images.has(spec.image) ? 0 : 1;
  return spec.kind === 'service' ? [imagePulls, stopped] : [stopped, imagePulls];
}

/** The lowest priority stops first, then the job that was accepted last. */
export function compareCost(a: RunningTask, b: RunningTask): number {
  return (
    priorityIndex(b.job.spec.priority) - priorityIndex(a.job.spec.priority) ||
    b.job.acceptedAt - a.job.acceptedAt
  );
}

/** Whether `other` has a lower priority than `job`. */
export function isLower(other: JobRecord, job: JobRecord): boolean {
  return priorityIndex(other.spec.priority) > priorityIndex(job.spec.priority);
}

/** Whether tasks of `other` may stop for `job`, which is within its team's guarantee if `isGuaranteed`. */
export function mayPreempt(
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
