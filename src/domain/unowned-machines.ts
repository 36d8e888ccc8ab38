/** Gives machines that no domain holds their first holder. */
import { compareNames } from '../util/order.js';
import type { Domain } from '../model/domain.js';
import type { MachineBatch } from '../model/machine.js';
import {
  encodeFencingToken,
  encodeFirstClaims,
  encodeMachineBatch,
  keys,
  machineBatchBytes,
  machineBytes,
} from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Write, Condition, Transaction } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';

/** A machine that reported and that no domain holds. */
export interface UnownedMachine {
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Highest term that its worker has seen. */
  fencingToken: number;
  /** Time of day at which it reported. */
  reportedAt: number;
}

export interface UnownedMachinesOptions {
  self: string;
  /** Newcomers are claimed together when the first has waited this long. */
  gatherMs: number;
  valueBytes: number;
}

/** What is needed of the domain that this controller holds. */
export interface DomainAccess {
  ownDomain(): Domain;
  /** The changes of a domain's shards by which machines come under a term. */
  reshard(host: string, set: ReadonlyMap<string, number>): Write[];
  /** The guard that every deciding commit carries. */
  ownershipCondition(): Condition;
  /** Whether a transaction is within the limits of the state service. */
  fits(txn: Transaction): boolean;
}

/** Machines that a line of the log names. */
const MOST_NAMED = 10;
/** Machines waiting to be claimed that one controller remembers. */
const MOST_WANTED = 1000;

/**
 * Claims machines that report here and that nobody holds, and deals new ones among the live controllers.
 * Nothing is recorded on a machine without an owner, so no part of a limit has to come with it.
 */
export class UnownedMachines {
  private readonly wanted = new Map<string, UnownedMachine & { since: number }>();

  constructor(
    private readonly options: UnownedMachinesOptions,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
    private readonly domain: DomainAccess,
  ) {}

  /** Asks for a machine that nobody owns; the claim follows with the others that come meanwhile. */
  requestClaim(id: string, facts: UnownedMachine): void {
    // A late copy of a report must not bring a machine back that was given back; names are not used again.
    if (this.state.removedMachines.has(id)) return;
    const since = this.wanted.get(id)?.since ?? this.clock.now();
    if (this.wanted.size < MOST_WANTED) this.wanted.set(id, { ...facts, since });
    this.clock.after(this.options.gatherMs, this.wake);
  }

  /** Machines that reported here and that no domain holds: found at the start, or rented by a late request. */
  propose(): Proposal | null {
    for (const id of this.wanted.keys()) if (this.state.ownerOf(id)) this.wanted.delete(id);
    const now = this.clock.now();
    if (![...this.wanted.values()].some(({ since }) => now - since >= this.options.gatherMs))
      return null;
    const own = this.domain.ownDomain();
    // Only what a worker has not been told yet can be its term.
    const raised = [...this.wanted.values()].some(
      ({ fencingToken: epoch }) => epoch >= own.fencingToken,
    );
    const term = raised ? this.state.fencingToken + 1 : own.fencingToken;
    for (let count = this.wanted.size; ; count = Math.ceil(count / 2)) {
      const claimed = [...this.wanted].slice(0, count);
      const txn = this.claiming(claimed, term);
      if (raised) {
        txn.conditions.push(this.state.unchanged(keys.fencingToken));
        txn.writes.push({ put: keys.fencingToken, value: encodeFencingToken(term) });
      }
      // The rest follows with the next transaction.
      if (count > 1 && !this.domain.fits(txn)) continue;
      const machines = claimed.map(([id]) => id);
      return {
        transaction: txn,
        settled: (outcome) => {
          if (outcome.kind !== 'done') return;
          for (const id of machines) this.wanted.delete(id);
          // Thousands may come up at once: the line names a few.
          const some = machines.slice(0, MOST_NAMED);
          this.log.info({ machines: machines.length, some, term }, 'machines claimed');
        },
      };
    }
  }

  private claiming(claimed: [string, UnownedMachine][], term: number): Transaction {
    const set = new Map(claimed.map(([id]) => [id, term]));
    const apply = this.domain.reshard(this.options.self, set);
    const guards = [this.domain.ownershipCondition(), ...this.state.unchangedBefore(apply)];
    guards.push(this.state.unchanged(keys.firstClaims));
    apply.push(this.firstHeld());
    for (const lot of this.lotsOf(claimed)) {
      const first = Object.keys(lot.addresses)[0] ?? '';
      // A lot of that name may be left from when its first machine was another one's. Written over, it
      // would take the records of all its machines with it, and with them the proof of what runs there.
      let name = first;
      for (let n = 1; this.state.machineBatches.has(name); n++) name = `${first}.${String(n)}`;
      guards.push({ key: keys.machineBatch(name), modRevision: 0 });
      apply.push({ put: keys.machineBatch(name), value: encodeMachineBatch(lot) });
    }
    return { conditions: guards, writes: apply };
  }

  /** Records for machines that have none, by kind. Each has room to mark all of its machines. */
  private lotsOf(machines: [string, UnownedMachine][]): MachineBatch[] {
    const lots: MachineBatch[] = [];
    const open = new Map<string, { lot: MachineBatch; bytes: number }>();
    const most = this.options.valueBytes * VALUE_FILL_RATIO;
    for (const [id, { machineType, zone, spot, address, reportedAt }] of machines) {
      if (this.state.machines.has(id)) continue;
      const kind = `${machineType} ${zone} ${String(spot)}`;
      const more = machineBytes(id, address);
      const known = open.get(kind);
      if (known && known.bytes + more < most) {
        known.lot.addresses[id] = address;
        known.bytes += more;
        continue;
      }
      const lot: MachineBatch = {
        machineType,
        zone,
        spot,
        recordedAt: reportedAt,
        addresses: { [id]: address },
      };
      open.set(kind, { lot, bytes: machineBatchBytes(lot) });
      lots.push(lot);
    }
    return lots;
  }

  /**
   * Everybody who gives machines their first holder changes this record and guards it. So no two do it for
   * the same machine, and nobody needs to guard the domains of all others, which change all the time.
   */
  private firstHeld(): Write {
    return { put: keys.firstClaims, value: encodeFirstClaims(this.state.firstClaims + 1) };
  }

  /**
   * Deals new machines among the live controllers, the smallest domains first, as part of a transaction
   * that records them. Each comes under the term of its holder's incarnation, for nobody held it before.
   * What more than `most` changes would take is left to who hears of it first.
   */
  assignNew(boxes: string[], most: number): Transaction {
    const dealt = new Map<string, Map<string, number>>();
    const sizes = new Map<string, number>();
    for (const [host, { machines: m }] of this.state.domains)
      if (this.state.liveness.has(host)) sizes.set(host, m.size);
    for (const box of boxes) {
      const [host] = [...sizes].sort((a, b) => a[1] - b[1] || compareNames(a[0], b[0]))[0] ?? [];
      if (host === undefined || this.state.ownerOf(box)) continue;
      const terms = dealt.get(host) ?? new Map<string, number>();
      dealt.set(host, terms.set(box, this.state.domains.get(host)?.fencingToken ?? 0));
      sizes.set(host, (sizes.get(host) ?? 0) + 1);
    }
    const apply = [this.firstHeld()];
    for (const [host, set] of dealt) {
      const changes = this.domain.reshard(host, set);
      if (apply.length + changes.length <= most) apply.push(...changes);
    }
    return { conditions: this.state.unchangedBefore(apply), writes: apply };
  }
}
