/* eslint-disable */
// A stand-in for the state service, by PROTOCOL-tackvane.md.
const KEPT_CHANGES = 10_000;
const PAGE_BYTES = 512 * 1024;
const TXN_BYTES = 64 * 1024;

class Bucket {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = performance.now();
  }
  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

const bytesOf = (value) => Buffer.byteLength(JSON.stringify(value));

export class StateService {
  constructor({ rps, write_rps, value_kb, txn_ops }, record) {
    this.limits = { value_kb, txn_ops };
    this.requests = new Bucket(rps);
    this.writes = new Bucket(write_rps);
    this.record = record;
    this.generation = 1;
    this.records = new Map();
    this.log = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.waiters = new Set();
    /** Names of controllers that get 503 for everything. */
    this.refused = new Set();
    this.out = false;
    this.timer = setInterval(() => this.expire(), 20);
  }

  stop() {
    clearInterval(this.timer);
  }

  outage(on) {
    this.out = on;
    if (!on)
      for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.lifeMs;
    this.wake();
  }

  isRefused(from) {
    return this.out || this.refused.has(from);
  }

  wake() {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const waiter of waiters) waiter();
  }

  expire() {
    if (this.out) return;
    const now = performance.now();
    const ended = new Set();
    for (const [id, lease] of this.leases) if (lease.endsAt <= now) ended.add(id);
    for (const id of ended) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const gone = [...this.records].filter(([, { lease }]) => lease === id).map(([key]) => key);
    if (gone.length === 0) return;
    this.generation++;
    for (const key of gone) this.remove(key);
    this.wake();
  }

  remove(key) {
    if (!this.records.delete(key)) return;
    this.log.push({ delete: key, stamp: this.generation });
  }

  async handle(from, { method, path, body }) {
    await new Promise((resolve) => setTimeout(resolve, 2 + Math.random() * 3));
    const url = new URL(`http://state${path}`);
    if (url.pathname === '/changes') return this.changes(from, url);
    if (this.isRefused(from)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return { status: 429 };
    if (method === 'POST' && url.pathname === '/commit') return this.commit(from, body);
    if (method === 'GET' && url.pathname === '/store') return this.list(url);
    if (method === 'GET' && url.pathname.startsWith('/store/')) {
      const key = decodeURI(url.pathname.slice('/store/'.length));
      return this.get(key) ?? this.get(url.pathname.slice('/store/'.length)) ?? this.absent();
    }
    if (method === 'POST' && url.pathname === '/leases') return this.grant(body);
    const [, id, extend] = /^\/leases\/(\d+)(\/extend)?$/.exec(url.pathname) ?? [];
    if (id === undefined) return { status: 400 };
    const lease = this.leases.get(Number(id));
    if (!lease) return { status: 404 };
    if (extend && method === 'POST') lease.endsAt = performance.now() + lease.lifeMs;
    else if (method === 'DELETE') this.endLease(Number(id));
    else return { status: 400 };
    return { status: 200, body: { lease: Number(id) } };
  }

  absent() {
    return { status: 404, body: { generation: this.generation } };
  }

  get(key) {
    const found = this.records.get(key);
    if (!found) return null;
    const lease = found.lease === null ? {} : { lease: found.lease };
    return { status: 200, body: { key, value: found.value, stamp: found.stamp, ...lease } };
  }

  list(url) {
    const under = url.searchParams.get('under') ?? '';
    const since = url.searchParams.get('since') ?? '';
    const page = Math.min(1000, Number(url.searchParams.get('page') ?? 1000));
    const keys = [...this.records.keys()]
      .filter((key) => key.startsWith(under) && key > since)
      .sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, stamp } = this.records.get(key);
      bytes += bytesOf(value) + key.length + 40;
      if (items.length === page || (items.length > 0 && bytes > PAGE_BYTES)) break;
      items.push({ key, value, stamp });
    }
    const more = items.length < keys.length;
    return { status: 200, body: { items, more, generation: this.generation } };
  }

  grant(body) {
    const lifeMs = body.life_ms;
    if (!(Number.isInteger(lifeMs) && lifeMs >= 100 && lifeMs <= 600_000)) return { status: 400 };
    const id = this.nextLease++;
    this.leases.set(id, { lifeMs, endsAt: performance.now() + lifeMs });
    return { status: 200, body: { lease: id } };
  }

  commit(from, body) {
    const guards = body.guards ?? [];
    const apply = body.apply ?? [];
    const { value_kb, txn_ops } = this.limits;
    if (apply.some(({ lease }) => lease != null && !this.leases.has(lease)))
      return { status: 400, body: { error: 'no such lease' } };
    const tooLarge =
      apply.length > txn_ops ||
      guards.length > 4 * txn_ops ||
      bytesOf(body) > TXN_BYTES ||
      apply.some(({ value }) => value !== undefined && bytesOf(value) > value_kb * 1024);
    if (tooLarge) {
      this.record?.(`state: ${from} sent a transaction over a limit: 400`);
      return { status: 400, body: { error: 'over a limit' } };
    }
    if (!this.writes.take(apply.length)) return { status: 429 };
    const failed = guards
      .filter(({ key, stamp }) => (this.records.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, generation: this.generation } };
    if (apply.length > 0) {
      this.generation++;
      for (const change of apply) {
        if (change.put !== undefined) {
          const { put: key, value } = change;
          this.records.set(key, { value, stamp: this.generation, lease: change.lease ?? null });
          this.log.push({ put: key, value, stamp: this.generation });
        } else this.remove(change.delete);
      }
      if (this.log.length > KEPT_CHANGES) this.log.splice(0, this.log.length - KEPT_CHANGES);
      this.wake();
    }
    return { status: 200, body: { generation: this.generation } };
  }

  async changes(from, url) {
    const under = url.searchParams.get('under') ?? '';
    const since = Number(url.searchParams.get('since') ?? 0);
    const until = performance.now() + Number(url.searchParams.get('block_ms') ?? 0);
    if (this.isRefused(from)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return { status: 429 };
    for (;;) {
      const oldest = this.log[0]?.stamp ?? 0;
      if (this.log.length === KEPT_CHANGES && since < oldest - 1) return { status: 410 };
      const log = this.log.filter(
        (change) => change.stamp > since && (change.put ?? change.delete).startsWith(under),
      );
      if (!this.isRefused(from) && (log.length > 0 || performance.now() >= until))
        return { status: 200, body: { generation: this.generation, log } };
      await new Promise((resolve) => {
        const timer = setTimeout(done, 100);
        const waiters = this.waiters;
        function done() {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        }
        waiters.add(done);
      });
    }
  }
}
