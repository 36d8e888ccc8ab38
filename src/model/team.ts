/** Team quotas. */

/**
 * A team's guaranteed quota and its limit. Beyond the guarantee, up to the limit, it uses what other teams leave
 * unused.
 */
export interface TeamQuota {
  guaranteedCpus: number;
  guaranteedGpus: number;
  cpuLimit: number;
  gpuLimit: number;
}
