/** Messages between controllers. */
import * as v from 'valibot';
import { isMap, type Body } from '../wire/codec.js';

/** What one controller may ask another, by its name on the wire. */
export const PEER_QUESTIONS = { acknowledge: 'testify', userRequest: 'user' } as const;

/** A controller asks a peer what it knows that concerns the asker's domain. */
export interface AcknowledgementRequest {
  /** The controller that asks. */
  controller: string;
  /** Revision of the head of its domain in its replica. */
  headRevision: number;
}

/** What a controller knows, as it tells a peer that asks. */
export interface PeerAcknowledgement {
  /** Jobs that it knows to be cancelled and of which something may still be on a machine. */
  cancelledJobs: readonly string[];
  /**
   * Machines that have left the asker's domain since its head had the revision that it asked with, and the revision of
   * the head by then; null when this process cannot say, for one that it has not read the store yet.
   */
  lostMachines: ReadonlyMap<string, number> | null;
  /** How old its replica is, in milliseconds. */
  replicaAgeMs: number;
  /** Its machines on which nothing may be placed: a hint, nothing rests on it. */
  cordonedMachines: readonly string[];
}

/** A user's request that a peer is to serve, as the controller that got it cannot ask the store. */
export interface RelayedRequest {
  method: string;
  path: string[];
  body: Body;
}

/** A peer's reply to a user's request. */
export interface RelayedReply {
  status: number;
  body: Body;
  /** When to come back, for a reply that asks for a retry. */
  retryAfterS?: number;
}

/** A question as it is sent; the answer carries the same id. */
export interface PeerRequestFrame {
  requestId: number;
  question: string;
  body: Body;
}

/** A question as it arrives: its id is only sent back. */
export interface ReceivedRequestFrame {
  requestId: unknown;
  question: string;
  body: Body;
}

/** The answer to a question; null instead of a body that cannot be read. */
export interface PeerAnswerFrame {
  requestId: number;
  body: Body | null;
}

const WireAcknowledgement = v.object({
  cancelled: v.array(v.string()),
  lost: v.nullable(v.record(v.string(), v.number())),
  ageMs: v.number(),
  held: v.array(v.string()),
});

/** The request for an acknowledgement, as it is sent. */
export function encodeAcknowledgementRequest(request: AcknowledgementRequest): Body {
  return { host: request.controller, head: request.headRevision };
}

/** The request for an acknowledgement, as it has arrived. */
export function decodeAcknowledgementRequest(body: Body): AcknowledgementRequest {
  return { controller: String(body['host']), headRevision: Number(body['head']) };
}

/** An acknowledgement, as it is sent. */
export function encodeAcknowledgement(acknowledgement: PeerAcknowledgement): Body {
  const { cancelledJobs, lostMachines, replicaAgeMs, cordonedMachines } = acknowledgement;
  return {
    cancelled: cancelledJobs,
    lost: lostMachines && Object.fromEntries(lostMachines),
    ageMs: replicaAgeMs,
    held: cordonedMachines,
  };
}

/** An acknowledgement, as it has arrived; null if it cannot be read. */
export function decodeAcknowledgement(body: Body): PeerAcknowledgement | null {
  const parsed = v.safeParse(WireAcknowledgement, body);
  if (!parsed.success) return null;
  const { cancelled, lost, ageMs, held } = parsed.output;
  return {
    cancelledJobs: cancelled,
    lostMachines: lost && new Map(Object.entries(lost)),
    replicaAgeMs: ageMs,
    cordonedMachines: held,
  };
}

/** A user's request, as it is sent on to a peer. */
export function encodeRelayedRequest({ method, path, body }: RelayedRequest): Body {
  return { method, path, body };
}

/** A user's request that a peer has sent on; null if it cannot be read. */
export function decodeRelayedRequest(message: Body): RelayedRequest | null {
  const { method, path, body } = message;
  if (!Array.isArray(path) || !isMap(body)) return null;
  return { method: String(method), path: path.map(String), body };
}

/** The reply to a user's request, as it is sent back to the peer that sent the request on. */
export function encodeRelayedReply({ status, body, retryAfterS }: RelayedReply): Body {
  return { status, body, ...(retryAfterS === undefined ? {} : { retryAfterS }) };
}

/** A peer's reply to a user's request; null if it cannot be read. */
export function decodeRelayedReply(message: Body): RelayedReply | null {
  const { status, body, retryAfterS } = message;
  if (typeof status !== 'number' || !isMap(body)) return null;
  return { status, body, ...(typeof retryAfterS === 'number' ? { retryAfterS } : {}) };
}

/** A question with its id, as it is sent. */
export function encodeRequestFrame({ requestId, question, body }: PeerRequestFrame): Body {
  return { id: requestId, ask: question, body };
}

/** A question that has arrived; null if it cannot be read. */
export function decodeRequestFrame(frame: Body): ReceivedRequestFrame | null {
  const { id, ask, body } = frame;
  if (typeof ask !== 'string' || !isObject(body)) return null;
  return { requestId: id, question: ask, body };
}

/** The answer to the question with that id, as it is sent. */
export function encodeAnswerFrame(requestId: unknown, body: Body): Body {
  return { id: requestId, body };
}

/** An answer that has arrived. */
export function decodeAnswerFrame({ id, body }: Body): PeerAnswerFrame {
  return { requestId: Number(id), body: isObject(body) ? body : null };
}

/** Any object counts as a body, as it did for all versions that speak this protocol. */
function isObject(value: unknown): value is Body {
  return typeof value === 'object' && value !== null;
}
