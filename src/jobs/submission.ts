/** Whether a submitted job can ever run. */
import { fits, isAllowedOn } from '../model/fit.js';
import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';

/** Why the job can never run, or null. */
export function neverRuns(
  spec: JobSpec,
  machineTypes: ReadonlyMap<string, MachineType>,
  quotas: ReadonlyMap<string, TeamQuota>,
): string | null {
  const quota = quotas.get(spec.team);
  if (!quota) return 'unknown team';
  const fitsAnyType = [...machineTypes.values()].some((type) =>
    type.zones.some(
      (zone) =>
        isAllowedOn(spec, { machineType: type.name, zone, spot: false }) && fits(spec, type),
    ),
  );
  if (!fitsAnyType) return 'a task fits no allowed machine type';
  // An array can run with one task at a time; a gang or a service needs all of them at once.
  const tasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (
    spec.cpus * tasks > quota.cpuLimit + RESOURCE_EPSILON ||
    spec.gpus * tasks > quota.gpuLimit + RESOURCE_EPSILON
  )
    return "more than the team's limit";
  return null;
}
