/** Determines which machines a waiting job could start on under the placement rules of the protocol. */
import type { JobSpec } from '../../src/model/job.js';
import type { Resources } from '../../src/model/resources.js';

/** Properties of a machine that a job's placement rules refer to. */
export interface MachineTraits {
  machineType: string;
  zone: string;
  spot: boolean;
}

/** A running machine with its free resources. */
export interface AvailableMachine {
  machineId: string;
  traits: MachineTraits;
  free: Resources;
}

/** Tolerance for rounding errors of sums and quotients; far smaller than the resources of any task. */
const EPSILON = 1e-9;

/** Whether a task of the job may start on a machine while the other tasks of the job run in `otherZones`. */
export function mayStartOn(
  spec: JobSpec,
  traits: MachineTraits,
  otherZones: readonly string[],
): boolean {
  const inSameZone = otherZones.filter((zone) => zone === traits.zone).length;
  return (
    (!spec.machineTypes || spec.machineTypes.includes(traits.machineType)) &&
    (spec.zone === null || spec.zone === traits.zone) &&
    (spec.spot || !traits.spot) &&
    (!spec.singleZone || inSameZone === otherZones.length) &&
    (!spec.spreadAcrossZones || inSameZone + 1 <= Math.ceil(spec.tasks / 2))
  );
}

/** The number of tasks of the job that fit into free resources. */
function fittingTasks(spec: JobSpec, free: Resources): number {
  const shares = [
    spec.cpus > 0 ? free.cpus / spec.cpus : Infinity,
    spec.gpus > 0 ? free.gpus / spec.gpus : Infinity,
    spec.memoryGb > 0 ? free.memoryGb / spec.memoryGb : Infinity,
  ];
  return Math.floor(Math.min(...shares) + EPSILON);
}

/**
 * Machines with free resources for one more task of the job, whose running tasks are in `otherZones`. A gang starts only
 * when all its tasks fit; the result is then the single entry `all`, and empty otherwise.
 */
export function machinesWithRoom(
  spec: JobSpec,
  machines: readonly AvailableMachine[],
  otherZones: readonly string[],
): string[] {
  const fitting: string[] = [];
  const tasksByZone = new Map<string, number>();
  for (const { machineId, traits, free } of machines) {
    if (!mayStartOn(spec, traits, otherZones)) continue;
    const count = fittingTasks(spec, free);
    if (count > 0) fitting.push(machineId);
    tasksByZone.set(traits.zone, (tasksByZone.get(traits.zone) ?? 0) + count);
  }
  if (spec.kind !== 'gang') return fitting;
  return gangFits(spec, [...tasksByZone.values()]) ? ['all'] : [];
}

/** Whether all tasks of a gang fit, given the number of tasks that fit into each zone. */
function gangFits(spec: JobSpec, zoneCapacities: readonly number[]): boolean {
  const usable = zoneCapacities.map((count) =>
    spec.spreadAcrossZones ? Math.min(count, Math.ceil(spec.tasks / 2)) : count,
  );
  const capacity = spec.singleZone
    ? Math.max(0, ...usable)
    : usable.reduce((sum, count) => sum + count, 0);
  return capacity >= spec.tasks;
}
