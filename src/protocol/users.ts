/** Messages to and from users: submissions, and the status of jobs. */
import * as v from 'valibot';
import type { JobSpec } from '../model/job.js';
import type { Body } from '../wire/codec.js';
import { decodeJobSpec } from './job-spec.js';

const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(100));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
const MAX_TASKS = 100_000;

const JobId = v.pipe(v.string(), v.regex(/^j-[A-Za-z0-9_-]{1,60}$/));

/** Only nullable fields may be omitted. A submission that lacks any other field is malformed and is rejected. */
const WireSubmission = v.object({
  uid: JobId,
  jobclass: name,
  owner: name,
  shape: v.picklist(['array', 'group', 'standing']),
  rank: v.picklist(['critical', 'urgent', 'standard', 'idle']),
  tasks: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  cpus: amount,
  cards: amount,
  memory_gb: amount,
  image: name,
  image_gb: amount,
  flavors: v.nullish(v.pipe(v.array(name), v.maxLength(64))),
  site: v.nullish(name),
  one_zone: v.boolean(),
  spread: v.boolean(),
  reclaimable: v.boolean(),
  expect_s: amount,
  snapshot_s: amount,
  flush_s: amount,
  due_s: v.nullish(amount),
});

/** Whether a value is a valid job id. Its length is limited because it is part of the keys of stored records. */
export function isJobId(value: unknown): value is string {
  return v.is(JobId, value);
}

/** The job id in a submission; null if it is missing or invalid. The other fields are not checked. */
export function submittedJobId(body: Body): string | null {
  const jobId = body['uid'];
  return isJobId(jobId) ? jobId : null;
}

/** A job as submitted by its user. */
export interface Submission {
  jobId: string;
  spec: JobSpec;
}

/** Why a submission is malformed: the first invalid field and its fault. */
export interface SubmissionFault {
  fault: string;
}

/** Decodes a submission; returns the fault if it is malformed. */
export function decodeSubmission(body: Body): Submission | SubmissionFault {
  const result = v.safeParse(WireSubmission, body, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    return { fault: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}` };
  }
  const { uid, ...wire } = result.output;
  const spec = decodeJobSpec({
    ...wire,
    flavors: wire.flavors ?? null,
    site: wire.site ?? null,
    due_s: wire.due_s ?? null,
  });
  return { jobId: uid, spec };
}

/** The status of a job that users can query. */
export interface JobStatus {
  jobId: string;
  phase: 'pending' | 'running' | 'done' | 'cancelled';
  doneTasks: number;
  runningTasks: number;
}

/** The answer to a status request. */
export function encodeJobStatus({ jobId, phase, doneTasks, runningTasks }: JobStatus): Body {
  return { uid: jobId, phase, done: doneTasks, running: runningTasks };
}

/** The answer to a submission or a cancellation, which contains only the phase. */
export function encodeJobPhase(jobId: string, phase: JobStatus['phase']): Body {
  return { uid: jobId, phase };
}
