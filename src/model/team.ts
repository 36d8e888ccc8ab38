/** What a team may use. */

/** A team's guaranteed quota and its limit; between the two it borrows what others leave unused. */
export interface TeamQuota {
  guaranteedCpus: number;
  guaranteedGpus: number;
  cpuLimit: number;
  gpuLimit: number;
}
