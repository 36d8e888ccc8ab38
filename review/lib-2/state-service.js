/* eslint-disable */
// A state service by the published protocol: versions, conditions, leases, watches, limits.
import { serve, portOf } from './wire.js';

const KEPT_CHANGES = 10_000;
const PAGE_BYTES = 512 * 1024;

export class StateService {
  constructor({ rps, writeRps, valueKb, txnOps }) {
    this.limits = { rps, writeRps, valueKb, txnOps };
    this.records = new Map();
    this.log = [];
    this.revision = 0;
    this.leases = new Map();
    this.nextLease = 1;
    this.waiters = new Set();
    this.tokens = { rps, writes: writeRps, at: performance.now() };
    /** During an outage every request is answered with 503. */
    this.isOut = false;
    this.refused429 = 0;
  }

  async start() {
    this.server = await serve((request) => this.handle(request));
    this.address = `127.0.0.1:${portOf(this.server)}`;
    this.timer = setInterval(() => this.expireLeases(), 50);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  refill() {
    const now = performance.now();
    const seconds = (now - this.tokens.at) / 1000;
    const { rps, writeRps } = this.limits;
    this.tokens.rps = Math.min(rps, this.tokens.rps + seconds * rps);
    this.tokens.writes = Math.min(writeRps, this.tokens.writes + seconds * writeRps);
    this.tokens.at = now;
  }

  take(kind, count) {
    this.refill();
    if (this.tokens[kind] < count) {
      this.refused429++;
      return false;
    }
    this.tokens[kind] -= count;
    return true;
  }

  expireLeases() {
    if (this.isOut) return;
    const now = performance.now();
    const ended = [...this.leases].filter(([, lease]) => lease.until <= now).map(([id]) => id);
    for (const id of ended) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.records].filter(([, record]) => record.lease === id).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ delete: key })));
  }

  apply(writes) {
    this.revision++;
    for (const write of writes) {
      if ('delete' in write) {
        if (this.records.delete(write.delete))
          this.log.push({
            key: write.delete,
            entry: { delete: write.delete, stamp: this.revision },
          });
      } else {
        const record = { value: write.value, stamp: this.revision, lease: write.lease };
        this.records.set(write.put, record);
        this.log.push({
          key: write.put,
          entry: { put: write.put, value: write.value, stamp: this.revision },
        });
      }
    }
    if (this.log.length > KEPT_CHANGES) {
      const dropped = this.log.splice(0, this.log.length - KEPT_CHANGES);
      this.droppedUpTo = dropped.at(-1).entry.stamp;
    }
    for (const wake of [...this.waiters]) wake();
  }

  async handle({ method, path, query, body }) {
    if (path === '/changes') return this.changes(query);
    if (this.isOut) return { status: 503, body: { error: 'trouble' } };
    if (!this.take('rps', 1)) return { status: 429, body: {} };
    if (path === '/commit') return this.commit(body);
    if (path === '/store') return this.list(query);
    if (path.startsWith('/store/')) return this.get(decodeURI(path.slice('/store/'.length)), path);
    if (path === '/leases') return this.grant(body);
    const [, id, verb] = /^\/leases\/(\d+)(\/extend)?$/.exec(path) ?? [];
    if (id === undefined) return { status: 400, body: {} };
    return this.changeLease(Number(id), verb, method);
  }

  get(_, path) {
    const key = path.slice('/store/'.length);
    const record = this.records.get(key);
    if (!record) return { status: 404, body: { generation: this.revision } };
    const { value, stamp, lease } = record;
    return { status: 200, body: { key, value, stamp, ...(lease ? { lease } : {}) } };
  }

  list(query) {
    const under = query.get('under') ?? '';
    const since = query.get('since') ?? '';
    const page = Math.min(1000, Number(query.get('page') ?? 1000));
    const keys = [...this.records.keys()]
      .filter((key) => key.startsWith(under) && key > since)
      .sort((a, b) => (a < b ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, stamp } = this.records.get(key);
      bytes += JSON.stringify(value).length + key.length + 40;
      if (items.length > 0 && (items.length >= page || bytes > PAGE_BYTES)) break;
      items.push({ key, value, stamp });
    }
    return {
      status: 200,
      body: { items, more: items.length < keys.length, generation: this.revision },
    };
  }

  commit({ guards = [], apply = [] }) {
    const { valueKb, txnOps } = this.limits;
    const tooLarge =
      apply.length > txnOps ||
      guards.length > 4 * txnOps ||
      Buffer.byteLength(JSON.stringify({ guards, apply })) > 64 * 1024 ||
      apply.some(({ value }) => value && Buffer.byteLength(JSON.stringify(value)) > valueKb * 1024);
    if (tooLarge) return { status: 400, body: { error: 'over a limit' } };
    if (!this.take('writes', apply.length)) return { status: 429, body: {} };
    if (apply.some(({ lease }) => lease != null && !this.leases.has(lease)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = guards
      .filter(({ key, stamp }) => (this.records.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, generation: this.revision } };
    if (apply.length > 0) this.apply(apply);
    return { status: 200, body: { generation: this.revision } };
  }

  grant({ life_ms }) {
    if (!(life_ms >= 100 && life_ms <= 600_000)) return { status: 400, body: {} };
    const id = this.nextLease++;
    this.leases.set(id, { lifeMs: life_ms, until: performance.now() + life_ms });
    return { status: 200, body: { lease: id } };
  }

  changeLease(id, verb, method) {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (verb) lease.until = performance.now() + lease.lifeMs;
    else if (method === 'DELETE') this.endLease(id);
    return { status: 200, body: { lease: id } };
  }

  async changes(query) {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since') ?? 0);
    const until = performance.now() + Math.min(60_000, Number(query.get('block_ms') ?? 0));
    if (this.isOut) return { status: 503, body: { error: 'trouble' } };
    if (!this.take('rps', 1)) return { status: 429, body: {} };
    for (;;) {
      if (!this.isOut) {
        if (since < (this.droppedUpTo ?? 0)) return { status: 410, body: {} };
        const log = [];
        for (let index = this.log.length - 1; index >= 0; index--) {
          const { key, entry } = this.log[index];
          if (entry.stamp <= since) break;
          if (key.startsWith(under)) log.push(entry);
        }
        if (log.length > 0 || performance.now() >= until)
          return { status: 200, body: { generation: this.revision, log: log.reverse() } };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, Math.min(100, until - performance.now())));
        this.waiters.add(wake);
      });
    }
  }
}
