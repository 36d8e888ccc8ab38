/** The state service's client: transactions, reads, watches and leases. */
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import {
  decodeChanges,
  decodeFailedConditions,
  decodeItemPage,
  decodeLease,
  decodeRevision,
  decodeValue,
  encodeLeaseRequest,
  encodeTransaction,
  type Changes,
  type Item,
  type Transaction,
} from '../protocol/state-service.js';
import { AnswerTooLarge, NoAnswer, type Answer, type Call, type Caller } from '../wire/client.js';
import { UnexpectedStoreAnswer } from './errors.js';

export type {
  Changes,
  Condition,
  Event,
  Item,
  Transaction,
  Write,
} from '../protocol/state-service.js';

/** What became of a transaction. */
export type CommitOutcome =
  /** Applied at this revision. */
  | { kind: 'done'; revision: number }
  /** Not applied now, as a condition failed; an earlier copy that got no answer may have been. */
  | { kind: 'conflict'; revision: number; failed: string[] }
  /** Certainly not applied. */
  | { kind: 'refused'; status: number };

/** Keys that one answer to a list request holds at most. */
const ITEMS_PER_PAGE = 1000;

/** Part of the timeout after which a transaction that got no answer is sent again. */
const RETRY_PAUSE_RATIO = 1 / 4;

/** What a `StoreClient` works with. */
export interface StoreClientOptions {
  /** Sends requests that are answered at once. */
  call: Caller;
  /** Sends watches. They stay open for long, so they have connections of their own. */
  watchCall: Caller;
  clock: Clock;
  log: Log;
  /** How long an answer may take, in milliseconds, beside the time that a watch stays open. */
  timeoutMs: number;
}

/** The state service by its published protocol. Malformed answers count as none. */
export class StoreClient {
  private readonly call: Caller;
  private readonly watchCall: Caller;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly timeoutMs: number;

  constructor({ call, watchCall, clock, log, timeoutMs }: StoreClientOptions) {
    this.call = call;
    this.watchCall = watchCall;
    this.clock = clock;
    this.log = log;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Commits a transaction exactly once. One that gets no answer is sent again, unchanged, until the store answers: each
   * has a condition on a key that it changes, so at most one copy can ever apply. A conflict after a copy without an
   * answer may mean that this copy applied; the caller reads the state and goes on from there.
   */
  async commit(transaction: Transaction): Promise<CommitOutcome> {
    const body = encodeTransaction(transaction);
    const request: Call = { method: 'POST', path: '/commit', body, timeoutMs: this.timeoutMs };
    for (let isFirstTry = true; ; isFirstTry = false) {
      try {
        const outcome = outcomeOf(await this.call(request), isFirstTry);
        if (outcome) return outcome;
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        this.log.info({ err: error }, 'commit unanswered, sent again');
      }
      await sleep(this.clock, this.timeoutMs * RETRY_PAUSE_RATIO);
    }
  }

  /** The value of a key, null if there is none, and the revision at which that was so. */
  async get(key: string): Promise<{ item: Item | null; revision: number }> {
    const { status, body } = await this.read({ path: `/store/${key}` });
    const revision = decodeRevision(body);
    if (status === 404 && revision !== null) return { item: null, revision };
    const item = status === 200 ? decodeValue(key, body) : null;
    if (item) return { item, revision: item.modRevision };
    throw new UnexpectedStoreAnswer('get', key, status);
  }

  /** Everything under a prefix. Pages are read one after the other; `revision` is the first page's. */
  async list(prefix: string): Promise<{ items: Item[]; revision: number }> {
    const items: Item[] = [];
    let revision: number | null = null;
    let lastKey = '';
    for (;;) {
      const { status, body } = await this.read({ path: pagePath(prefix, lastKey) });
      const page = status === 200 ? decodeItemPage(body) : null;
      if (!page) throw new UnexpectedStoreAnswer('list', prefix, status);
      revision ??= page.revision;
      items.push(...page.items);
      const last = items.at(-1);
      if (!page.hasMore || page.items.length === 0 || !last) return { items, revision };
      lastKey = last.key;
    }
  }

  /**
   * All changes after a revision, once there are any or `blockMs` is over. Null if the store no longer has them, or if
   * they are more than is accepted at once: then everything must be read anew.
   */
  async changes(prefix: string, since: number, blockMs: number): Promise<Changes | null> {
    const path = `/changes?under=${encodeURIComponent(prefix)}&since=${String(since)}&block_ms=${String(Math.round(blockMs))}`;
    const answer = await this.read({ path, blockMs }).catch((error: unknown) => {
      if (error instanceof AnswerTooLarge) return null;
      throw error;
    });
    if (!answer || answer.status === 410) return null;
    const changes = answer.status === 200 ? decodeChanges(answer.body) : null;
    if (!changes) throw new UnexpectedStoreAnswer('changes', prefix, answer.status);
    return changes;
  }

  /** Opens a lease that ends after so many milliseconds unless it is extended; returns its id. */
  async newLease(lifeMs: number): Promise<number> {
    const { status, body } = await this.call({
      method: 'POST',
      path: '/leases',
      body: encodeLeaseRequest(lifeMs),
      timeoutMs: this.timeoutMs,
    });
    const lease = status === 200 ? decodeLease(body) : null;
    if (lease === null) throw new UnexpectedStoreAnswer('new lease', null, status);
    return lease;
  }

  /** Extends a lease by its full time; false if it has ended. */
  async extendLease(lease: number, timeoutMs: number): Promise<boolean> {
    const path = `/leases/${String(lease)}/extend`;
    const { status } = await this.call({ method: 'POST', path, body: {}, timeoutMs });
    if (status === 200) return true;
    if (status === 404) return false;
    throw new UnexpectedStoreAnswer('extend lease', String(lease), status);
  }

  private read({ path, blockMs = 0 }: { path: string; blockMs?: number }): Promise<Answer> {
    const call: Call = { method: 'GET', path, timeoutMs: this.timeoutMs + blockMs };
    return blockMs > 0 ? this.watchCall(call) : this.call(call);
  }
}

function pagePath(prefix: string, lastKey: string): string {
  return `/store?under=${encodeURIComponent(prefix)}&since=${encodeURIComponent(lastKey)}&page=${String(ITEMS_PER_PAGE)}`;
}

/** What an answer to a transaction says of its outcome; null: nothing, so it is sent again. */
function outcomeOf({ status, body }: Answer, isFirstTry: boolean): CommitOutcome | null {
  const revision = decodeRevision(body);
  if (status === 200 && revision !== null) return { kind: 'done', revision };
  if (status === 409 && revision !== null)
    return { kind: 'conflict', revision, failed: decodeFailedConditions(body) };
  // An earlier copy may still be on its way, and be applied.
  if (status >= 400 && isFirstTry) return { kind: 'refused', status };
  // No copy will be accepted any more, but an earlier one may have been while its lease lasted.
  if (status === 400) return { kind: 'conflict', revision: 0, failed: [] };
  return null;
}
