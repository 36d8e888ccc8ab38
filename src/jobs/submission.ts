/** Validates submissions, including whether the job can ever run. */
import { fits, isAllowedOn } from '../model/fit.js';
import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import { encodeJobSpec } from '../protocol/job-spec.js';
import { decodeSubmission } from '../protocol/users.js';
import type { Body } from '../wire/codec.js';
import type { JobRejection } from './results.js';

/** Fraction of a stored value's size limit that a job's specification may use: the record also holds the progress. */
const MAX_SPEC_SHARE = 0.4;

/** The job specification of a submission, or why it is rejected. */
export type SubmissionValidation =
  { kind: 'acceptable'; spec: JobSpec } | { kind: 'rejected'; rejection: JobRejection };

/** Validates a submission, regardless of whether its job id exists already. `maxValueBytes` limits stored values. */
export function validateSubmission(
  body: Body,
  maxValueBytes: number,
  machineTypes: ReadonlyMap<string, MachineType>,
  quotas: ReadonlyMap<string, TeamQuota>,
): SubmissionValidation {
  const submission = decodeSubmission(body);
  if ('fault' in submission) return rejection('malformed', submission.fault);
  const { spec } = submission;
  if (JSON.stringify(encodeJobSpec(spec)).length > maxValueBytes * MAX_SPEC_SHARE)
    return rejection('malformed', 'fields too long');
  // The machine types have not been read from the cloud yet.
  if (machineTypes.size === 0) return rejection('undecidable', 'machine types not known yet');
  const reason = neverRunnableReason(spec, machineTypes, quotas);
  return reason === null ? { kind: 'acceptable', spec } : rejection('neverRunnable', reason);
}

function rejection(kind: JobRejection['kind'], reason: string): SubmissionValidation {
  return { kind: 'rejected', rejection: { kind, reason } };
}

/** The reason why the job can never run; null if it can. */
export function neverRunnableReason(
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
  // An array can run one task at a time; a gang or a service needs all of its tasks to run at once.
  const tasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (
    spec.cpus * tasks > quota.cpuLimit + RESOURCE_EPSILON ||
    spec.gpus * tasks > quota.gpuLimit + RESOURCE_EPSILON
  )
    return "more than the team's limit";
  return null;
}
