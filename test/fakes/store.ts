/** A fake of the state service, by its published protocol, with the faults that tests inject into it. */
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { StoreData, writtenKey, type WireCondition, type WireWrite } from './store-data.js';
import type { SeededRandom, Timeline } from './time.js';

/** In `refusedHosts`: all of them. */
const ALL_HOSTS = '*';
const SHORTEST_LEASE_MS = 100;
/** A page has at most so many records. */
const PAGE_ITEMS = 1000;
/** Watches look for leases that are over this often. */
const WATCH_POLL_MS = 50;
/** Delayed commits are carried out this much later, least and most. */
const COMMIT_DELAY_MS: readonly [number, number] = [2000, 12_000];
const TRANSACTION_BYTES = 64 * 1024;
/** A transaction may have so many times as many conditions as writes. */
const CONDITIONS_PER_WRITE = 4;

const ERROR: Body = { error: 'trouble' };
const noAnswer = (): Promise<Answer> => new Promise<Answer>(() => undefined);

/** What a transaction takes of each limit, as shares. */
interface Usage {
  value: number;
  ops: number;
  bytes: number;
  guards: number;
}

export class FakeStateStore {
  /** Hosts that are refused now; `*` stands for all. */
  refusedHosts = new Set<string>();
  /** How much longer each request takes. */
  extraLatencyMs = 0;
  /** Least and most that a request takes on its way and its answer on the way back, drawn for each; null: no time. */
  latencyMs: readonly [number, number] | null = null;
  /** Share of the requests, leases excepted, that get 429 or 503 instead of being served. */
  errorShare = 0;
  /** A reading gets at most this many records at a time. */
  pageItems = PAGE_ITEMS;
  /** Host -> how much later it gets the answers to its watches, as they were when they were made. */
  readonly watchDelayMs = new Map<string, number>();
  /** Hosts whose reads and watches get 429; their transactions and leases are served. */
  readonly readRefusedHosts = new Set<string>();
  /** Called after each transaction that was applied, with the records as they stand then. */
  onApplied: ((records: Iterable<readonly [string, Body]>) => void) | null = null;
  /** Hosts whose transactions are carried out at once, but get no answer. */
  readonly unansweredHosts = new Set<string>();
  /** Transactions that were carried out and not answered. */
  answersLost = 0;
  /** Share of the transactions that get no answer and are carried out seconds later, after newer ones. */
  lateCommitShare = 0;
  /** Told of the host of each transaction that is delayed. */
  onDelayedCommit: ((host: string) => void) | null = null;
  /** Delayed transactions whose conditions held, and those that failed on them. */
  readonly lateCommits = { applied: 0, failed: 0 };

  /** Puts and deletes that were applied, in all and by kind of record. */
  writes = 0;
  readonly writesByKind = new Map<string, number>();
  /** Transactions that failed on a condition. */
  conflicts = 0;
  /** Requests over the limits of the settings: none may ever come. */
  readonly oversized: string[] = [];
  /** Largest value, transaction and number of conditions seen, as shares of their limits. */
  readonly peakUsage: Usage = { value: 0, ops: 0, bytes: 0, guards: 0 };

  private readonly data = new StoreData();
  private waiters: (() => void)[] = [];

  constructor(
    private readonly time: Timeline,
    private readonly random: SeededRandom,
    private readonly limits: { value_kb: number; txn_ops: number },
  ) {}

  /** Refuses everybody for a while; leases last for their whole time after it. */
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
      ? { status: this.random.chance(0.5) ? 429 : 503, body: ERROR }
      : await this.serve(from, call);
    await this.wait(this.random.real(...latencyMs) / 2);
    return answer;
  }

  /** What is stored under a key, for tests to look at. */
  peek(key: string): Body | undefined {
    return this.data.get(key)?.value;
  }

  /** All values under a prefix, for tests to look at. */
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
    if (this.isRefused(from)) return { status: 503, body: ERROR };
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
    const wanted = Number(url.searchParams.get('page') ?? PAGE_ITEMS);
    const page = Math.min(this.pageItems, wanted);
    const records = this.data.sortedUnder(prefix, since);
    const items = records
      .slice(0, page)
      .map(([key, { value, modRevision }]) => ({ key, value, stamp: modRevision }));
    return {
      status: 200,
      body: { items, more: records.length > page, generation: this.data.revision },
    };
  }

  private grantLease(body: Body | undefined): Answer {
    const lifeMs = Number(body?.['life_ms']);
    if (!Number.isInteger(lifeMs) || lifeMs < SHORTEST_LEASE_MS) return { status: 400, body: {} };
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
    if (this.lateCommitShare > 0 && this.random.chance(this.lateCommitShare))
      return this.delayCommit(from, body);
    const answer = this.commit(body);
    if (!this.unansweredHosts.has(from)) return answer;
    this.answersLost++;
    return noAnswer();
  }

  private delayCommit(from: string, body: Body): Promise<Answer> {
    this.onDelayedCommit?.(from);
    this.time.after(this.random.real(...COMMIT_DELAY_MS), () => {
      if (this.commit(structuredClone(body)).status === 200) this.lateCommits.applied++;
      else this.lateCommits.failed++;
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

  /** Whether a transaction exceeds a limit, which is noted. */
  private isOversized(
    conditions: readonly WireCondition[],
    writes: readonly WireWrite[],
    bytes: number,
  ): boolean {
    const { value_kb: valueKb, txn_ops: mostWrites } = this.limits;
    const valueBytes = writes.map(({ value }) => JSON.stringify(value ?? {}).length);
    const usage: Usage = {
      value: Math.max(0, ...valueBytes) / (valueKb * 1024),
      ops: writes.length / mostWrites,
      bytes: bytes / TRANSACTION_BYTES,
      guards: conditions.length / (mostWrites * CONDITIONS_PER_WRITE),
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

  /** Answers a watch, late if its host's watches are delayed. */
  private async watch(url: URL, from: string): Promise<Answer> {
    const answer = await this.changes(url, from);
    const delayMs = this.watchDelayMs.get(from) ?? 0;
    if (delayMs > 0) await this.wait(delayMs);
    return answer;
  }

  /** Waits until there are changes, or for as long as the request says. */
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
