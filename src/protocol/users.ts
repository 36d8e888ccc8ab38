/** Messages from and to users: submissions, and what they are told of their jobs. */
import * as v from 'valibot';
import type { JobSpec } from '../model/job.js';
import type { Body } from '../wire/codec.js';
import { decodeJobSpec } from './job-spec.js';

const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(100));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
const MAX_TASKS = 100_000;

const JobId = v.pipe(v.string(), v.regex(/^j-[A-Za-z0-9_-]{1,60}$/));

/** Only what may be null may be left out: a job that lacks anything else is malformed, and never accepted. */
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

/** Whether a value has the form of a job's id; it is a key of stored records too, so it is bounded. */
export function isJobId(value: unknown): value is string {
  return v.is(JobId, value);
}

/** The job that a submission names; null if it names none. What else it says may be malformed. */
export function submittedJobId(body: Body): string | null {
  const jobId = body['uid'];
  return isJobId(jobId) ? jobId : null;
}

/** A job as its user submits it. */
export interface Submission {
  jobId: string;
  spec: JobSpec;
}

/** Why a submission is malformed: the field, and what is wrong with it. */
export interface SubmissionFault {
  fault: string;
}

/** The job in a submission, or why it is malformed. */
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

/** What users see of a job. */
export interface JobStatus {
  jobId: string;
  phase: 'pending' | 'running' | 'done' | 'cancelled';
  doneTasks: number;
  runningTasks: number;
}

/** The answer to a question about a job. */
export function encodeJobStatus({ jobId, phase, doneTasks, runningTasks }: JobStatus): Body {
  return { uid: jobId, phase, done: doneTasks, running: runningTasks };
}

/** The answer to a submission or a cancellation: the phase alone. */
export function encodeJobPhase(jobId: string, phase: JobStatus['phase']): Body {
  return { uid: jobId, phase };
}
