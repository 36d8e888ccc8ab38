/**
 * The own domain's quotas: its parts of the teams' limits. The usage recorded on the domain's machines stays within them.
 * docs/design.md, "Limits of teams", explains why no order of commits can violate that.
 */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { QuotaReading } from '../metrics.js';
import type { Domain } from '../model/domain.js';
import { NO_RESOURCES, type ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import type { Condition, Transaction, Write } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import { allocationConditions } from '../store/allocation-conditions.js';
import { encodeDomainHead, keys } from '../store/records/index.js';
import type { State } from '../store/state.js';
import type { Integrity } from './integrity.js';
import type { OwnDomain } from './own-domain.js';
import {
  rebalanceQuota,
  type QuotaShortfall,
  type QuotaUsage,
  type RebalancedQuota,
} from './quota-sharing.js';
import { CONDITIONS_PER_WRITE } from './transaction-limits.js';

/** Names, intervals and limits of the quota manager. */
export interface QuotaManagerOptions {
  /** Name of this controller. */
  self: string;
  /** Configured number of controllers, this one included. */
  controllerCount: number;
  /** Minimum time between two transfers of quota from peers, in milliseconds. */
  batchingMs: number;
  /** Maximum number of writes in one transaction. */
  maxWrites: number;
}

/** Dependencies of `QuotaManager`. */
export interface QuotaManagerDependencies {
  teams: ReadonlyMap<string, TeamQuota>;
  state: State;
  clock: Clock;
  log: Log;
  integrity: Integrity;
  ownDomain: Pick<OwnDomain, 'decisionContext'>;
}

/** Computes what remains of the own quotas, and takes over unused quota from peers that do not need it. */
export class QuotaManager {
  private lastRunAt = -Infinity;
  /** Team to the amount that the own queues could use beyond the own quota. */
  private readonly shortfalls = new Map<string, QuotaShortfall>();

  constructor(
    private readonly options: QuotaManagerOptions,
    private readonly dependencies: QuotaManagerDependencies,
  ) {}

  /** What each team may still use on the own machines: the own quota minus the usage of all tasks that may be there. */
  remaining(): Map<string, ResourceAmount> {
    const { teams, state, integrity } = this.dependencies;
    const { self } = this.options;
    const own = { quota: this.ownDomain()?.quota ?? {}, used: state.usageInDomain(self) };
    const remaining = new Map<string, ResourceAmount>();
    for (const team of teams.keys()) {
      const mayPlace = integrity.mayPlace(team, self);
      remaining.set(team, mayPlace ? this.remainingOf(team, own) : NO_RESOURCES);
    }
    return remaining;
  }

  /** Records how much more of a team's limit the own queues could use. */
  noteShortfall(team: string, shortfall: QuotaShortfall): void {
    this.shortfalls.set(team, shortfall);
  }

  /**
   * The first quota that a domain gets for a team: an equal share of the limit, but at most the amount that is not
   * assigned to any domain yet.
   */
  initialQuota(team: string): ResourceAmount {
    const limits = this.dependencies.teams.get(team);
    const unassigned = this.unassigned(team);
    const share = (limit: number, left: number): number =>
      Math.max(0, Math.min(limit / this.options.controllerCount, left));
    return {
      cpus: share(limits?.cpuLimit ?? 0, unassigned.cpus),
      gpus: share(limits?.gpuLimit ?? 0, unassigned.gpus),
    };
  }

  /** Proposes to take over unused quota from peers that do not need it. */
  propose(): Proposal | null {
    const { state, clock, integrity } = this.dependencies;
    const now = clock.now();
    const { self, batchingMs: minIntervalMs } = this.options;
    const ownDomain = this.ownDomain();
    if (!ownDomain || this.shortfalls.size === 0 || now - this.lastRunAt < minIntervalMs)
      return null;
    this.lastRunAt = now;
    const peers = this.peerUsage();
    const own: QuotaUsage = { quota: ownDomain.quota, used: state.usageInDomain(self) };
    const shortfalls = new Map(
      [...this.shortfalls].filter(([team]) => integrity.mayShareQuota(team)),
    );
    this.shortfalls.clear();
    const rebalanced = rebalanceQuota(own, shortfalls, peers, this.maxGivers(peers.keys()));
    if (!rebalanced) return null;
    const transaction = this.transactionFor(ownDomain, rebalanced);
    return {
      transaction,
      onSettled: (outcome) => {
        if (outcome.kind !== 'done') return;
        const amounts = [...shortfalls.keys()].map((team) => ({
          team,
          part: rebalanced.own[team],
          used: own.used.get(team) ?? NO_RESOURCES,
        }));
        this.logRebalanced(rebalanced, amounts, transaction.conditions);
      },
    };
  }

  /** The own domain's quotas and their usage, for the metrics. */
  *readings(): Generator<QuotaReading> {
    const { teams, state } = this.dependencies;
    const quota = this.ownDomain()?.quota ?? {};
    const used = state.usageInDomain(this.options.self);
    for (const team of teams.keys())
      for (const kind of ['cpus', 'gpus'] as const)
        yield { team, kind, part: quota[team]?.[kind] ?? 0, used: used.get(team)?.[kind] ?? 0 };
  }

  private ownDomain(): Domain | undefined {
    return this.dependencies.state.domains.get(this.options.self);
  }

  private remainingOf(team: string, { quota, used: usedByTeam }: QuotaUsage): ResourceAmount {
    const domainQuota = quota[team] ?? NO_RESOURCES;
    const used = usedByTeam.get(team) ?? NO_RESOURCES;
    // A negative unassigned amount means that the limit was lowered after the quotas were assigned.
    const unassigned = this.unassigned(team);
    return {
      cpus: domainQuota.cpus - used.cpus + Math.min(0, unassigned.cpus),
      gpus: domainQuota.gpus - used.gpus + Math.min(0, unassigned.gpus),
    };
  }

  /** The amount of a team's limit that is not assigned to any domain; negative if too much is assigned. */
  private unassigned(team: string): ResourceAmount {
    const { teams, state } = this.dependencies;
    const limits = teams.get(team);
    const left = { cpus: limits?.cpuLimit ?? 0, gpus: limits?.gpuLimit ?? 0 };
    for (const { quota } of state.domains.values()) {
      left.cpus -= quota[team]?.cpus ?? 0;
      left.gpus -= quota[team]?.gpus ?? 0;
    }
    return left;
  }

  private peerUsage(): Map<string, QuotaUsage> {
    const { state } = this.dependencies;
    return new Map(
      [...state.domains]
        .filter(([controller]) => controller !== this.options.self)
        .map(([controller, { quota }]) => [
          controller,
          { quota, used: state.usageInDomain(controller) },
        ]),
    );
  }

  private transactionFor(ownDomain: Domain, { own, givers }: RebalancedQuota): Transaction {
    const { state } = this.dependencies;
    const { self, maxWrites } = this.options;
    const conditions: Condition[] = [state.unchangedCondition(keys.domain(self))];
    const writes: Write[] = [
      { put: keys.domain(self), value: encodeDomainHead({ ...ownDomain, quota: own }) },
    ];
    for (const [giver, quota] of givers) {
      const domain = state.domains.get(giver);
      if (!domain) continue;
      // The giver's usage must be known exactly: placing a task there changes one of its allocation partitions.
      conditions.push(state.unchangedCondition(keys.domain(giver)));
      conditions.push(...allocationConditions(state, giver, maxWrites));
      writes.push({ put: keys.domain(giver), value: encodeDomainHead({ ...domain, quota }) });
    }
    return { conditions, writes };
  }

  private logRebalanced(
    { givers }: RebalancedQuota,
    amounts: readonly object[],
    conditions: readonly Condition[],
  ): void {
    const { log, ownDomain } = this.dependencies;
    log.debug(
      { from: [...givers.keys()], amounts, conditions, ...ownDomain.decisionContext() },
      'quota rebalanced',
    );
  }

  /**
   * Maximum number of peers that can give quota in one transaction: each allocation partition of each of them needs a
   * condition.
   */
  private maxGivers(peers: Iterable<string>): number {
    const { state } = this.dependencies;
    const { maxWrites } = this.options;
    const conditions = [...peers].map(
      (peer) => allocationConditions(state, peer, maxWrites).length,
    );
    const maxConditionsPerGiver = Math.max(0, ...conditions) + 1;
    // One write and one condition are needed for the own domain's head.
    const byConditions = Math.floor((CONDITIONS_PER_WRITE * maxWrites - 1) / maxConditionsPerGiver);
    return Math.min(maxWrites - 1, byConditions);
  }
}
