import type { Answer, Call } from '../../src/wire/client.js';
import type { SeededRandom, Timeline } from './time.js';

export interface FakeMachineType {
  sku: string;
  cpus: number;
  cards: number;
  memory_gb: number;
  rate: number;
  low_price: number;
  ready_s: number;
  sites: string[];
}

interface Rented {
  uid: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  at: number;
  phase: 'booting' | 'running' | 'failed';
}

/** A stand-in of the cloud, by its published protocol; its list lags. */
export class FakeCloud {
  readonly rented = new Map<string, Rented>();
  private readonly claims = new Map<string, string[]>();
  private past: { at: number; boxes: Rented[] }[] = [];
  private next = 0;
  out = false;

  constructor(
    private readonly time: Timeline,
    private readonly chance: SeededRandom,
    private readonly flavors: FakeMachineType[],
    private readonly capacity: number,
    private readonly lagMs: number,
    private readonly onUp: (box: Rented) => void,
    private readonly onGone: (uid: string) => void,
    private readonly addressOf: (uid: string) => string,
  ) {
    this.remember();
  }

  private remember(): void {
    const boxes = [...this.rented.values()].map((box) => ({ ...box }));
    this.past.push({ at: this.time.now, boxes });
    if (this.past.length > 60) this.past.shift();
    this.time.after(500, () => {
      this.remember();
    });
  }

  handle(call: Call): Answer {
    if (this.out) return { status: 503, body: { error: 'trouble' } };
    const path = call.path.split('?', 1)[0];
    if (path === '/machine_types') return { status: 200, body: { flavors: this.flavors } };
    if (path === '/rentals' && call.method === 'POST') return this.rent(call);
    if (path === '/rentals/delete') {
      for (const uid of (call.body?.['boxes'] ?? []) as string[])
        if (this.rented.delete(uid)) this.onGone(uid);
      return { status: 200, body: {} };
    }
    if (path === '/rentals') {
      const old = this.past.filter(({ at }) => at <= this.time.now - this.lagMs).at(-1);
      const boxes = (old?.boxes ?? []).map((box) => ({
        ...box,
        address: this.addressOf(box.uid),
        held_s: ((old?.at ?? 0) - box.at) / 1000,
      }));
      return { status: 200, body: { boxes, more: false } };
    }
    return { status: 404, body: {} };
  }

  /** Machines that are up from the start. */
  begin(count: number): void {
    const [flavor] = this.flavors;
    for (let at = 0; at < count && flavor; at++) {
      const uid = `i-${String(this.next++).padStart(6, '0')}`;
      const site = flavor.sites[at % flavor.sites.length] ?? '';
      const box: Rented = {
        uid,
        flavor: flavor.sku,
        site,
        reclaimable: false,
        at: this.time.now,
        phase: 'running',
      };
      this.rented.set(uid, box);
      this.onUp(box);
    }
  }

  private rent(call: Call): Answer {
    const { claim, flavor, site, reclaimable, count } = call.body ?? {};
    const same = this.claims.get(String(claim));
    if (same) return { status: 200, body: { boxes: same } };
    const known = this.flavors.find((one) => one.sku === flavor);
    if (!known) return { status: 400, body: {} };
    const here = [...this.rented.values()].filter(
      (box) =>
        box.flavor === flavor && box.site === site && box.reclaimable === (reclaimable === true),
    ).length;
    const got = Math.min(Number(count), this.capacity - here);
    if (got <= 0) return { status: 503, body: { error: 'no capacity' } };
    const boxes: string[] = [];
    for (let at = 0; at < got; at++) {
      const box: Rented = {
        uid: `i-${String(this.next++).padStart(6, '0')}`,
        flavor: known.sku,
        site: String(site),
        reclaimable: reclaimable === true,
        at: this.time.now,
        phase: 'booting',
      };
      this.rented.set(box.uid, box);
      boxes.push(box.uid);
      this.time.after(known.ready_s * 1000 * this.chance.real(0.6, 1.5), () => {
        if (this.rented.get(box.uid) !== box) return;
        box.phase = 'running';
        this.onUp(box);
      });
    }
    this.claims.set(String(claim), boxes);
    return { status: 200, body: { boxes } };
  }
}
