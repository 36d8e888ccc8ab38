/** Whether a task fits on a machine, and the resources that it takes there: arithmetic only, no placement policy. */
import type { JobSpec } from './job.js';
import type { RentalOffer } from './machine.js';
import { RESOURCE_EPSILON, type MachineRoom, type Resources } from './resources.js';

/** Whether one task of this size fits into the free room. A job's specification can stand for the size of its tasks. */
export function fits(size: MachineRoom, free: MachineRoom): boolean {
  return (
    size.cpus <= free.cpus + RESOURCE_EPSILON &&
    size.gpus <= free.gpus + RESOURCE_EPSILON &&
    size.memoryGb <= free.memoryGb + RESOURCE_EPSILON &&
    (size.heartbeatBytes ?? 0) <= (free.heartbeatBytes ?? Infinity)
  );
}

/** Whether the job's constraints allow a machine of this type, zone and price model. */
export function isAllowedOn(spec: JobSpec, offer: RentalOffer): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(offer.machineType)) &&
    (spec.zone === null || spec.zone === offer.zone) &&
    (spec.spot || !offer.spot)
  );
}

/** How many tasks of this size fit into the free room, at most `max`. */
export function fittingTasks(size: MachineRoom, free: MachineRoom, max: number): number {
  return Math.max(
    0,
    Math.min(
      max,
      quotient(free.cpus + RESOURCE_EPSILON, size.cpus),
      quotient(free.gpus + RESOURCE_EPSILON, size.gpus),
      quotient(free.memoryGb + RESOURCE_EPSILON, size.memoryGb),
      quotient(free.heartbeatBytes ?? Infinity, size.heartbeatBytes ?? 0),
    ),
  );
}

function quotient(amount: number, perTask: number): number {
  return perTask > 0 ? Math.floor(amount / perTask) : Infinity;
}

/** Subtracts the size of `tasks` tasks from `free`. */
export function reserveResources(size: MachineRoom, free: MachineRoom, tasks = 1): void {
  free.cpus -= size.cpus * tasks;
  free.gpus -= size.gpus * tasks;
  free.memoryGb -= size.memoryGb * tasks;
  if (free.heartbeatBytes !== undefined) free.heartbeatBytes -= (size.heartbeatBytes ?? 0) * tasks;
}

/** Adds the size of one task back to `free`. */
export function releaseResources(size: MachineRoom, free: MachineRoom): void {
  free.cpus += size.cpus;
  free.gpus += size.gpus;
  free.memoryGb += size.memoryGb;
  if (free.heartbeatBytes !== undefined) free.heartbeatBytes += size.heartbeatBytes ?? 0;
}

/**
 * Whether the task uses GPUs or the machine has none. Any other task on a GPU machine may keep a whole gang waiting.
 */
export function suitsGpuUse(spec: JobSpec, capacity: Resources): boolean {
  return spec.gpus > 0 || capacity.gpus === 0;
}
