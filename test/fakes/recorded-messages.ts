/** Messages recorded with an earlier version, and how that version interpreted valid and malformed messages. */
import type { Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { readFixture } from './stored-state.js';

/** A request and its answer, with their fields as on the wire. */
export interface Exchange {
  counterpart: 'cloud' | 'peers' | 'state' | 'users' | 'workers';
  method: Call['method'];
  path: string;
  request?: Body;
  status: number;
  answer: Body;
}

/** A message, described by its differences from a valid one. */
export interface Variant {
  note: string;
  /** Fields that are added or replaced. */
  set?: Body;
  /** Fields that are missing. */
  without?: string[];
}

/** A heartbeat and its parsed form with defaults filled in; null if it was rejected. */
export interface HeartbeatCase extends Variant {
  taken: Body | null;
}

/** A submission, its answer, and the stored job if it was accepted. */
export interface SubmissionCase extends Variant {
  uid?: unknown;
  status: number;
  answer: Body;
  stored?: Body;
}

/** An answer to a client's call, and how the client interpreted it. */
export interface ClientCase {
  call: string;
  note: string;
  status: number;
  body: Body;
  taken?: unknown;
  /** The client treated the answer as missing. */
  noAnswer?: true;
  /** The request that was sent. */
  sent?: Body;
}

/** An acknowledgement by a peer, and whether users' requests were then relayed to that peer. */
export interface AcknowledgementCase {
  note: string;
  body: Body;
  /** Number of relayed requests; `status` is the status of the answer to the user. */
  asked: number;
  status: number;
}

interface RecordedMessages {
  exchanges: Exchange[];
  heartbeats: { base: Body; cases: HeartbeatCase[] };
  cloud: ClientCase[];
  state: ClientCase[];
  submissions: { base: Body; cases: SubmissionCase[] };
  acknowledgements: AcknowledgementCase[];
}

export function readMessages(): RecordedMessages {
  return readFixture('messages.json') as RecordedMessages;
}

export function readExchanges(): Exchange[] {
  return readMessages().exchanges;
}

/** The complete message that a variant describes. */
export function bodyOf(base: Body, { set, without }: Variant): Body {
  const kept = Object.entries(base).filter(([field]) => !without?.includes(field));
  return structuredClone({ ...Object.fromEntries(kept), ...set });
}
