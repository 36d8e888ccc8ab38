/** Amounts of machine resources. */

/** CPUs and GPUs, the resources that a team's quota limits. */
export interface ResourceAmount {
  cpus: number;
  gpus: number;
}

/** Total or free resources of a machine. */
export interface Resources extends ResourceAmount {
  memoryGb: number;
}

/** What a task takes of a machine, or what is left there. An absent `heartbeatBytes` is not counted. */
export interface MachineRoom extends Resources {
  /** Bytes in the heartbeats of the machine's worker, which have a limited size. */
  heartbeatBytes?: number | undefined;
}

/** The zero amount. */
export const NO_RESOURCES: Readonly<ResourceAmount> = { cpus: 0, gpus: 0 };

/** Tolerance for rounding errors in resource amounts, which result from repeated addition and subtraction. */
export const RESOURCE_EPSILON = 1e-6;
