/* eslint-disable */
// A cloud by the published protocol. It rents what its capacity allows; its list of machines is late.
import { serve, portOf } from './wire.js';

const BURST_SECONDS = 2;

export class Cloud {
  /** `capacity` maps 'flavor site spot|ordinary' to the machines that can still be rented. */
  constructor({ flavors, rps, listLagS, capacity = {}, onUp, onGone, note }) {
    Object.assign(this, { flavors, rps, listLagS, onUp, onGone, note });
    this.capacity = new Map(Object.entries(capacity));
    this.boxes = new Map();
    this.claims = new Map();
    this.history = [];
    this.next = 231;
    this.tokens = { left: rps * BURST_SECONDS, at: performance.now() };
  }

  async start() {
    this.server = await serve((request) => this.handle(request));
    this.address = `127.0.0.1:${portOf(this.server)}`;
    this.timer = setInterval(() => this.remember(), 500);
    this.remember();
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Adds a machine that is up already, as at the start of a deployment. */
  addUp(flavor, site, reclaimable = false) {
    const box = this.add(flavor, site, reclaimable);
    box.at = performance.now() - 600_000;
    box.phase = 'running';
    return this.onUp(box);
  }

  add(flavor, site, reclaimable) {
    const uid = `i-${String(this.next++).padStart(6, '0')}`;
    const box = { uid, flavor, site, reclaimable, phase: 'booting', at: performance.now() };
    this.boxes.set(uid, box);
    return box;
  }

  remember() {
    this.history.push({
      at: performance.now(),
      boxes: [...this.boxes.values()].map((box) => ({ ...box })),
    });
    if (this.history.length > 200) this.history.shift();
  }

  async handle({ method, path, query, body }) {
    const now = performance.now();
    const refill = ((now - this.tokens.at) / 1000) * this.rps;
    this.tokens.left = Math.min(this.rps * BURST_SECONDS, this.tokens.left + refill);
    this.tokens.at = now;
    if (this.tokens.left < 1) return { status: 429, body: {} };
    this.tokens.left--;
    if (path === '/machine_types') return { status: 200, body: { flavors: this.flavors } };
    if (path === '/rentals' && method === 'POST') return this.rent(body);
    if (path === '/rentals') return this.list(query);
    if (path === '/rentals/delete') return this.delete(body.boxes ?? []);
    return { status: 404, body: {} };
  }

  rent({ claim, flavor, site, reclaimable, count }) {
    const known = this.claims.get(claim);
    if (known) return { status: 200, body: { boxes: known } };
    const type = this.flavors.find(({ sku }) => sku === flavor);
    if (!type || !(count >= 1 && count <= 50)) return { status: 400, body: {} };
    const kind = `${flavor} ${site} ${reclaimable ? 'spot' : 'ordinary'}`;
    const granted = Math.min(count, this.capacity.get(kind) ?? 0);
    this.note(`cloud: rental ${claim}: ${count} of ${kind}: ${granted} granted`);
    if (granted === 0) return { status: 503, body: { error: 'no capacity' } };
    this.capacity.set(kind, this.capacity.get(kind) - granted);
    const boxes = [];
    for (let index = 0; index < granted; index++) {
      const box = this.add(flavor, site, reclaimable);
      boxes.push(box.uid);
      setTimeout(() => {
        if (this.boxes.get(box.uid) !== box) return;
        box.phase = 'running';
        void this.onUp(box);
      }, type.ready_s * 1000);
    }
    this.claims.set(claim, boxes);
    return { status: 200, body: { boxes } };
  }

  delete(names) {
    for (const uid of names) {
      if (!this.boxes.delete(uid)) continue;
      this.note(`cloud: ${uid} deleted`);
      this.onGone(uid);
    }
    return { status: 200, body: {} };
  }

  list(query) {
    const since = query.get('since') ?? '';
    const page = Math.min(500, Number(query.get('page') ?? 500));
    const seenAt = performance.now() - this.listLagS * 1000;
    const past = this.history.filter(({ at }) => at <= seenAt).at(-1) ?? this.history[0];
    const all = past.boxes.filter(({ uid }) => uid > since);
    const boxes = all
      .slice(0, page)
      .map(({ uid, address, flavor, site, reclaimable, phase, at }) => ({
        uid,
        address: address ?? '',
        flavor,
        site,
        reclaimable,
        phase,
        held_s: Math.max(0, (past.at - at) / 1000),
      }));
    return { status: 200, body: { boxes, more: all.length > page } };
  }
}
