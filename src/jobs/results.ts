/** Results of users' requests, and the HTTP replies for them. */
import { encodeJobPhase, encodeJobStatus, type JobStatus } from '../protocol/users.js';
import type { Reply } from '../wire/server.js';

/** Why a job is rejected. */
export interface JobRejection {
  kind: RejectionKind;
  reason: string;
}

/** Kinds of reasons for rejecting a job. */
export type RejectionKind =
  /** The submission does not conform to the protocol. */
  | 'malformed'
  /** No allowed machine type or no quota is large enough for the job. */
  | 'neverRunnable'
  /** The request cannot be decided now; a retry may succeed. */
  | 'undecidable';

/** The outcome of a user's request. */
export type JobResult =
  | { kind: 'accepted'; jobId: string }
  | { kind: 'cancelled'; jobId: string }
  | { kind: 'status'; status: JobStatus }
  | { kind: 'notFound' }
  | { kind: 'rejected'; rejection: JobRejection };

/** There is no such job. */
export const NOT_FOUND: JobResult = { kind: 'notFound' };

/** The state service did not answer, so the state of the job is unknown. */
export const STORE_UNREACHABLE: JobResult = rejected({
  kind: 'undecidable',
  reason: 'the state service cannot be asked',
});

/** The result of a request whose job is rejected. */
export function rejected(rejection: JobRejection): JobResult {
  return { kind: 'rejected', rejection };
}

const STATUS_OF_REJECTION: Readonly<Record<RejectionKind, number>> = {
  malformed: 400,
  neverRunnable: 422,
  undecidable: 503,
};

/** Seconds after which a user may retry. */
const RETRY_AFTER_SECONDS = 1;

/** The HTTP reply for a result. */
export function replyOf(result: JobResult): Reply {
  switch (result.kind) {
    case 'accepted':
      return { status: 201, body: encodeJobPhase(result.jobId, 'pending') };
    case 'cancelled':
      return { status: 200, body: encodeJobPhase(result.jobId, 'cancelled') };
    case 'status':
      return { status: 200, body: encodeJobStatus(result.status) };
    case 'notFound':
      return { status: 404, body: { error: 'no such job' } };
    case 'rejected':
      return replyOfRejection(result.rejection);
  }
}

function replyOfRejection({ kind, reason }: JobRejection): Reply {
  const reply: Reply = { status: STATUS_OF_REJECTION[kind], body: { error: reason } };
  if (kind === 'undecidable') reply.retryAfterS = RETRY_AFTER_SECONDS;
  return reply;
}
