/** Amounts of machine resources. */

/** CPUs and GPUs: what a team's quota limits. */
export interface ResourceAmount {
  cpus: number;
  gpus: number;
}

/** What a machine has, or what is left on it. */
export interface Resources extends ResourceAmount {
  memoryGb: number;
}

/** Nothing at all. */
export const NO_RESOURCES: Readonly<ResourceAmount> = { cpus: 0, gpus: 0 };

/** Sums of CPUs and GPUs that are added to and taken from may be off by this. */
export const RESOURCE_EPSILON = 1e-6;
