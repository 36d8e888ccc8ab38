/** Messages to and from the state service, an etcd-like key-value store that replicates by consensus. */
import { isMap, type Body } from '../wire/codec.js';

/** A condition of a transaction: the key was last modified at this revision. */
export interface Condition {
  key: string;
  /** 0: the key must not exist. */
  modRevision: number;
}

/** A change of one key. A key with a lease is deleted when the lease ends. */
export type Write = { put: string; value: Body; lease?: number } | { delete: string };

/** Writes that are applied atomically, and only if all conditions hold (compare-and-swap). */
export interface Transaction {
  conditions: Condition[];
  writes: Write[];
}

/** A key with its value. */
export interface Item {
  key: string;
  value: Body;
  modRevision: number;
}

/** A change of a key, as reported by a watch. */
export type Event =
  { put: string; value: Body; modRevision: number } | { delete: string; modRevision: number };

/** All changes that a watch reports up to a revision. */
export interface Changes {
  revision: number;
  events: Event[];
}

/** One page of the keys under a prefix. */
export interface ItemPage {
  revision: number;
  items: Item[];
  hasMore: boolean;
}

const isNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

/** A request to commit a transaction. */
export function encodeTransaction({ conditions, writes }: Transaction): Body {
  return {
    guards: conditions.map(({ key, modRevision }) => ({ key, stamp: modRevision })),
    apply: writes,
  };
}

/** The store's revision in an answer; null if it is missing or invalid. */
export function decodeRevision(body: Body): number | null {
  return isNumber(body['generation']) ? body['generation'] : null;
}

/** Keys of the conditions that did not hold, from the answer to a transaction. */
export function decodeFailedConditions(body: Body): string[] {
  return Array.isArray(body['failed']) ? body['failed'].map(String) : [];
}

/** The value of one key; null if the answer is malformed. */
export function decodeValue(key: string, body: Body): Item | null {
  if (!isMap(body['value']) || !isNumber(body['stamp'])) return null;
  return { key, value: body['value'], modRevision: body['stamp'] };
}

/** A page of items; null if the answer or any of its items is malformed. */
export function decodeItemPage(body: Body): ItemPage | null {
  const page = body['items'];
  if (!Array.isArray(page) || !isNumber(body['generation'])) return null;
  const items: Item[] = [];
  for (const entry of page as unknown[]) {
    const item = isMap(entry) && typeof entry['key'] === 'string' ? entry : null;
    const decoded = item && decodeValue(String(item['key']), item);
    if (!decoded) return null;
    items.push(decoded);
  }
  return { revision: body['generation'], items, hasMore: body['more'] === true };
}

/** The changes in an answer; null if the answer or any of its changes is malformed. */
export function decodeChanges(body: Body): Changes | null {
  if (!isNumber(body['generation']) || !Array.isArray(body['log'])) return null;
  const events: Event[] = [];
  for (const entry of body['log'] as unknown[]) {
    const event = decodeEvent(entry);
    if (!event) return null;
    events.push(event);
  }
  return { revision: body['generation'], events };
}

function decodeEvent(entry: unknown): Event | null {
  if (!isMap(entry) || !isNumber(entry['stamp'])) return null;
  const modRevision = entry['stamp'];
  if (typeof entry['delete'] === 'string') return { delete: entry['delete'], modRevision };
  if (typeof entry['put'] !== 'string' || !isMap(entry['value'])) return null;
  return { put: entry['put'], value: entry['value'], modRevision };
}

/** A request for a lease of this duration. */
export function encodeLeaseRequest(lifeMs: number): Body {
  return { life_ms: Math.round(lifeMs) };
}

/** The id of a new lease; null if it is missing or invalid. */
export function decodeLease(body: Body): number | null {
  return isNumber(body['lease']) ? body['lease'] : null;
}
