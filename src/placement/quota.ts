/** Quota and fair-share accounting on a snapshot. */
import type { QuotaShortfall } from '../domain/quota-sharing.js';
import { fittingTasks } from '../model/fit.js';
import type { JobSpec } from '../model/job.js';
import { NO_RESOURCES, RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import type { Snapshot } from './types.js';

/**
 * The fraction of its guaranteed quota that a team would use with one more such task; above 1 it uses quota that other
 * teams leave unused. The larger of the CPU and GPU fractions counts (dominant resource fairness).
 */
export function fairShareOf(snapshot: Snapshot, team: string, spec: JobSpec): number {
  const quota = snapshot.teams.get(team);
  if (!quota) return Infinity;
  const used = snapshot.usageByTeam.get(team) ?? NO_RESOURCES;
  return Math.max(
    shareOf(used.cpus + spec.cpus, quota.guaranteedCpus),
    spec.gpus > 0 ? shareOf(used.gpus + spec.gpus, quota.guaranteedGpus) : 0,
  );
}

function shareOf(amount: number, guaranteed: number): number {
  if (amount <= RESOURCE_EPSILON) return 0;
  return guaranteed > 0 ? amount / guaranteed : Infinity;
}

/** Whether the team's limit allows `tasks` more tasks in addition to what is reserved for its higher priorities. */
export function isWithinLimit(snapshot: Snapshot, spec: JobSpec, tasks: number): boolean {
  const quota = snapshot.teams.get(spec.team);
  if (!quota) return false;
  const used = snapshot.usageByTeam.get(spec.team) ?? NO_RESOURCES;
  const reserved = snapshot.reservedQuota?.get(spec.team) ?? NO_RESOURCES;
  return (
    used.cpus + reserved.cpus + spec.cpus * tasks <= quota.cpuLimit + RESOURCE_EPSILON &&
    used.gpus + reserved.gpus + spec.gpus * tasks <= quota.gpuLimit + RESOURCE_EPSILON
  );
}

/** Whether this domain's part of the team's limit allows `tasks` more tasks. */
export function isWithinQuota(snapshot: Snapshot, spec: JobSpec, tasks: number): boolean {
  if (!snapshot.remainingQuota) return true;
  const remaining = snapshot.remainingQuota.get(spec.team);
  return (
    remaining !== undefined &&
    spec.cpus * tasks <= remaining.cpus + RESOURCE_EPSILON &&
    spec.gpus * tasks <= remaining.gpus + RESOURCE_EPSILON
  );
}

/** Records that only this domain's part of the team's limit kept `tasks` tasks from being placed. */
export function recordShortfall(snapshot: Snapshot, spec: JobSpec, tasks: number): void {
  const shortfalls = (snapshot.shortfalls ??= new Map<string, QuotaShortfall>());
  const recorded = shortfalls.get(spec.team);
  if (!recorded) {
    shortfalls.set(spec.team, newShortfall(spec, tasks));
    return;
  }
  const total = {
    cpus: recorded.total.cpus + spec.cpus * tasks,
    gpus: recorded.total.gpus + spec.gpus * tasks,
  };
  // The first gang or service of a snapshot sets the indivisible amount; later ones do not change it, so that the need
  // of the first counts until it is met.
  const isFirst = spec.kind !== 'array' && recorded.indivisible.cpus === 0;
  const indivisible = isFirst ? indivisibleAmount(spec, tasks) : recorded.indivisible;
  // Domains' parts of a limit may be fractional: what is left of each may be too small for a task although the team is
  // under its limit. The smallest task is the least amount that is of use.
  const smallestTask =
    recorded.smallestTask.cpus <= spec.cpus
      ? recorded.smallestTask
      : { cpus: spec.cpus, gpus: spec.gpus };
  shortfalls.set(spec.team, { total, indivisible, smallestTask });
}

function newShortfall(spec: JobSpec, tasks: number): QuotaShortfall {
  return {
    total: { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks },
    indivisible: indivisibleAmount(spec, tasks),
    smallestTask: { cpus: spec.cpus, gpus: spec.gpus },
  };
}

/**
 * The amount that the tasks need at once: nothing for an array, which can start with any number of its tasks; all tasks
 * of a gang; one replica of a service, since a replica should not wait.
 */
function indivisibleAmount(spec: JobSpec, tasks: number): ResourceAmount {
  if (spec.kind === 'array') return { cpus: 0, gpus: 0 };
  const tasksAtOnce = spec.kind === 'gang' ? tasks : 1;
  return { cpus: spec.cpus * tasksAtOnce, gpus: spec.gpus * tasksAtOnce };
}

/** How many more tasks both the team's limit and this domain's part of it allow. */
export function tasksWithinQuota(snapshot: Snapshot, spec: JobSpec): number {
  const quota = snapshot.teams.get(spec.team);
  if (!quota) return 0;
  const used = snapshot.usageByTeam.get(spec.team) ?? NO_RESOURCES;
  const reserved = snapshot.reservedQuota?.get(spec.team) ?? NO_RESOURCES;
  const left = {
    cpus: quota.cpuLimit - used.cpus - reserved.cpus,
    gpus: quota.gpuLimit - used.gpus - reserved.gpus,
    memoryGb: Infinity,
  };
  if (snapshot.remainingQuota) {
    const remaining = snapshot.remainingQuota.get(spec.team) ?? NO_RESOURCES;
    left.cpus = Math.min(left.cpus, remaining.cpus);
    left.gpus = Math.min(left.gpus, remaining.gpus);
  }
  return fittingTasks({ cpus: spec.cpus, gpus: spec.gpus, memoryGb: 0 }, left, Infinity);
}

/** Adds the usage of `tasks` placed tasks; a negative number removes that of preempted tasks. */
export function addUsage(snapshot: Snapshot, spec: JobSpec, tasks: number): void {
  const used = snapshot.usageByTeam.get(spec.team) ?? NO_RESOURCES;
  snapshot.usageByTeam.set(spec.team, {
    cpus: used.cpus + spec.cpus * tasks,
    gpus: used.gpus + spec.gpus * tasks,
  });
  const remaining = snapshot.remainingQuota?.get(spec.team);
  if (!remaining) return;
  remaining.cpus -= spec.cpus * tasks;
  remaining.gpus -= spec.gpus * tasks;
}

/**
 * Reserves part of the team's limit for tasks that could not be placed, so that lower priorities do not use it. Does so
 * only if the tasks would fit into the limit without the team's lower priorities, which use `usageBelow`.
 */
export function reserveQuota(
  snapshot: Snapshot,
  spec: JobSpec,
  tasks: number,
  usageBelow: ResourceAmount,
): void {
  const quota = snapshot.teams.get(spec.team);
  if (!quota) return;
  const used = snapshot.usageByTeam.get(spec.team) ?? NO_RESOURCES;
  const cpus = spec.cpus * tasks;
  const gpus = spec.gpus * tasks;
  if (used.cpus - usageBelow.cpus + cpus > quota.cpuLimit + RESOURCE_EPSILON) return;
  if (used.gpus - usageBelow.gpus + gpus > quota.gpuLimit + RESOURCE_EPSILON) return;
  const reservedQuota = (snapshot.reservedQuota ??= new Map<string, ResourceAmount>());
  const reserved = reservedQuota.get(spec.team) ?? NO_RESOURCES;
  reservedQuota.set(spec.team, { cpus: reserved.cpus + cpus, gpus: reserved.gpus + gpus });
}
