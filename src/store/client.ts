/** The state service's client: transactions, reads, watches and leases. */
import type { Clock } from '../clock.js';
import { sleep } from '../clock.js';
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

export type {
  Changes,
  Condition,
  Event,
  Item,
  Transaction,
  Write,
} from '../protocol/state-service.js';

export type Outcome =
  | { kind: 'done'; revision: number }
  /** Not executed now, as a condition failed; an earlier unanswered copy may have been. */
  | { kind: 'conflict'; revision: number; failed: string[] }
  /** Certainly not executed. */
  | { kind: 'refused'; status: number };

/** Keys that one answer to a list request holds at most. */
const PAGE_ITEMS = 1000;

/** The state service by its published protocol. Malformed answers count as none. */
export class StoreClient {
  constructor(
    private readonly call: Caller,
    /** Watches hang for long, so they have sockets of their own. */
    private readonly watchCall: Caller,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Commits once, for certain. An unanswered transaction is sent again, unchanged, until the store
   * answers: each has a condition on a key that it changes, so at most one copy can ever apply. A conflict after
   * an unanswered copy may mean that the copy applied; the caller reads the state and goes on from there.
   */
  async commit(transaction: Transaction): Promise<Outcome> {
    const body = encodeTransaction(transaction);
    for (let tries = 0; ; tries++) {
      try {
        const answer = await this.call({
          method: 'POST',
          path: '/commit',
          body,
          timeoutMs: this.timeoutMs,
        });
        const outcome = outcomeOf(answer, tries === 0);
        if (outcome) return outcome;
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        this.log.info({ err: error.message }, 'commit without answer');
      }
      await sleep(this.clock, this.timeoutMs / 4);
    }
  }

  async get(key: string): Promise<{ item: Item | null; revision: number }> {
    const { status, body } = await this.read({ path: `/store/${key}` });
    const revision = decodeRevision(body);
    if (status === 404 && revision !== null) return { item: null, revision };
    const item = status === 200 ? decodeValue(key, body) : null;
    if (item) return { item, revision: item.modRevision };
    throw new NoAnswer(`store: get ${key}: ${String(status)}`);
  }

  /** Everything under a prefix. Pages are read one after the other; `revision` is the first page's. */
  async list(prefix: string): Promise<{ items: Item[]; revision: number }> {
    const items: Item[] = [];
    let revision: number | null = null;
    let since = '';
    for (;;) {
      const path = `/store?under=${encodeURIComponent(prefix)}&since=${encodeURIComponent(since)}&page=${String(PAGE_ITEMS)}`;
      const { status, body } = await this.read({ path });
      const page = status === 200 ? decodeItemPage(body) : null;
      if (!page) throw new NoAnswer(`store: list ${prefix}: ${String(status)}`);
      revision ??= page.revision;
      items.push(...page.items);
      const last = items.at(-1);
      if (!page.hasMore || page.items.length === 0 || !last) return { items, revision };
      since = last.key;
    }
  }

  /** All changes after `since`; null when the store no longer has them, or they are more than is taken at once. */
  async changes(prefix: string, since: number, blockMs: number): Promise<Changes | null> {
    const path = `/changes?under=${encodeURIComponent(prefix)}&since=${String(since)}&block_ms=${String(Math.round(blockMs))}`;
    const answer = await this.read({ path, blockMs }).catch((error: unknown) => {
      if (error instanceof AnswerTooLarge) return null;
      throw error;
    });
    if (!answer || answer.status === 410) return null;
    const changes = answer.status === 200 ? decodeChanges(answer.body) : null;
    if (!changes) throw new NoAnswer(`store: changes: ${String(answer.status)}`);
    return changes;
  }

  async newLease(lifeMs: number): Promise<number> {
    const { status, body } = await this.call({
      method: 'POST',
      path: '/leases',
      body: encodeLeaseRequest(lifeMs),
      timeoutMs: this.timeoutMs,
    });
    const lease = status === 200 ? decodeLease(body) : null;
    if (lease === null) throw new NoAnswer(`store: lease: ${String(status)}`);
    return lease;
  }

  /** False when the lease has ended. */
  async extendLease(lease: number, timeoutMs: number): Promise<boolean> {
    const path = `/leases/${String(lease)}/extend`;
    const { status } = await this.call({ method: 'POST', path, body: {}, timeoutMs });
    if (status === 200) return true;
    if (status === 404) return false;
    throw new NoAnswer(`store: extend: ${String(status)}`);
  }

  private read(what: { path: string; blockMs?: number }): Promise<Answer> {
    const call: Call = {
      method: 'GET',
      path: what.path,
      timeoutMs: this.timeoutMs + (what.blockMs ?? 0),
    };
    return (what.blockMs ?? 0) > 0 ? this.watchCall(call) : this.call(call);
  }
}

/** What an answer to a transaction says of its outcome; null: nothing, so it is sent again. */
function outcomeOf({ status, body }: Answer, isFirstTry: boolean): Outcome | null {
  const revision = decodeRevision(body);
  if (status === 200 && revision !== null) return { kind: 'done', revision };
  if (status === 409 && revision !== null)
    return { kind: 'conflict', revision, failed: decodeFailedConditions(body) };
  // Refused as a whole only if no earlier copy of it is still on its way.
  if (status >= 400 && isFirstTry) return { kind: 'refused', status };
  // It will never be accepted any more, but an earlier copy may have been while its lease lasted.
  if (status === 400) return { kind: 'conflict', revision: 0, failed: [] };
  return null;
}
