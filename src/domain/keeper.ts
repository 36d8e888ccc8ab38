import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Change, Guard, StoreClient } from '../store/client.js';
import type { Proposal, Source } from '../store/decider.js';
import { asBody, keys, type BoxRecord, type DomainRecord } from '../store/records.js';
import type { State } from '../store/state.js';
import { NoAnswer } from '../wire/client.js';
import { deal } from './dealing.js';

export interface KeeperFigures {
  self: string;
  peers: string[];
  renewMs: number;
  leaseMs: number;
  /** Takeover lists are rewritten at most this often. */
  listMs: number;
  txnOps: number;
  /** Machines that one domain record can hold. */
  maxDomain: number;
}

/** This controller's place among its peers: its lease, its domain, and what it takes over from whom. */
export class Keeper {
  private lease: number | null = null;
  private leaseUntil = -Infinity;
  /** Incarnation under which the domain is held, or null before that is committed. */
  private inc: number | null = null;
  private listAt = -Infinity;
  private stopped = false;
  private readonly wanted = new Map<string, BoxRecord>();
  /** Since when a peer has been seen without a lease. */
  private readonly missing = new Map<string, number>();

  constructor(
    private readonly figures: KeeperFigures,
    private readonly store: StoreClient,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
  ) {}

  get registered(): boolean {
    return this.inc !== null;
  }

  get incarnation(): number {
    return this.inc ?? 0;
  }

  /** Term under which this process may command the machine, or null if it is not this process's. */
  termFor(box: string): number | null {
    const owner = this.state.ownerOf(box);
    return this.inc !== null && owner?.host === this.figures.self ? owner.term : null;
  }

  own(): DomainRecord {
    return this.state.domains.get(this.figures.self) ?? { inc: 0, m: {} };
  }

  /** The guard that every deciding commit carries: any loss of ownership changes this record. */
  guard(): Guard {
    return this.guardOn(keys.domain(this.figures.self));
  }

  /** Asks for a machine that nobody owns; the claim follows with the next commit. */
  want(id: string, facts: BoxRecord): void {
    if (this.wanted.size < 1000) this.wanted.set(id, facts);
    this.wake();
  }

  async renewLoop(): Promise<void> {
    while (!this.stopped) {
      const started = this.clock.now();
      try {
        if (this.lease === null) {
          this.lease = await this.store.newLease(this.figures.leaseMs);
          this.inc = null;
          this.leaseUntil = started + this.figures.leaseMs;
          this.wake();
        } else if (await this.store.extendLease(this.lease, this.figures.renewMs)) {
          this.leaseUntil = started + this.figures.leaseMs;
        } else {
          this.log.info('liveness lease ended');
          this.lease = null;
          continue;
        }
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        this.log.info({ err: error.message }, 'lease not renewed');
      }
      await sleep(this.clock, this.figures.renewMs - (this.clock.now() - started));
    }
  }

  stop(): void {
    this.stopped = true;
  }

  sources(): Source[] {
    return [
      { name: 'register', propose: () => this.register() },
      { name: 'take over', propose: () => (this.leaseHeld() ? this.takeOver() : null) },
      { name: 'claim', propose: () => (this.leaseHeld() ? this.claim() : null) },
    ];
  }

  listSource(): Source {
    return { name: 'lists', propose: () => (this.leaseHeld() ? this.rewriteList() : null) };
  }

  private leaseHeld(): boolean {
    return this.inc !== null && this.clock.now() < this.leaseUntil;
  }

  /**
   * Becomes the holder of the own domain as a new incarnation, every machine in it under a raised term.
   * Whatever an earlier incarnation still has in flight fails on its guard.
   */
  private register(): Proposal | null {
    if (this.inc !== null || this.lease === null) return null;
    const { self } = this.figures;
    const before = this.own();
    const inc = before.inc + 1;
    const term = this.state.term + 1;
    const m = Object.fromEntries(Object.keys(before.m).map((box) => [box, term]));
    return {
      gains: true,
      txn: {
        guards: [this.guard(), this.guardOn(keys.term)],
        apply: [
          { put: keys.domain(self), value: asBody({ inc, m }) },
          { put: keys.live(self), value: { inc }, lease: this.lease },
          { put: keys.term, value: { t: term } },
        ],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done') {
          this.inc = inc;
          this.log.info({ inc, term, machines: Object.keys(m).length }, 'holding own domain');
        } else if (outcome.kind === 'refused' && outcome.status === 400) this.lease = null;
      },
    };
  }

  /**
   * Phase 2 of the paper: a peer's lease is gone, so the whole list that it recorded for this controller
   * moves here in one transaction. Machines that no live heir is listed for follow one renewal later,
   * to whichever controller is first.
   */
  private takeOver(): Proposal | null {
    const { self, renewMs } = this.figures;
    for (const [dead, domain] of this.state.domains) {
      if (dead === self) continue;
      if (this.state.live.has(dead) || Object.keys(domain.m).length === 0) {
        this.missing.delete(dead);
        continue;
      }
      const since = this.missing.get(dead) ?? this.clock.now();
      if (!this.missing.has(dead)) this.clock.after(renewMs, this.wake);
      this.missing.set(dead, since);
      const lists = this.state.lists.get(dead)?.l ?? {};
      const mine = (lists[self] ?? []).filter((box) => box in domain.m);
      const listed = new Set(
        Object.entries(lists).flatMap(([heir, boxes]) => (this.state.live.has(heir) ? boxes : [])),
      );
      const rest = Object.keys(domain.m).filter((box) => !listed.has(box));
      const boxes = [...mine, ...(this.clock.now() - since >= renewMs ? rest : [])];
      const fitting = boxes.slice(0, this.room());
      if (fitting.length > 0) return this.move(dead, domain, fitting);
    }
    return null;
  }

  /** Moves machines from a peer's domain record to this one's. The peer must be dead unless it may lend. */
  move(from: string, domain: DomainRecord, boxes: string[], lent = false): Proposal {
    const term = this.state.term + 1;
    const own = this.own();
    const taken = new Set(boxes);
    const left = Object.fromEntries(Object.entries(domain.m).filter(([box]) => !taken.has(box)));
    const m = { ...own.m, ...Object.fromEntries(boxes.map((box) => [box, term])) };
    const guards = [
      this.guard(),
      this.guardOn(keys.term),
      this.guardOn(keys.domain(from)),
      ...(lent ? [] : [{ key: keys.live(from), stamp: 0 }]),
    ];
    return {
      gains: true,
      txn: {
        guards,
        apply: [
          { put: keys.domain(from), value: asBody({ inc: domain.inc, m: left }) },
          { put: keys.domain(this.figures.self), value: asBody({ inc: own.inc, m }) },
          { put: keys.term, value: { t: term } },
        ],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done')
          this.log.info({ from, machines: boxes.length, term, lent }, 'machines taken over');
      },
    };
  }

  /** Machines that reported here and that no domain holds. */
  private claim(): Proposal | null {
    for (const id of this.wanted.keys()) if (this.state.ownerOf(id)) this.wanted.delete(id);
    const batch = [...this.wanted].slice(0, Math.min(this.figures.txnOps - 2, this.room()));
    if (batch.length === 0) return null;
    const term = this.state.term + 1;
    const own = this.own();
    const m = { ...own.m, ...Object.fromEntries(batch.map(([id]) => [id, term])) };
    const guards = [this.guardOn(keys.term), this.guard()];
    for (const peer of new Set([...this.figures.peers, ...this.state.domains.keys()]))
      if (peer !== this.figures.self) guards.push(this.guardOn(keys.domain(peer)));
    const apply: Change[] = [
      { put: keys.domain(this.figures.self), value: asBody({ inc: own.inc, m }) },
      { put: keys.term, value: { t: term } },
    ];
    for (const [id, facts] of batch) {
      const known = this.state.boxes.get(id);
      if (known?.address === facts.address) continue;
      guards.push(this.guardOn(keys.box(id)));
      apply.push({ put: keys.box(id), value: asBody({ ...known, ...facts }) });
    }
    return {
      txn: { guards, apply },
      settled: (outcome) => {
        if (outcome.kind !== 'done') return;
        for (const [id] of batch) this.wanted.delete(id);
        this.log.info({ machines: batch.map(([id]) => id), term }, 'machines claimed');
      },
    };
  }

  private room(): number {
    return Math.max(0, this.figures.maxDomain - Object.keys(this.own().m).length);
  }

  private rewriteList(): Proposal | null {
    if (this.clock.now() - this.listAt < this.figures.listMs) return null;
    const { self, peers } = this.figures;
    const machines = Object.keys(this.own().m).map((id) => ({
      id,
      site: this.state.boxes.get(id)?.site ?? '',
    }));
    const alive = peers.filter((peer) => this.state.live.has(peer));
    const l = deal(machines, alive.length > 0 ? alive : peers);
    if (JSON.stringify(l) === JSON.stringify(this.state.lists.get(self)?.l ?? {})) return null;
    return {
      txn: {
        guards: [this.guard(), this.guardOn(keys.list(self))],
        apply: [{ put: keys.list(self), value: asBody({ l }) }],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done') this.listAt = this.clock.now();
      },
    };
  }

  private guardOn(key: string): Guard {
    return { key, stamp: this.state.stampOf(key) };
  }
}
