/** Client of the state service: transactions, reads, watches and leases. */
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

/** The outcome of a transaction. */
export type CommitOutcome =
  /** Applied at this revision. */
  | { kind: 'done'; revision: number }
  /** This copy was not applied, as a condition failed. An earlier copy that was not answered may have been applied. */
  | { kind: 'conflict'; revision: number; failed: string[] }
  /** Certainly not applied. */
  | { kind: 'refused'; status: number };

/** Maximum number of keys in one answer to a list request. */
const ITEMS_PER_PAGE = 1000;

/** Pause before an unanswered transaction is sent again, as a fraction of the timeout. */
const RETRY_PAUSE_RATIO = 1 / 4;

/** Dependencies and settings of a `StoreClient`. */
export interface StoreClientOptions {
  /** Sends requests that are answered immediately. */
  call: Caller;
  /** Sends watch requests. They stay open for a long time, so they use separate connections. */
  watchCall: Caller;
  clock: Clock;
  log: Log;
  /** Request timeout in milliseconds. For a watch, the time that it may stay open is added. */
  timeoutMs: number;
}

/** Calls the state service by its published protocol. A malformed answer is treated as no answer. */
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
   * Commits a transaction at most once. If there is no answer, the same transaction is sent again until the store
   * answers. Every transaction has a condition on a key that it changes, so at most one copy can be applied. A conflict
   * on a retry may mean that an earlier, unanswered copy was applied: the caller must read the state and continue from
   * it.
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

  /** The value of a key, null if it does not exist, and the revision at which this was the case. */
  async get(key: string): Promise<{ item: Item | null; revision: number }> {
    const { status, body } = await this.read({ path: `/store/${key}` });
    const revision = decodeRevision(body);
    if (status === 404 && revision !== null) return { item: null, revision };
    const item = status === 200 ? decodeValue(key, body) : null;
    if (item) return { item, revision: item.modRevision };
    throw new UnexpectedStoreAnswer('get', key, status);
  }

  /** All records under a prefix. The pages are read one after the other; `revision` is that of the first page. */
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
   * All changes after a revision. Waits up to `blockMs` for the first change. Null if the store no longer has all of
   * them, or if the answer is larger than the client accepts: then a full read is needed.
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

  /** Creates a lease that expires after `lifeMs` milliseconds unless it is extended. Returns its id. */
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

  /** Extends a lease by its full duration. Returns false if it has expired. */
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

/**
 * The outcome of a transaction according to an answer. Null if the outcome is still unknown and it must be sent again.
 */
function outcomeOf({ status, body }: Answer, isFirstTry: boolean): CommitOutcome | null {
  const revision = decodeRevision(body);
  if (status === 200 && revision !== null) return { kind: 'done', revision };
  if (status === 409 && revision !== null)
    return { kind: 'conflict', revision, failed: decodeFailedConditions(body) };
  // Certain for the first copy only: on a retry, an earlier copy may still be in flight and be applied.
  if (status >= 400 && isFirstTry) return { kind: 'refused', status };
  // No copy will be accepted from now on, but an earlier one may have been applied while its lease was still valid.
  if (status === 400) return { kind: 'conflict', revision: 0, failed: [] };
  return null;
}
