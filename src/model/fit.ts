/** Whether a task fits a machine, and how much of the machine it takes: resource arithmetic without any policy. */
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

/** Takes the resources of so many tasks. */
export function reserveResources(spec: JobSpec, free: Resources, tasks = 1): void {
  free.cpus -= spec.cpus * tasks;
  free.gpus -= spec.gpus * tasks;
  free.memoryGb -= spec.memoryGb * tasks;
}

/** Gives back the resources of one task. */
export function releaseResources(spec: JobSpec, free: Resources): void {
  free.cpus += spec.cpus;
  free.gpus += spec.gpus;
  free.memoryGb += spec.memoryGb;
}

/** GPU machines are for tasks that use GPUs: any other task there may keep a whole gang waiting. */
export function suitsGpuUse(spec: JobSpec, capacity: Resources): boolean {
  return spec.gpus > 0 || capacity.gpus === 0;
}
