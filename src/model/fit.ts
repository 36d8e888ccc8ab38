/** Whether a task fits on a machine, and the resources that it takes there: arithmetic only, no placement policy. */
import type { JobSpec } from './job.js';
import type { RentalOffer } from './machine.js';
import { RESOURCE_EPSILON, type Resources } from './resources.js';

/** Whether one task of the job fits into these resources. */
export function fits(spec: JobSpec, free: Resources): boolean {
  return (
    spec.cpus <= free.cpus + RESOURCE_EPSILON &&
    spec.gpus <= free.gpus + RESOURCE_EPSILON &&
    spec.memoryGb <= free.memoryGb + RESOURCE_EPSILON
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

/** Subtracts the resources of `tasks` tasks from `free`. */
export function reserveResources(spec: JobSpec, free: Resources, tasks = 1): void {
  free.cpus -= spec.cpus * tasks;
  free.gpus -= spec.gpus * tasks;
  free.memoryGb -= spec.memoryGb * tasks;
}

/** Adds the resources of one task back to `free`. */
export function releaseResources(spec: JobSpec, free: Resources): void {
  free.cpus += spec.cpus;
  free.gpus += spec.gpus;
  free.memoryGb += spec.memoryGb;
}

/**
 * Whether the task uses GPUs or the machine has none. Any other task on a GPU machine may keep a whole gang waiting.
 */
export function suitsGpuUse(spec: JobSpec, capacity: Resources): boolean {
  return spec.gpus > 0 || capacity.gpus === 0;
}
