import * as v from 'valibot';
import type { Caller } from '../wire/client.js';
import { NoAnswer } from '../wire/client.js';
import type { RentalClaim } from '../store/records.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

const MachineType = v.object({
  sku: v.string(),
  cpus: amount,
  cards: v.optional(amount, 0),
  memory_gb: amount,
  cache_gb: v.optional(amount, 0),
  pull_gb_per_s: v.optional(amount, 0),
  rate: amount,
  low_price: v.nullish(amount),
  ready_s: amount,
  sites: v.array(v.string()),
});
export type MachineType = v.InferOutput<typeof MachineType>;

const Rental = v.object({
  uid: v.string(),
  address: v.optional(v.string(), ''),
  flavor: v.string(),
  site: v.string(),
  reclaimable: v.boolean(),
  phase: v.picklist(['booting', 'running', 'failed']),
  held_s: v.optional(amount, 0),
});
export type Rental = v.InferOutput<typeof Rental>;

/** The cloud by its published protocol. Malformed answers count as none. */
export class CloudClient {
  constructor(
    private readonly call: Caller,
    private readonly timeoutMs: number,
  ) {}

  async flavors(): Promise<Map<string, MachineType>> {
    const answer = await this.get('/machine_types');
    const list = v.safeParse(v.array(MachineType), answer['flavors']);
    if (!list.success) throw new NoAnswer('cloud: malformed machine types');
    return new Map(list.output.map((flavor) => [flavor.sku, flavor]));
  }

  async rentals(): Promise<Rental[]> {
    const all: Rental[] = [];
    for (;;) {
      const since = all.at(-1)?.uid ?? '';
      const answer = await this.get(`/rentals?since=${encodeURIComponent(since)}&page=500`);
      const page = v.safeParse(v.array(Rental), answer['boxes']);
      if (!page.success) throw new NoAnswer('cloud: malformed machine list');
      all.push(...page.output);
      if (answer['more'] !== true || page.output.length === 0) return all;
    }
  }

  /** The machines rented under this claim; null when there is no capacity. */
  async rent(claim: RentalClaim): Promise<string[] | null> {
    const { status, body } = await this.call({
      method: 'POST',
      path: '/rentals',
      body: { ...claim },
      timeoutMs: this.timeoutMs,
    });
    const boxes = v.safeParse(v.array(v.string()), body['boxes']);
    if (status === 200 && boxes.success) return boxes.output;
    if (status === 400 || (status === 503 && body['error'] === 'no capacity')) return null;
    throw new NoAnswer(`cloud: rent: ${String(status)}`);
  }

  /** Returns once the machines and everything on them are gone. */
  async giveBack(boxes: string[]): Promise<void> {
    const { status } = await this.call({
      method: 'POST',
      path: '/rentals/delete',
      body: { boxes },
      timeoutMs: this.timeoutMs,
    });
    if (status !== 200) throw new NoAnswer(`cloud: delete: ${String(status)}`);
  }

  private async get(path: string): Promise<Record<string, unknown>> {
    const { status, body } = await this.call({ method: 'GET', path, timeoutMs: this.timeoutMs });
    if (status !== 200) throw new NoAnswer(`cloud: ${path}: ${String(status)}`);
    return body;
  }
}
