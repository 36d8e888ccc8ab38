/** Stored records of jobs: their states, allocations and final states. */
import type {
  AllocationsByMachine,
  FinalState,
  JobRecord,
  JobSpec,
  JobState,
} from '../../model/job.js';
import { decodeJobSpec, encodeJobSpec, type WireJobSpec } from '../../protocol/job-spec.js';
import type { Body } from '../../wire/codec.js';
import { jobSchema, jobSpecSchema } from './schemas.js';
import { fieldsOf, unknownFieldsOf } from './unknown-fields.js';

/** Stored form of a job. */
interface StoredJob {
  s: WireJobSpec;
  at: number;
  t: number;
  n: number;
  b: number[];
  cancelled?: true;
  stop?: number[];
  gangDone?: true;
  gangBroken?: true;
  fails?: number;
  notBefore?: number;
  avoid?: string[];
}

const JOB_FIELDS = fieldsOf(jobSchema);
const SPEC_FIELDS = fieldsOf(jobSpecSchema);

/** Stored form of a final state. */
interface StoredFinalState {
  ph: FinalState['phase'];
  tasks: number;
}

/** One partition of the allocations on the machines of a domain: allocations by job id. */
export type AllocationRecord = Record<string, AllocationsByMachine>;

/** The stored form of a job without its allocations, which are stored in allocation partitions. */
export function encodeJob(job: JobState | JobRecord): Body {
  const stored: StoredJob = {
    s: encodeSpec(job.spec),
    at: job.acceptedAt,
    t: job.lastAttempt,
    n: job.firstUnplacedTask,
    b: job.requeuedTasks,
  };
  if (job.cancelled) stored.cancelled = true;
  if (job.preemptedTasks) stored.stop = job.preemptedTasks;
  if (job.gangDone) stored.gangDone = true;
  if (job.gangBroken) stored.gangBroken = true;
  if (job.failures !== undefined) stored.fails = job.failures;
  if (job.notBefore !== undefined) stored.notBefore = job.notBefore;
  if (job.avoidedMachines) stored.avoid = job.avoidedMachines;
  return { ...stored, ...job.unknownFields };
}

/** A job from its stored form. */
export function decodeJob(body: Body): JobState {
  const stored = body as unknown as StoredJob;
  const job: JobState = {
    spec: decodeSpec(stored.s),
    acceptedAt: stored.at,
    lastAttempt: stored.t,
    firstUnplacedTask: stored.n,
    requeuedTasks: stored.b,
  };
  if (stored.cancelled) job.cancelled = true;
  if (stored.stop) job.preemptedTasks = stored.stop;
  if (stored.gangDone) job.gangDone = true;
  if (stored.gangBroken) job.gangBroken = true;
  if (stored.fails !== undefined) job.failures = stored.fails;
  if (stored.notBefore !== undefined) job.notBefore = stored.notBefore;
  if (stored.avoid) job.avoidedMachines = stored.avoid;
  const unknownFields = unknownFieldsOf(stored, JOB_FIELDS);
  if (unknownFields) job.unknownFields = unknownFields;
  return job;
}

function encodeSpec(spec: JobSpec): WireJobSpec {
  const stored = encodeJobSpec(spec);
  return spec.unknownFields ? { ...stored, ...spec.unknownFields } : stored;
}

function decodeSpec(stored: WireJobSpec): JobSpec {
  const spec = decodeJobSpec(stored);
  const unknownFields = unknownFieldsOf(stored, SPEC_FIELDS);
  if (unknownFields) spec.unknownFields = unknownFields;
  return spec;
}

/** The stored form of an allocation partition. */
export const encodeAllocations = (allocations: AllocationRecord): Body => allocations;

/** An allocation partition from its stored form. */
export const decodeAllocations = (body: Body): AllocationRecord => body as AllocationRecord;

/** The stored form of a final state. */
export function encodeFinalState({ phase, tasks }: FinalState): Body {
  return { ph: phase, tasks };
}

/** A final state from its stored form. */
export function decodeFinalState(body: Body): FinalState {
  const { ph, tasks } = body as unknown as StoredFinalState;
  return { phase: ph, tasks };
}
