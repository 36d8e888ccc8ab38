/** Messages between controllers. */
import * as v from 'valibot';
import { isMap, type Body } from '../wire/codec.js';

/** Types of requests between controllers, with their names on the wire. */
export const PEER_REQUEST_TYPES = { acknowledge: 'testify', userRequest: 'user' } as const;

/** Asks a peer for the part of its current state that concerns the requesting controller's domain. */
export interface AcknowledgementRequest {
  /** The requesting controller. */
  controller: string;
  /** Revision of the head of the requester's domain in its own replica. */
  headRevision: number;
}

/** The answer to an acknowledgement request: the current view of the answering controller. */
export interface PeerAcknowledgement {
  /** Cancelled jobs whose tasks may still be on a machine. */
  cancelledJobs: readonly string[];
  /**
   * Machines that left the requester's domain after the head revision in its request, each with the revision of the
   * head when it had left; null if this process cannot tell, for example because it has not read the store yet.
   */
  lostMachines: ReadonlyMap<string, number> | null;
  /** Age of the replica of the answering controller, in milliseconds. */
  replicaAgeMs: number;
  /** Cordoned machines of the answering controller. This is a hint; correctness does not depend on it. */
  cordonedMachines: readonly string[];
}

/** A user's request that is relayed to a peer because the controller that received it cannot reach the store. */
export interface RelayedRequest {
  method: string;
  path: string[];
  body: Body;
}

/** A peer's reply to a user's request. */
export interface RelayedReply {
  status: number;
  body: Body;
  /** Seconds after which the user should retry; set only if the reply asks for a retry. */
  retryAfterS?: number;
}

/** A request as it is sent; its answer carries the same id. */
export interface PeerRequestFrame {
  requestId: number;
  requestType: string;
  body: Body;
}

/** A request as it is received. Its id may be of any type, because it is only copied into the answer. */
export interface ReceivedRequestFrame {
  requestId: unknown;
  requestType: string;
  body: Body;
}

/** The answer to a request; the body is null if it is malformed. */
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

/** Encodes a request for an acknowledgement. */
export function encodeAcknowledgementRequest(request: AcknowledgementRequest): Body {
  return { host: request.controller, head: request.headRevision };
}

/** Decodes a request for an acknowledgement. */
export function decodeAcknowledgementRequest(body: Body): AcknowledgementRequest {
  return { controller: String(body['host']), headRevision: Number(body['head']) };
}

/** Encodes an acknowledgement. */
export function encodeAcknowledgement(acknowledgement: PeerAcknowledgement): Body {
  const { cancelledJobs, lostMachines, replicaAgeMs, cordonedMachines } = acknowledgement;
  return {
    cancelled: cancelledJobs,
    lost: lostMachines && Object.fromEntries(lostMachines),
    ageMs: replicaAgeMs,
    held: cordonedMachines,
  };
}

/** Decodes an acknowledgement; null if it is malformed. */
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

/** Encodes a user's request that is relayed to a peer. */
export function encodeRelayedRequest({ method, path, body }: RelayedRequest): Body {
  return { method, path, body };
}

/** Decodes a user's request that a peer has relayed; null if it is malformed. */
export function decodeRelayedRequest(message: Body): RelayedRequest | null {
  const { method, path, body } = message;
  if (!Array.isArray(path) || !isMap(body)) return null;
  return { method: String(method), path: path.map(String), body };
}

/** Encodes the reply to a relayed request, for the peer that relayed it. */
export function encodeRelayedReply({ status, body, retryAfterS }: RelayedReply): Body {
  return { status, body, ...(retryAfterS === undefined ? {} : { retryAfterS }) };
}

/** Decodes a peer's reply to a relayed request; null if it is malformed. */
export function decodeRelayedReply(message: Body): RelayedReply | null {
  const { status, body, retryAfterS } = message;
  if (typeof status !== 'number' || !isMap(body)) return null;
  return { status, body, ...(typeof retryAfterS === 'number' ? { retryAfterS } : {}) };
}

/** Encodes a request with its id. */
export function encodeRequestFrame({ requestId, requestType, body }: PeerRequestFrame): Body {
  return { id: requestId, ask: requestType, body };
}

/** Decodes a request; null if it is malformed. */
export function decodeRequestFrame(frame: Body): ReceivedRequestFrame | null {
  const { id, ask, body } = frame;
  if (typeof ask !== 'string' || !isObject(body)) return null;
  return { requestId: id, requestType: ask, body };
}

/** Encodes the answer to the request with that id. */
export function encodeAnswerFrame(requestId: unknown, body: Body): Body {
  return { id: requestId, body };
}

/** Decodes an answer. */
export function decodeAnswerFrame({ id, body }: Body): PeerAnswerFrame {
  return { requestId: Number(id), body: isObject(body) ? body : null };
}

/** Whether the value can be a body. Any object is accepted, as in all earlier versions of this protocol. */
function isObject(value: unknown): value is Body {
  return typeof value === 'object' && value !== null;
}
