/* eslint-disable */
// A stand-in for the cloud, by PROTOCOL-tackvane.md. It rents out nothing beyond the machines that are up at the start,
// unless it is given `capacity`.
export class Cloud {
  constructor({ machineTypes, listLagMs, capacity = 0, onUp, onGone, record }) {
    Object.assign(this, { machineTypes, listLagMs, capacity, onUp, onGone, record });
    this.rentals = new Map();
    this.gone = [];
    this.claims = new Map();
    this.next = 1;
  }

  add(flavor, site, reclaimable = false) {
    const uid = `i-${String(this.next++).padStart(6, '0')}`;
    const rental = {
      uid,
      flavor,
      site,
      reclaimable,
      at: performance.now(),
      phase: 'booting',
      address: '',
    };
    this.rentals.set(uid, rental);
    return rental;
  }

  handle({ method, path, body }) {
    const url = new URL(`http://cloud${path}`);
    if (url.pathname === '/machine_types')
      return { status: 200, body: { flavors: this.machineTypes } };
    if (url.pathname === '/rentals' && method === 'GET') return this.list(url);
    if (url.pathname === '/rentals') return this.rent(body);
    if (url.pathname === '/rentals/delete') {
      for (const uid of body.boxes ?? []) {
        const rental = this.rentals.get(uid);
        if (!rental) continue;
        this.rentals.delete(uid);
        this.gone.push({ ...rental, goneAt: performance.now() });
        this.record?.(`cloud: ${uid} deleted`);
        this.onGone?.(uid);
      }
      return { status: 200, body: {} };
    }
    return { status: 404 };
  }

  list(url) {
    const since = url.searchParams.get('since') ?? '';
    const page = Math.min(500, Number(url.searchParams.get('page') ?? 500));
    const asOf = performance.now() - this.listLagMs;
    const all = [...this.rentals.values(), ...this.gone.filter(({ goneAt }) => goneAt > asOf)]
      .filter(({ uid, at }) => at <= asOf && uid > since)
      .sort((one, two) => (one.uid < two.uid ? -1 : 1));
    const boxes = all
      .slice(0, page)
      .map(({ uid, address, flavor, site, reclaimable, phase, at }) => ({
        uid,
        address,
        flavor,
        site,
        reclaimable,
        phase,
        held_s: (asOf - at) / 1000,
      }));
    return { status: 200, body: { boxes, more: all.length > page } };
  }

  rent({ claim, flavor, site, reclaimable, count }) {
    const known = this.claims.get(claim);
    if (known) return { status: 200, body: { boxes: known } };
    const type = this.machineTypes.find(({ sku }) => sku === flavor);
    if (!type || !type.sites.includes(site)) return { status: 400 };
    const boxes = [];
    while (this.capacity > 0 && boxes.length < count) {
      this.capacity--;
      const rental = this.add(flavor, site, reclaimable);
      boxes.push(rental.uid);
      setTimeout(() => {
        if (this.rentals.has(rental.uid)) this.onUp?.(rental);
      }, type.ready_s * 1000);
    }
    if (boxes.length === 0) return { status: 503, body: { error: 'no capacity' } };
    this.claims.set(claim, boxes);
    this.record?.(`cloud: ${claim} rents ${boxes.join(' ')}`);
    return { status: 200, body: { boxes } };
  }
}
