/** What users' requests lead to, and the replies that tell it. */
import { encodeJobPhase, encodeJobStatus, type JobStatus } from '../protocol/users.js';
import type { Reply } from '../wire/server.js';

/** Why a job is not accepted. */
export interface JobRejection {
  kind: RejectionKind;
  reason: string;
}

/** What speaks against a job. */
export type RejectionKind =
  /** The submission is not what the protocol says. */
  | 'malformed'
  /** No allowed machine, or no quota, is large enough for it. */
  | 'neverRunnable'
  /** It cannot be decided now, and may be later. */
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

/** The state service did not answer: what it holds is unknown. */
export const STORE_UNREACHABLE: JobResult = rejected({
  kind: 'undecidable',
  reason: 'the state service cannot be asked',
});

/** The result of a request whose job is not accepted. */
export function rejected(rejection: JobRejection): JobResult {
  return { kind: 'rejected', rejection };
}

const STATUS_OF_REJECTION: Readonly<Record<RejectionKind, number>> = {
  malformed: 400,
  neverRunnable: 422,
  undecidable: 503,
};

/** Seconds after which a user may ask again. */
const RETRY_AFTER_SECONDS = 1;

/** The reply that tells a user the result. */
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
