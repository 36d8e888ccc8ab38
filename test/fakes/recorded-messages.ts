/** Messages recorded with an earlier version, and what that version made of sound and malformed ones. */
import type { Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { readFixture } from './stored-state.js';

/** A request and its answer, with the fields that they have on the wire. */
export interface Exchange {
  counterpart: 'cloud' | 'peers' | 'state' | 'users' | 'workers';
  method: Call['method'];
  path: string;
  request?: Body;
  status: number;
  answer: Body;
}

/** A message by what differs from a sound one. */
export interface Variant {
  note: string;
  set?: Body;
  /** Fields that it lacks. */
  without?: string[];
}

/** A heartbeat, and what it was read as: with its defaults filled in, or not at all. */
export interface HeartbeatCase extends Variant {
  taken: Body | null;
}

/** A submission with what it was answered and how the job was stored, if it was accepted. */
export interface SubmissionCase extends Variant {
  uid?: unknown;
  status: number;
  answer: Body;
  stored?: Body;
}

/** An answer to a client's call, and what the client made of it. */
export interface ClientCase {
  call: string;
  note: string;
  status: number;
  body: Body;
  taken?: unknown;
  /** The answer counted as none. */
  noAnswer?: true;
  /** The request that was sent. */
  sent?: Body;
}

/** What a peer acknowledges, and whether users' questions were passed on to it thereupon. */
export interface AcknowledgementCase {
  note: string;
  body: Body;
  /** Questions that were passed on, and what the user was answered. */
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

/** The whole message that a variant stands for. */
export function bodyOf(base: Body, { set, without }: Variant): Body {
  const kept = Object.entries(base).filter(([field]) => !without?.includes(field));
  return structuredClone({ ...Object.fromEntries(kept), ...set });
}
