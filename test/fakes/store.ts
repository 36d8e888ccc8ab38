/** A fake state service that follows the published protocol, with faults that tests can inject. */
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { StoreData, writtenKey, type WireCondition, type WireWrite } from './store-data.js';
import type { SeededRandom, Timeline } from './time.js';

/** Entry of `refusedHosts` that stands for all hosts. */
const ALL_HOSTS = '*';
/** Shortest lease duration that is accepted. */
const MIN_LEASE_MS = 100;
/** Maximum number of records per page. */
const MAX_PAGE_ITEMS = 1000;
/** How often an open watch checks for expired leases. */
const WATCH_POLL_MS = 50;
/** Minimum and maximum delay after which a delayed commit is executed. */
const COMMIT_DELAY_RANGE_MS: readonly [number, number] = [2000, 12_000];
/** Maximum size of a transaction. */
const MAX_TRANSACTION_BYTES = 64 * 1024;
/** A transaction may have this many times as many conditions as the limit on its writes. */
const MAX_CONDITIONS_PER_WRITE = 4;

const ERROR_BODY: Body = { error: 'trouble' };
const noAnswer = (): Promise<Answer> => new Promise<Answer>(() => undefined);

/** How much of each limit a transaction uses, as a fraction of that limit. */
interface Usage {
  value: number;
  ops: number;
  bytes: number;
  guards: number;
}

export class FakeStateStore {
  /** Hosts whose requests are currently answered with 503; `*` stands for all hosts. */
  refusedHosts = new Set<string>();
  /** Delay added to each request. */
  extraLatencyMs = 0;
  /**
   * Minimum and maximum round trip. Half of a value drawn from this range delays the request, and half of another one
   * its answer; null: no delay.
   */
  latencyMs: readonly [number, number] | null = null;
  /**
   * Fraction of the requests, except those for leases, that are answered with 429 or 503 instead of being served. Has
   * no effect while `latencyMs` is null.
   */
  errorShare = 0;
  /** Maximum number of records that one read returns. */
  maxPageItems = MAX_PAGE_ITEMS;
  /** Host -> delay of the answers to its watches. An answer has the content of the time before the delay. */
  readonly watchDelayMs = new Map<string, number>();
  /** Hosts whose reads and watches are answered with 429; their transactions and lease requests are served. */
  readonly readRefusedHosts = new Set<string>();
  /** Called after each transaction that was applied, with the records after it. */
  onApplied: ((records: Iterable<readonly [string, Body]>) => void) | null = null;
  /** Hosts whose transactions are executed at once but never answered. */
  readonly unansweredHosts = new Set<string>();
  /** Number of transactions of `unansweredHosts` that were executed and not answered. */
  answersLost = 0;
  /** Fraction of the transactions that are never answered and are executed seconds later, after newer ones. */
  delayedCommitShare = 0;
  /** Called with the host of each transaction that is delayed. */
  onDelayedCommit: ((host: string) => void) | null = null;
  /** Number of delayed transactions that were applied, and of those that failed, for example on a condition. */
  readonly delayedCommits = { applied: 0, failed: 0 };

  /** Number of puts and deletes that were applied, in total and by kind of record. */
  writes = 0;
  readonly writesByKind = new Map<string, number>();
  /** Number of transactions that failed on a condition. */
  conflicts = 0;
  /** Transactions that exceeded a limit. A correct client never sends one. */
  readonly oversized: string[] = [];
  /** Largest value, number of writes, size and number of conditions of a transaction, as fractions of their limits. */
  readonly peakUsage: Usage = { value: 0, ops: 0, bytes: 0, guards: 0 };

  private readonly data = new StoreData();
  private waiters: (() => void)[] = [];

  constructor(
    private readonly time: Timeline,
    private readonly random: SeededRandom,
    private readonly limits: { value_kb: number; txn_ops: number },
  ) {}

  /** Refuses all hosts for a while. At its end all leases are extended by their full duration. */
  outage(forMs: number): void {
    this.refusedHosts.add(ALL_HOSTS);
    this.time.after(forMs, () => {
      this.refusedHosts.delete(ALL_HOSTS);
      this.data.extendAllLeases(this.time.now);
      this.wakeWatches();
    });
  }

  async handle(from: string, call: Call): Promise<Answer> {
    if (this.extraLatencyMs > 0) await this.wait(this.extraLatencyMs);
    const { latencyMs } = this;
    if (!latencyMs) return this.serve(from, call);
    await this.wait(this.random.real(...latencyMs) / 2);
    const isFailing = this.random.chance(this.errorShare) && !call.path.startsWith('/leases');
    const answer = isFailing
      ? { status: this.random.chance(0.5) ? 429 : 503, body: ERROR_BODY }
      : await this.serve(from, call);
    await this.wait(this.random.real(...latencyMs) / 2);
    return answer;
  }

  /** The value stored under a key, for use in tests. */
  peek(key: string): Body | undefined {
    return this.data.get(key)?.value;
  }

  /** All values under a prefix, for use in tests. */
  valuesUnder(prefix: string): Body[] {
    return this.data.valuesUnder(prefix);
  }

  private wait(ms: number): Promise<void> {
    return new Promise((done) => this.time.after(ms, done));
  }

  private isRefused(host: string): boolean {
    return this.refusedHosts.has(ALL_HOSTS) || this.refusedHosts.has(host);
  }

  private serve(from: string, call: Call): Promise<Answer> | Answer {
    this.expireLeases();
    const url = new URL(`http://store${call.path}`);
    const path = url.pathname;
    const isRead = path === '/changes' || path.startsWith('/store');
    if (isRead && this.readRefusedHosts.has(from)) return { status: 429, body: {} };
    if (path === '/changes') return this.watch(url, from);
    if (this.isRefused(from)) return { status: 503, body: ERROR_BODY };
    if (path === '/commit') return this.serveCommit(from, call.body ?? {});
    if (path === '/store') return this.list(url);
    if (path.startsWith('/store/')) return this.get(path.slice('/store/'.length));
    return path === '/leases' ? this.grantLease(call.body) : this.extendLease(path);
  }

  private get(key: string): Answer {
    const record = this.data.get(key);
    return record
      ? { status: 200, body: { key, value: record.value, stamp: record.modRevision } }
      : { status: 404, body: { generation: this.data.revision } };
  }

  private list(url: URL): Answer {
    const prefix = url.searchParams.get('under') ?? '';
    const since = url.searchParams.get('since') ?? '';
    const requestedItems = Number(url.searchParams.get('page') ?? MAX_PAGE_ITEMS);
    const pageSize = Math.min(this.maxPageItems, requestedItems);
    const records = this.data.sortedUnder(prefix, since);
    const items = records
      .slice(0, pageSize)
      .map(([key, { value, modRevision }]) => ({ key, value, stamp: modRevision }));
    return {
      status: 200,
      body: { items, more: records.length > pageSize, generation: this.data.revision },
    };
  }

  private grantLease(body: Body | undefined): Answer {
    const lifeMs = Number(body?.['life_ms']);
    if (!Number.isInteger(lifeMs) || lifeMs < MIN_LEASE_MS) return { status: 400, body: {} };
    return { status: 200, body: { lease: this.data.grantLease(lifeMs, this.time.now) } };
  }

  private extendLease(path: string): Answer {
    const [, id] = /^\/leases\/(\d+)\/extend$/.exec(path) ?? [];
    if (id === undefined || !this.data.extendLease(Number(id), this.time.now))
      return { status: 404, body: {} };
    return { status: 200, body: { lease: Number(id) } };
  }

  private expireLeases(): void {
    if (this.refusedHosts.has(ALL_HOSTS)) return;
    if (this.data.expireLeases(this.time.now)) this.wakeWatches();
  }

  private serveCommit(from: string, body: Body): Promise<Answer> | Answer {
    if (this.delayedCommitShare > 0 && this.random.chance(this.delayedCommitShare))
      return this.delayCommit(from, body);
    const answer = this.commit(body);
    if (!this.unansweredHosts.has(from)) return answer;
    this.answersLost++;
    return noAnswer();
  }

  private delayCommit(from: string, body: Body): Promise<Answer> {
    this.onDelayedCommit?.(from);
    this.time.after(this.random.real(...COMMIT_DELAY_RANGE_MS), () => {
      if (this.commit(structuredClone(body)).status === 200) this.delayedCommits.applied++;
      else this.delayedCommits.failed++;
    });
    return noAnswer();
  }

  private commit(body: Body): Answer {
    const conditions = (body['guards'] ?? []) as WireCondition[];
    const writes = (body['apply'] ?? []) as WireWrite[];
    if (writes.some(({ lease }) => lease !== undefined && !this.data.hasLease(lease)))
      return { status: 400, body: { error: 'no such lease' } };
    if (this.isOversized(conditions, writes, JSON.stringify(body).length))
      return { status: 400, body: { error: 'over a limit' } };
    const failed = this.data.failedConditions(conditions);
    if (failed.length > 0) {
      this.conflicts++;
      return { status: 409, body: { failed, generation: this.data.revision } };
    }
    this.countWrites(writes);
    this.data.apply(writes);
    this.wakeWatches();
    this.onApplied?.(this.data.entries());
    return { status: 200, body: { generation: this.data.revision } };
  }

  private countWrites(writes: readonly WireWrite[]): void {
    this.writes += writes.length;
    for (const write of writes) {
      const kind = writtenKey(write).split('/')[1] ?? '';
      this.writesByKind.set(kind, (this.writesByKind.get(kind) ?? 0) + 1);
    }
  }

  /** Whether a transaction exceeds a limit. Updates `peakUsage`, and `oversized` if it does. */
  private isOversized(
    conditions: readonly WireCondition[],
    writes: readonly WireWrite[],
    bytes: number,
  ): boolean {
    const { value_kb: valueKb, txn_ops: maxWrites } = this.limits;
    const valueBytes = writes.map(({ value }) => JSON.stringify(value ?? {}).length);
    const usage: Usage = {
      value: Math.max(0, ...valueBytes) / (valueKb * 1024),
      ops: writes.length / maxWrites,
      bytes: bytes / MAX_TRANSACTION_BYTES,
      guards: conditions.length / (maxWrites * MAX_CONDITIONS_PER_WRITE),
    };
    for (const kind of ['value', 'ops', 'bytes', 'guards'] as const) {
      this.peakUsage[kind] = Math.max(this.peakUsage[kind], usage[kind]);
      if (usage[kind] > 1)
        this.oversized.push(`${kind}: ${writes.map(({ put }) => put ?? 'delete').join(' ')}`);
    }
    return Object.values(usage).some((share) => share > 1);
  }

  private wakeWatches(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /** Answers a watch, after a delay if the host is in `watchDelayMs`. */
  private async watch(url: URL, from: string): Promise<Answer> {
    const answer = await this.changes(url, from);
    const delayMs = this.watchDelayMs.get(from) ?? 0;
    if (delayMs > 0) await this.wait(delayMs);
    return answer;
  }

  /** Waits until there are changes, or until the request's `block_ms` have passed. */
  private async changes(url: URL, from: string): Promise<Answer> {
    const prefix = url.searchParams.get('under') ?? '';
    const since = Number(url.searchParams.get('since') ?? 0);
    const until = this.time.now + Number(url.searchParams.get('block_ms') ?? 0);
    if (this.isRefused(from)) return { status: 503, body: {} };
    for (;;) {
      this.expireLeases();
      const changes = this.data.changesUnder(prefix, since);
      if (!this.isRefused(from) && (changes.length > 0 || this.time.now >= until)) {
        const log = changes.map(({ key, value, modRevision }) =>
          value ? { put: key, value, stamp: modRevision } : { delete: key, stamp: modRevision },
        );
        return { status: 200, body: { generation: this.data.revision, log } };
      }
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
        this.time.after(WATCH_POLL_MS, resolve);
      });
    }
  }
}
