/**
 * The own domain's parts of the teams' limits. What is recorded on the domain's machines stays within them:
 * docs/design.md, "Limits of teams", says why no order of commits can break that.
 */
import type { Domain } from '../model/domain.js';
import type { ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import { encodeDomainHead, keys } from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Write, Condition } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import { allocationConditions } from '../store/allocation-conditions.js';
import type { State } from '../store/state.js';
import type { Integrity } from './integrity.js';
import { rebalanceQuota, type QuotaShortfall } from './shares.js';

export interface QuotaManagerOptions {
  self: string;
  /** Controllers that there are to be. */
  size: number;
  /** Parts are taken from peers at most this often. */
  gatherMs: number;
  txnOps: number;
}

const NONE: ResourceAmount = { cpus: 0, gpus: 0 };

/** What is left of the own parts, and what is taken over from peers that do not need theirs. */
export class QuotaManager {
  private dealtAt = -Infinity;
  /** What the own queues could use beyond the own parts. */
  private readonly shortfalls = new Map<string, QuotaShortfall>();

  constructor(
    private readonly options: QuotaManagerOptions,
    private readonly teams: ReadonlyMap<string, TeamQuota>,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly integrity: Integrity,
    /** What a decision of this moment is made under, for the log. */
    private readonly basis: () => object,
  ) {}

  /** What each team may still use on the own machines: the own part of its limit, less what may be on them. */
  remaining(): Map<string, ResourceAmount> {
    const quota = this.own()?.quota ?? {};
    const used = this.state.usageInDomain(this.options.self);
    const left = new Map<string, ResourceAmount>();
    for (const team of this.teams.keys()) {
      if (!this.integrity.mayPlace(team, this.options.self)) {
        left.set(team, NONE);
        continue;
      }
      const part = quota[team] ?? NONE;
      const on = used.get(team) ?? NONE;
      // Less than nothing undealt: the limit was lowered since the parts were dealt.
      const undealt = this.undealt(team);
      left.set(team, {
        cpus: part.cpus - on.cpus + Math.min(0, undealt.cpus),
        gpus: part.gpus - on.gpus + Math.min(0, undealt.gpus),
      });
    }
    return left;
  }

  /** The own queues could use this much more of a team's limit. */
  noteShortfall(team: string, shortfall: QuotaShortfall): void {
    this.shortfalls.set(team, shortfall);
  }

  /** What a domain that is made gets of a team's limit. */
  firstPart(team: string): ResourceAmount {
    const limits = this.teams.get(team);
    const undealt = this.undealt(team);
    const part = (limit: number, left: number): number =>
      Math.max(0, Math.min(limit / this.options.size, left));
    return {
      cpus: part(limits?.cpuLimit ?? 0, undealt.cpus),
      gpus: part(limits?.gpuLimit ?? 0, undealt.gpus),
    };
  }

  /** Takes over unused parts of a team's limit from peers that do not need them. */
  propose(): Proposal | null {
    const now = this.clock.now();
    const { self, gatherMs } = this.options;
    const own = this.own();
    if (!own || this.shortfalls.size === 0 || now - this.dealtAt < gatherMs) return null;
    this.dealtAt = now;
    const parts = new Map(
      [...this.state.domains]
        .filter(([host]) => host !== self)
        .map(([host, { quota }]) => [host, { quota, used: this.state.usageInDomain(host) }]),
    );
    const mine = { quota: own.quota, used: this.state.usageInDomain(self) };
    const lacking = new Map([...this.shortfalls].filter(([team]) => this.integrity.mayDeal(team)));
    const teams = [...lacking.keys()];
    this.shortfalls.clear();
    const dealt = rebalanceQuota(mine, lacking, parts, this.mostGivers(parts.keys()));
    if (!dealt) return null;
    const guards: Condition[] = [this.state.unchanged(keys.domain(self))];
    const apply: Write[] = [
      { put: keys.domain(self), value: encodeDomainHead({ ...own, quota: dealt.own }) },
    ];
    for (const [host, quota] of dealt.others) {
      const domain = this.state.domains.get(host);
      if (!domain) continue;
      // What is used there must be known exactly: whatever is placed there changes one of its parts.
      guards.push(this.state.unchanged(keys.domain(host)));
      guards.push(...allocationConditions(this.state, host, this.options.txnOps));
      apply.push({ put: keys.domain(host), value: encodeDomainHead({ ...domain, quota }) });
    }
    return {
      transaction: { conditions: guards, writes: apply },
      settled: (outcome) => {
        if (outcome.kind !== 'done') return;
        const amounts = teams.map((team) => [team, dealt.own[team], mine.used.get(team) ?? NONE]);
        this.log.debug(
          { from: [...dealt.others.keys()], amounts, guards, ...this.basis() },
          'quota dealt',
        );
      },
    };
  }

  /** Parts of the limits that the own domain has, and what is used of them. */
  *parts(): Generator<{ team: string; kind: 'cpus' | 'gpus'; part: number; used: number }> {
    const quota = this.own()?.quota ?? {};
    const used = this.state.usageInDomain(this.options.self);
    for (const team of this.teams.keys())
      for (const kind of ['cpus', 'gpus'] as const)
        yield { team, kind, part: quota[team]?.[kind] ?? 0, used: used.get(team)?.[kind] ?? 0 };
  }

  private own(): Domain | undefined {
    return this.state.domains.get(this.options.self);
  }

  private undealt(team: string): ResourceAmount {
    const limits = this.teams.get(team);
    const left = { cpus: limits?.cpuLimit ?? 0, gpus: limits?.gpuLimit ?? 0 };
    for (const { quota } of this.state.domains.values()) {
      left.cpus -= quota[team]?.cpus ?? 0;
      left.gpus -= quota[team]?.gpus ?? 0;
    }
    return left;
  }

  /** Every part of every peer that gives anything is guarded; so many peers a transaction can hold. */
  private mostGivers(hosts: Iterable<string>): number {
    const { txnOps } = this.options;
    const parts = [...hosts].map((host) => allocationConditions(this.state, host, txnOps).length);
    const most = Math.max(0, ...parts) + 1;
    return Math.min(txnOps - 1, Math.floor((4 * txnOps - 1) / most));
  }
}
