import { compareNames } from '../util/order.js';
import type { Domain } from '../model/domain.js';
import type { TeamQuota } from '../model/team.js';
import {
  encodeDomainHead,
  encodeFencingToken,
  encodeLiveness,
  encodeShard,
  encodeTakeoverList,
  keys,
  type ShardRecord,
  type TakeoverListRecord,
} from '../store/records/index.js';
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { Write, Condition, StoreClient, Transaction } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { bytesOf } from '../store/value-size.js';
import { TransactionBuilder } from '../store/transaction-builder.js';
import { VALUE_FILL_RATIO, MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import { allocationConditions } from '../store/allocation-conditions.js';
import type { State } from '../store/state.js';
import { NoAnswer } from '../wire/client.js';
import { partitionForTakeover } from './dealing.js';
import type { Integrity } from './integrity.js';
import { layLists, reshard } from './shards.js';
import { QuotaManager } from './quota-manager.js';
import { takeFrom } from './shares.js';
import { UnownedMachines } from './unowned-machines.js';

export interface DomainManagerOptions {
  self: string;
  peers: string[];
  /** Controllers that there are to be. */
  size: number;
  renewMs: number;
  leaseMs: number;
  /** Takeover lists are rewritten, and domains evened out, at most this often. */
  listMs: number;
  /** Newcomers are claimed together when the first has waited this long. */
  gatherMs: number;
  txnOps: number;
  valueBytes: number;
}

/** A domain below this share of the mean takes machines back. */
const UNEVEN = 0.75;

/** This controller's place among its peers: its lease, its domain, and what it takes over from whom. */
export class DomainManager {
  private lease: number | null = null;
  private leaseUntil = -Infinity;
  /** Incarnation under which the domain is held, or null before that is committed. */
  private heldIncarnation: number | null = null;
  private listAt = -Infinity;
  private rebalancedAt = -Infinity;
  private stopped = false;
  /** Since when a peer has been seen without a lease. */
  private readonly missing = new Map<string, number>();
  /** The own parts of the teams' limits. */
  readonly quota: QuotaManager;
  /** First holders for machines that have none. */
  readonly unowned: UnownedMachines;
  /** Handed its domain on because no worker could be reached; it holds none until one can. */
  private isolated = false;
  /** Own machines may have stays that other domains' parts record. */
  private mayHaveMisplacedAllocations = true;

  constructor(
    private readonly options: DomainManagerOptions,
    private readonly teams: ReadonlyMap<string, TeamQuota>,
    private readonly store: StoreClient,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
    /** This process holds its domain from now on. */
    private readonly onHolding: () => void,
    /** No worker is heard or reached any more, although the store is: the fault is this node's own. */
    private readonly cutOff: () => boolean,
    private readonly integrity: Integrity,
    private readonly metrics: Metrics,
  ) {
    this.quota = new QuotaManager(options, teams, state, clock, log, integrity, () =>
      this.decisionContext(),
    );
    this.unowned = new UnownedMachines(options, state, clock, log, wake, {
      ownDomain: () => this.ownDomain(),
      reshard: (host, set) => this.reshard(host, { set }),
      ownershipCondition: () => this.ownershipCondition(),
      fits: (txn) => this.fitsLimits(txn),
    });
  }

  /** Holds nothing of its own accord; it can still serve users. */
  get isReleased(): boolean {
    return this.isolated;
  }

  /** A worker has answered: the domain may be held again. */
  workersReachable(): void {
    if (!this.isolated) return;
    this.isolated = false;
    this.log.info('workers are reached again');
    this.wake();
  }

  get isRegistered(): boolean {
    return this.heldIncarnation !== null;
  }

  get incarnation(): number {
    return this.heldIncarnation ?? 0;
  }

  /** Time left of the own liveness lease, by this process's reckoning. */
  get leaseLeftMs(): number {
    return Math.max(0, this.leaseUntil - this.clock.now());
  }

  /** What a decision of this moment is made under, for the log. */
  decisionContext(): object {
    const { revision, freshAt } = this.state.replica;
    return {
      incarnation: this.incarnation,
      fencingToken: this.state.fencingToken,
      leaseMs: Math.round(this.leaseLeftMs),
      revision,
      ageMs: Math.round(this.clock.now() - freshAt),
    };
  }

  /** Term under which this process may command the machine, or null if it is not this process's. */
  fencingTokenFor(box: string): number | null {
    const owner = this.state.ownerOf(box);
    return this.heldIncarnation !== null && owner?.host === this.options.self
      ? owner.fencingToken
      : null;
  }

  ownDomain(): Domain {
    const { self } = this.options;
    const none = {
      incarnation: 0,
      fencingToken: 0,
      quota: {},
      machines: this.state.machinesOf(self),
    };
    return this.state.domains.get(self) ?? none;
  }

  /** The guard that every deciding commit carries: any loss of ownership changes this record, the head. */
  ownershipCondition(): Condition {
    return this.state.unchanged(keys.domain(this.options.self));
  }

  async renewLoop(): Promise<void> {
    while (!this.stopped) {
      const started = this.clock.now();
      try {
        if (this.lease === null) {
          this.lease = await this.store.newLease(this.options.leaseMs);
          this.heldIncarnation = null;
          this.leaseUntil = started + this.options.leaseMs;
          this.wake();
        } else if (await this.store.extendLease(this.lease, this.options.renewMs)) {
          this.leaseUntil = started + this.options.leaseMs;
        } else {
          this.log.info('liveness lease ended');
          this.lease = null;
          continue;
        }
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        this.log.info({ err: error.message }, 'lease not renewed');
      }
      await sleep(this.clock, this.options.renewMs - (this.clock.now() - started));
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** What goes before all else. */
  urgentSources(): ProposalSource[] {
    return [
      { name: 'register', propose: () => this.register() },
      this.held('step down', () => this.releaseDomain()),
      this.held('take over', () => this.takeOver()),
      this.held('claim', () => this.unowned.propose()),
    ];
  }

  sources(): ProposalSource[] {
    return [
      this.held('deal quota', () => this.quota.propose()),
      this.held('adopt', () => this.adoptAllocations()),
      this.held('even out', () => this.rebalance()),
      this.held('lists', () => this.rewriteList()),
    ];
  }

  private held(name: string, propose: () => Proposal | null): ProposalSource {
    return {
      name,
      propose: () => {
        if (this.heldIncarnation === null || this.clock.now() >= this.leaseUntil) return null;
        // All of these rest on who owns what.
        if (this.integrity.isSound) return propose();
        this.metrics.refusals.inc(name);
        return null;
      },
    };
  }

  /**
   * Becomes the holder of the own domain as a new incarnation, every machine in it under a raised term.
   * Whatever an earlier incarnation still has in flight fails on its guard. The head alone says so, however
   * many machines there are: a restart in the middle of everybody's must not wait for writes.
   */
  private register(): Proposal | null {
    if (this.heldIncarnation !== null || this.lease === null || this.isolated) return null;
    const { self } = this.options;
    const before = this.ownDomain();
    const inc = before.incarnation + 1;
    const term = this.state.fencingToken + 1;
    const guards = [this.ownershipCondition(), this.state.unchanged(keys.fencingToken)];
    const fresh = [...this.teams.keys()].filter((team) => !(team in before.quota));
    // A part of a limit is new only while the others' are known not to change.
    if (fresh.length > 0) guards.push(...this.peerGuards());
    const quota = {
      ...before.quota,
      ...Object.fromEntries(fresh.map((team) => [team, this.quota.firstPart(team)])),
    };
    return {
      takesOver: true,
      transaction: {
        conditions: guards,
        writes: [
          {
            put: keys.domain(self),
            value: encodeDomainHead({ incarnation: inc, fencingToken: term, quota }),
          },
          {
            put: keys.liveness(self),
            value: encodeLiveness({ incarnation: inc }),
            lease: this.lease,
          },
          { put: keys.fencingToken, value: encodeFencingToken(term) },
        ],
      },
      settled: (outcome) => {
        if (outcome.kind === 'done') {
          this.heldIncarnation = inc;
          this.mayHaveMisplacedAllocations = true;
          this.log.info({ inc, term, machines: before.machines.size }, 'holding own domain');
          this.onHolding();
        } else if (outcome.kind === 'refused' && outcome.status === 400) this.lease = null;
      },
    };
  }

  /**
   * A controller that has lost its workers alone looks alive to all others: nobody would take its machines
   * over, and their tasks would die by their leases. So it gives up its liveness itself while there is time;
   * its heirs then claim their lists as of a dead owner. One of the others must be alive, and stay so.
   */
  private releaseDomain(): Proposal | null {
    const { self } = this.options;
    const other = [...this.state.liveness.keys()].find((host) => host !== self);
    if (other === undefined || !this.state.liveness.has(self) || !this.cutOff()) return null;
    const live = keys.liveness(self);
    return {
      transaction: {
        conditions: [
          this.ownershipCondition(),
          this.state.unchanged(live),
          this.state.unchanged(keys.liveness(other)),
        ],
        writes: [{ delete: live }],
      },
      settled: (outcome) => {
        if (outcome.kind !== 'done') return;
        this.heldIncarnation = null;
        this.isolated = true;
        this.log.error(
          { machines: this.ownDomain().machines.size },
          'no worker is reached: domain handed on',
        );
      },
    };
  }

  private peerGuards(): Condition[] {
    const hosts = new Set([...this.options.peers, ...this.state.domains.keys()]);
    hosts.delete(this.options.self);
    return [...hosts].map((host) => this.state.unchanged(keys.domain(host)));
  }

  /**
   * Phase 2 of the paper: a peer's lease is gone, so the whole list that it recorded for this controller
   * moves here in one transaction. Machines that no live heir is listed for follow one renewal later,
   * to whichever controller is first.
   */
  private takeOver(): Proposal | null {
    const { self, renewMs } = this.options;
    for (const [dead, domain] of this.state.domains) {
      if (dead === self) continue;
      if (this.state.liveness.has(dead) || domain.machines.size === 0) {
        this.missing.delete(dead);
        continue;
      }
      const since = this.missing.get(dead) ?? this.clock.now();
      if (!this.missing.has(dead)) this.clock.after(renewMs, this.wake);
      this.missing.set(dead, since);
      const mine: string[] = [];
      const listed = new Set<string>();
      for (const part of this.state.takeoverLists.get(dead)?.values() ?? [])
        for (const [heir, boxes] of Object.entries(part)) {
          if (heir === self) mine.push(...boxes.filter((box) => domain.machines.has(box)));
          if (this.state.liveness.has(heir)) for (const box of boxes) listed.add(box);
        }
      const orphans = this.clock.now() - since >= renewMs;
      const rest = orphans ? [...domain.machines.keys()].filter((box) => !listed.has(box)) : [];
      const boxes = [...mine, ...rest];
      if (boxes.length > 0) return this.takeMachines(dead, domain, boxes);
    }
    return null;
  }

  /** Moves machines from a peer's domain to this one's: all of them in one transaction if the limits hold it. */
  takeMachines(from: string, domain: Domain, boxes: string[], lent = false): Proposal {
    for (let count = boxes.length; ; count = Math.ceil(count / 2)) {
      const txn = this.moving(from, domain, boxes.slice(0, count), lent);
      if (count > 1 && !this.fitsLimits(txn)) continue;
      if (count < boxes.length)
        this.log.error(
          { from, machines: boxes.length, at_once: count },
          'settings.state.txn_ops, value_kb: too small to take over so many machines at once',
        );
      return {
        takesOver: true,
        transaction: txn,
        settled: (outcome) => {
          if (outcome.kind !== 'done') return;
          this.mayHaveMisplacedAllocations = true;
          this.log.info(
            {
              from,
              machines: count,
              lent,
              guards: txn.conditions.length,
              ...this.decisionContext(),
            },
            'machines taken over',
          );
        },
      };
    }
  }

  private fitsLimits(txn: Transaction): boolean {
    const { txnOps } = this.options;
    const bytes = txn.writes.reduce(
      (sum, change) => sum + ('put' in change ? bytesOf(change.value) : 0),
      0,
    );
    return (
      txn.writes.length <= txnOps &&
      txn.conditions.length <= 4 * txnOps &&
      bytes <= MAX_TRANSACTION_BYTES
    );
  }

  /**
   * What their tasks use of the teams' limits moves with the machines. The peer must be dead unless it may
   * lend. Guarding the parts of the peer's domain, nothing can have been placed there that is not counted.
   */
  private moving(from: string, domain: Domain, boxes: string[], lent: boolean): Transaction {
    const { self } = this.options;
    const term = this.state.fencingToken + 1;
    const own = this.ownDomain();
    const quotas = takeFrom(
      { quota: domain.quota, used: this.state.usageInDomain(from) },
      { quota: own.quota, moving: this.state.usageOnMachines(boxes) },
      // Of what is unused there, as much as goes with the machines. A lender keeps it.
      lent ? 0 : boxes.length / domain.machines.size,
    );
    const shards = [
      ...this.reshard(from, { drop: boxes }),
      ...this.reshard(self, { set: new Map(boxes.map((box) => [box, term])) }),
    ];
    return {
      conditions: [
        this.ownershipCondition(),
        this.state.unchanged(keys.fencingToken),
        this.state.unchanged(keys.domain(from)),
        ...allocationConditions(this.state, from, this.options.txnOps),
        ...this.state.unchangedBefore(shards),
        ...(lent ? [] : [{ key: keys.liveness(from), modRevision: 0 }]),
      ],
      writes: [
        { put: keys.domain(from), value: encodeDomainHead({ ...domain, quota: quotas.from }) },
        { put: keys.domain(self), value: encodeDomainHead({ ...own, quota: quotas.to }) },
        ...shards,
        { put: keys.fencingToken, value: encodeFencingToken(term) },
      ],
    };
  }

  /** The changes of a domain's shards by which machines leave it or come under a term. */
  private reshard(
    host: string,
    change: { drop?: Iterable<string>; set?: ReadonlyMap<string, number> },
  ): Write[] {
    const shards = reshard(
      this.state.shards.get(host) ?? new Map<string, ShardRecord>(),
      change,
      this.options.valueBytes * VALUE_FILL_RATIO,
      (n) => keys.machineShard(host, n),
    );
    return [...shards].map(([key, record]) =>
      record ? { put: key, value: encodeShard(record) } : { delete: key },
    );
  }

  /**
   * Own machines leave the domain or come under another term, as part of a transaction. Each shard is
   * guarded by itself, so that an heir's claim and this cannot both be made of the same shard.
   */
  changeMachines(change: {
    drop?: Iterable<string>;
    set?: ReadonlyMap<string, number>;
  }): Transaction {
    const apply = this.reshard(this.options.self, change);
    const drops = change.drop ? this.dropGuards(change.drop) : [];
    return {
      conditions: [this.ownershipCondition(), ...drops, ...this.state.unchangedBefore(apply)],
      writes: apply,
    };
  }

  /**
   * A machine is dropped only while nothing is recorded on it: no domain would count that, nor end it. For
   * own machines the own parts say so; one without an owner may have been claimed meanwhile.
   */
  private dropGuards(machines: Iterable<string>): Condition[] {
    const parts = allocationConditions(this.state, this.options.self, this.options.txnOps);
    const isUnowned = [...machines].some((machine) => !this.state.ownerOf(machine));
    return isUnowned ? [...parts, this.state.unchanged(keys.firstClaims)] : parts;
  }

  /** Moves what is recorded on own machines in other domains' parts into the own ones. */
  private adoptAllocations(): Proposal | null {
    if (!this.mayHaveMisplacedAllocations) return null;
    const { self, txnOps, valueBytes } = this.options;
    const transaction = new TransactionBuilder(this.state, self, {
      maxWrites: txnOps,
      valueBytes,
      maxBytes: MAX_TRANSACTION_BYTES,
    });
    transaction.require(this.ownershipCondition());
    for (const host of this.state.recordingHosts())
      if (host !== self)
        for (const key of this.state.allocationKeys(host))
          if (!transaction.adopt(key, (box) => this.fencingTokenFor(box) !== null)) break;
    if (transaction.size === 0) {
      this.mayHaveMisplacedAllocations = false;
      return null;
    }
    return { transaction: transaction.build() };
  }

  /** Machines come back from the largest domain after a takeover, idle ones first. */
  private rebalance(): Proposal | null {
    const now = this.clock.now();
    if (now - this.rebalancedAt < this.options.listMs) return null;
    this.rebalancedAt = now;
    const sizes = [...this.state.domains]
      .filter(([host]) => this.state.liveness.has(host))
      .map(([host, domain]) => ({ host, domain, boxes: [...domain.machines.keys()] }))
      .sort((a, b) => b.boxes.length - a.boxes.length || compareNames(a.host, b.host));
    const mean = sizes.reduce((sum, { boxes }) => sum + boxes.length, 0) / (sizes.length || 1);
    const mine = this.ownDomain().machines.size;
    const [largest] = sizes;
    if (!largest || largest.host === this.options.self || mine > mean * UNEVEN) return null;
    if (!this.integrity.mayLend(largest.host)) return null;
    const count = Math.floor(Math.min(mean - mine, largest.boxes.length - mean));
    if (count < 1) return null;
    const idleFirst = [...largest.boxes].sort(
      (a, b) =>
        Number(this.state.jobsByMachine.has(a)) - Number(this.state.jobsByMachine.has(b)) ||
        compareNames(a, b),
    );
    return this.takeMachines(largest.host, largest.domain, idleFirst.slice(0, count), true);
  }

  private rewriteList(): Proposal | null {
    if (this.clock.now() - this.listAt < this.options.listMs) return null;
    const { self, peers, txnOps, valueBytes } = this.options;
    const machines = [...this.ownDomain().machines.keys()].map((id) => ({
      id,
      site: this.state.machines.get(id)?.zone ?? '',
    }));
    const alive = peers.filter((peer) => this.state.liveness.has(peer));
    const lists = partitionForTakeover(machines, alive.length > 0 ? alive : peers);
    const parts = new Map(
      layLists(lists, valueBytes * VALUE_FILL_RATIO).map((part, n) => [
        keys.takeoverList(self, n),
        part,
      ]),
    );
    const apply: Write[] = [];
    const known = this.state.takeoverLists.get(self) ?? new Map<string, TakeoverListRecord>();
    for (const [key, part] of parts)
      if (JSON.stringify(part) !== JSON.stringify(known.get(key)))
        apply.push({ put: key, value: encodeTakeoverList(part) });
    for (const key of known.keys()) if (!parts.has(key)) apply.push({ delete: key });
    this.listAt = this.clock.now();
    if (apply.length === 0) return null;
    apply.splice(txnOps);
    return {
      transaction: {
        conditions: [this.ownershipCondition(), ...this.state.unchangedBefore(apply)],
        writes: apply,
      },
      settled: (outcome) => {
        if (outcome.kind !== 'done') this.listAt = -Infinity;
      },
    };
  }
}
