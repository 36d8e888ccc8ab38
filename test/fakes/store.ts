import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { SeededRandom, Timeline } from './time.js';

interface Kept {
  value: Body;
  stamp: number;
  lease: number | null;
}

/** A stand-in of the state service, by its published protocol. */
export class FakeStateStore {
  private readonly keys = new Map<string, Kept>();
  private readonly leases = new Map<number, { lifeMs: number; ends: number }>();
  private log: { key: string; value: Body | null; stamp: number }[] = [];
  private generation = 0;
  private nextLease = 1;
  private waiters: (() => void)[] = [];
  /** Hosts that are refused now; `*` stands for all. */
  refusedHosts = new Set<string>();
  /** How much longer each request takes. */
  extraLatencyMs = 0;
  /** Least and most that a request takes on its way and its answer on the way back, drawn for each; null: no time. */
  latencyMs: readonly [number, number] | null = null;
  /** Share of the requests, leases excepted, that get 429 or 503 instead of being served. */
  errorShare = 0;
  /** A reading gets at most this many records at a time. */
  pageItems = 1000;
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
  /** Share of the transactions that get no answer and are carried out 2 to 12 s later, after newer ones. */
  lateCommitShare = 0;
  /** Told of the host of each transaction that is held up. */
  onDelayedCommit: ((host: string) => void) | null = null;
  /** Late transactions whose guards held, and those that failed on them. */
  readonly lateCommits = { applied: 0, failed: 0 };

  /** Puts and deletes that were applied, and transactions that failed on a guard. */
  writes = 0;
  /** The same by kind of record. */
  readonly writesByKind = new Map<string, number>();
  conflicts = 0;
  /** Requests over the limits of the settings: none may ever come. */
  readonly oversized: string[] = [];
  /** Largest value, transaction and number of guards seen, as shares of their limits. */
  readonly peakUsage = { value: 0, ops: 0, bytes: 0, guards: 0 };

  constructor(
    private readonly time: Timeline,
    private readonly random: SeededRandom,
    private readonly limits: { value_kb: number; txn_ops: number },
  ) {}

  outage(forMs: number): void {
    this.refusedHosts.add('*');
    this.time.after(forMs, () => {
      this.refusedHosts.delete('*');
      for (const lease of this.leases.values()) lease.ends = this.time.now + lease.lifeMs;
      this.notify();
    });
  }

  async handle(from: string, call: Call): Promise<Answer> {
    if (this.extraLatencyMs > 0) await this.wait(this.extraLatencyMs);
    const { latencyMs } = this;
    if (!latencyMs) return this.serve(from, call);
    await this.wait(this.random.real(...latencyMs) / 2);
    const isTroubled = this.random.chance(this.errorShare) && !call.path.startsWith('/leases');
    const answer = isTroubled
      ? { status: this.random.chance(0.5) ? 429 : 503, body: { error: 'trouble' } }
      : await this.serve(from, call);
    await this.wait(this.random.real(...latencyMs) / 2);
    return answer;
  }

  private wait(ms: number): Promise<void> {
    return new Promise((done) => this.time.after(ms, done));
  }

  private serve(from: string, call: Call): Promise<Answer> | Answer {
    this.expire();
    const url = new URL(`http://store${call.path}`);
    const path = url.pathname;
    const refused = this.refusedHosts.has('*') || this.refusedHosts.has(from);
    const isRead = path === '/changes' || path.startsWith('/store');
    if (isRead && this.readRefusedHosts.has(from)) return { status: 429, body: {} };
    if (path === '/changes') return this.changesLater(url, from);
    if (refused) return { status: 503, body: { error: 'trouble' } };
    if (path === '/commit') {
      const { body = {} } = call;
      if (this.lateCommitShare > 0 && this.random.chance(this.lateCommitShare))
        return this.holdUp(from, body);
      const answer = this.commit(body);
      if (!this.unansweredHosts.has(from)) return answer;
      this.answersLost++;
      return new Promise<Answer>(() => undefined);
    }
    if (path === '/store') return this.list(url);
    if (path.startsWith('/store/')) return this.get(path.slice('/store/'.length));
    if (path === '/leases') {
      const lifeMs = Number(call.body?.['life_ms']);
      if (!Number.isInteger(lifeMs) || lifeMs < 100) return { status: 400, body: {} };
      const lease = this.nextLease++;
      this.leases.set(lease, { lifeMs, ends: this.time.now + lifeMs });
      return { status: 200, body: { lease } };
    }
    const extend = /^\/leases\/(\d+)\/extend$/.exec(path);
    const lease = this.leases.get(Number(extend?.[1]));
    if (!extend || !lease) return { status: 404, body: {} };
    lease.ends = this.time.now + lease.lifeMs;
    return { status: 200, body: { lease: Number(extend[1]) } };
  }

  private holdUp(from: string, body: Body): Promise<Answer> {
    this.onDelayedCommit?.(from);
    this.time.after(this.random.real(2000, 12_000), () => {
      if (this.commit(structuredClone(body)).status === 200) this.lateCommits.applied++;
      else this.lateCommits.failed++;
    });
    return new Promise<Answer>(() => undefined);
  }

  /** What is kept under a key, for tests to look at. */
  peek(key: string): Body | undefined {
    return this.keys.get(key)?.value;
  }

  /** All values under a prefix, for tests to look at. */
  valuesUnder(prefix: string): Body[] {
    return [...this.keys].filter(([key]) => key.startsWith(prefix)).map(([, { value }]) => value);
  }

  private get(key: string): Answer {
    const kept = this.keys.get(key);
    return kept
      ? { status: 200, body: { key, value: kept.value, stamp: kept.stamp } }
      : { status: 404, body: { generation: this.generation } };
  }

  private list(url: URL): Answer {
    const under = url.searchParams.get('under') ?? '';
    const since = url.searchParams.get('since') ?? '';
    const page = Math.min(this.pageItems, Number(url.searchParams.get('page') ?? 1000));
    const all = [...this.keys]
      .filter(([key]) => key.startsWith(under) && key > since)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = all
      .slice(0, page)
      .map(([key, kept]) => ({ key, value: kept.value, stamp: kept.stamp }));
    return {
      status: 200,
      body: { items, more: all.length > page, generation: this.generation },
    };
  }

  private commit(body: Body): Answer {
    const guards = (body['guards'] ?? []) as { key: string; stamp: number }[];
    const apply = (body['apply'] ?? []) as {
      put?: string;
      delete?: string;
      value?: Body;
      lease?: number;
    }[];
    for (const change of apply)
      if (change.lease !== undefined && !this.leases.has(change.lease))
        return { status: 400, body: { error: 'no such lease' } };
    if (this.over(guards.length, apply, JSON.stringify(body).length))
      return { status: 400, body: { error: 'over a limit' } };
    const failed = guards
      .filter(({ key, stamp }) => (this.keys.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) this.conflicts++;
    if (failed.length > 0) return { status: 409, body: { failed, generation: this.generation } };
    this.generation++;
    this.writes += apply.length;
    for (const change of apply) {
      const kind = (change.put ?? change.delete ?? '').split('/')[1] ?? '';
      this.writesByKind.set(kind, (this.writesByKind.get(kind) ?? 0) + 1);
    }
    for (const change of apply) {
      if (change.put !== undefined)
        this.set(change.put, structuredClone(change.value ?? {}), change.lease ?? null);
      else if (change.delete !== undefined) this.drop(change.delete);
    }
    this.notify();
    this.onApplied?.(this.records());
    return { status: 200, body: { generation: this.generation } };
  }

  private *records(): Generator<readonly [string, Body]> {
    for (const [key, { value }] of this.keys) yield [key, value];
  }

  private over(guards: number, apply: { put?: string; value?: Body }[], bytes: number): boolean {
    const { value_kb, txn_ops } = this.limits;
    const values = apply.map(({ value }) => JSON.stringify(value ?? {}).length);
    const now = {
      value: Math.max(0, ...values) / (value_kb * 1024),
      ops: apply.length / txn_ops,
      bytes: bytes / (64 * 1024),
      guards: guards / (txn_ops * 4),
    };
    for (const kind of ['value', 'ops', 'bytes', 'guards'] as const) {
      this.peakUsage[kind] = Math.max(this.peakUsage[kind], now[kind]);
      if (now[kind] > 1)
        this.oversized.push(`${kind}: ${apply.map(({ put }) => put ?? 'delete').join(' ')}`);
    }
    return Object.values(now).some((share) => share > 1);
  }

  private set(key: string, value: Body, lease: number | null): void {
    this.keys.set(key, { value, stamp: this.generation, lease });
    this.log.push({ key, value, stamp: this.generation });
  }

  private drop(key: string): void {
    if (this.keys.delete(key)) this.log.push({ key, value: null, stamp: this.generation });
  }

  private expire(): void {
    if (this.refusedHosts.has('*')) return;
    for (const [id, lease] of this.leases) {
      if (lease.ends > this.time.now) continue;
      this.leases.delete(id);
      const ended = [...this.keys].filter(([, kept]) => kept.lease === id);
      if (ended.length === 0) continue;
      this.generation++;
      for (const [key] of ended) this.drop(key);
      this.notify();
    }
  }

  private notify(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  private async changesLater(url: URL, from: string): Promise<Answer> {
    const answer = await this.changes(url, from);
    const delayMs = this.watchDelayMs.get(from) ?? 0;
    if (delayMs > 0) await this.wait(delayMs);
    return answer;
  }

  private async changes(url: URL, from: string): Promise<Answer> {
    const under = url.searchParams.get('under') ?? '';
    const since = Number(url.searchParams.get('since') ?? 0);
    const until = this.time.now + Number(url.searchParams.get('block_ms') ?? 0);
    if (this.refusedHosts.has('*') || this.refusedHosts.has(from)) return { status: 503, body: {} };
    for (;;) {
      this.expire();
      const refused = this.refusedHosts.has('*') || this.refusedHosts.has(from);
      const events = this.log.filter(({ key, stamp }) => stamp > since && key.startsWith(under));
      if (!refused && (events.length > 0 || this.time.now >= until))
        return {
          status: 200,
          body: {
            generation: this.generation,
            log: events.map(({ key, value, stamp }) =>
              value ? { put: key, value, stamp } : { delete: key, stamp },
            ),
          },
        };
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
        this.time.after(50, resolve);
      });
    }
  }
}
