/** Divides the teams' limits among the domains: pure functions. */
import { NO_RESOURCES, RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import { compareNames } from '../util/order.js';

/** Team to a domain's quota: the domain's part of the team's limit. */
export type QuotaByTeam = Record<string, ResourceAmount>;
/** Team to the usage of its tasks. */
export type UsageByTeam = ReadonlyMap<string, ResourceAmount>;

/** A domain's quotas and their usage. */
export interface QuotaUsage {
  quota: QuotaByTeam;
  used: UsageByTeam;
}

/** What the own queues could use of a team's limit beyond the own quota. */
export interface QuotaShortfall {
  /** Sum over all tasks that lack quota. */
  total: ResourceAmount;
  /** What a waiting gang needs at once, or a service for one replica; a smaller amount is of no use to it. */
  indivisible: ResourceAmount;
  /** What the smallest task that lacks quota needs. */
  smallestTask: ResourceAmount;
}

type ResourceKind = keyof ResourceAmount;
const RESOURCE_KINDS: readonly ResourceKind[] = ['cpus', 'gpus'];

/**
 * Quotas of both domains after machines have changed owners. The quota that their tasks use is transferred with them, and
 * `unusedShare` of the giver's unused quota. The sum over both domains stays the same. The quota for the tasks is never
 * reduced: if the giver has less, which cannot happen while the records are consistent, its quota becomes negative. The
 * shortage then stays in the domain where it arose and is visible there.
 */
export function transferQuota(
  giver: QuotaUsage,
  receiver: { quota: QuotaByTeam; moving: UsageByTeam },
  unusedShare: number,
): { giver: QuotaByTeam; receiver: QuotaByTeam } {
  const giverAfter: QuotaByTeam = {};
  const receiverAfter: QuotaByTeam = { ...receiver.quota };
  for (const [team, quota] of Object.entries(giver.quota)) {
    const used = giver.used.get(team) ?? NO_RESOURCES;
    const moving = receiver.moving.get(team) ?? NO_RESOURCES;
    const cpus = moving.cpus + Math.max(0, quota.cpus - used.cpus) * unusedShare;
    const gpus = moving.gpus + Math.max(0, quota.gpus - used.gpus) * unusedShare;
    const before = receiverAfter[team] ?? NO_RESOURCES;
    giverAfter[team] = { cpus: quota.cpus - cpus, gpus: quota.gpus - gpus };
    receiverAfter[team] = { cpus: before.cpus + cpus, gpus: before.gpus + gpus };
  }
  return { giver: giverAfter, receiver: receiverAfter };
}

/** The quotas after a rebalancing: those of the own domain, and those of the peers that give some of theirs. */
export interface RebalancedQuota {
  own: QuotaByTeam;
  givers: Map<string, QuotaByTeam>;
}

/**
 * Takes missing quota from the unused quota of peers. The amount is at most what leaves all domains with the same unused
 * quota, or what a gang or a single task needs at once. If more were taken, peers would take it back, and near the limit
 * domains would take quota from each other endlessly. At most `maxGivers` peers give quota; returns null if none does.
 */
export function rebalanceQuota(
  own: QuotaUsage,
  shortfalls: ReadonlyMap<string, QuotaShortfall>,
  peers: ReadonlyMap<string, QuotaUsage>,
  maxGivers: number,
): RebalancedQuota | null {
  const result: RebalancedQuota = { own: { ...own.quota }, givers: new Map() };
  for (const [team, shortfall] of shortfalls)
    for (const kind of RESOURCE_KINDS) {
      const ownUnused = unusedOf(own.quota, own.used, team, kind);
      const givers = giversOf(result, peers, team, kind);
      const demand = demandOf(shortfall, kind, { ownUnused, givers, domainCount: peers.size + 1 });
      takeFromGivers(result, { team, kind, givers, demand, peers, maxGivers });
    }
  return result.givers.size > 0 ? result : null;
}

/** A peer with unused quota of a team. */
interface Giver {
  controller: string;
  unused: number;
}

/** The unused quota of all domains for one team and one kind of resource. */
interface UnusedQuota {
  /** Negative if the usage exceeds the own quota. */
  ownUnused: number;
  givers: readonly Giver[];
  domainCount: number;
}

/** The amount to take of one kind of resource. */
interface Demand {
  amount: number;
  /** Whether givers may be left with less than the mean, because a smaller amount is of no use. */
  isIndivisible: boolean;
  /** Unused quota of each domain if it were divided equally. */
  meanUnused: number;
}

function unusedOf(quota: QuotaByTeam, used: UsageByTeam, team: string, kind: ResourceKind): number {
  return (quota[team]?.[kind] ?? 0) - (used.get(team)?.[kind] ?? 0);
}

/** The peers with unused quota, those with the most first. */
function giversOf(
  result: RebalancedQuota,
  peers: ReadonlyMap<string, QuotaUsage>,
  team: string,
  kind: ResourceKind,
): Giver[] {
  const all = [...peers].map(([controller, { quota, used }]) => ({
    controller,
    unused: unusedOf(result.givers.get(controller) ?? quota, used, team, kind),
  }));
  return all
    .filter(({ unused }) => unused > 0)
    .sort((a, b) => b.unused - a.unused || compareNames(a.controller, b.controller));
}

function demandOf(
  shortfall: QuotaShortfall,
  kind: ResourceKind,
  { ownUnused, givers, domainCount }: UnusedQuota,
): Demand {
  const ownSpare = Math.max(0, ownUnused);
  const totalUnused = givers.reduce((sum, { unused }) => sum + unused, ownSpare);
  const meanUnused = totalUnused / domainCount;
  // The unused quota of each domain may be too small for a task even if the sum of all is enough.
  const indivisible =
    [shortfall.indivisible[kind], shortfall.smallestTask[kind]]
      .map((required) => required - ownUnused)
      .find(
        (missing) =>
          missing > RESOURCE_EPSILON && missing <= totalUnused - ownUnused + RESOURCE_EPSILON,
      ) ?? 0;
  // Balancing is not worth a write if the own unused quota is at least half of the mean.
  const isWorthBalancing = meanUnused > 2 * ownSpare;
  const balancing = isWorthBalancing ? Math.min(shortfall.total[kind], meanUnused - ownUnused) : 0;
  return {
    amount: Math.max(balancing, indivisible),
    isIndivisible: indivisible > 0,
    meanUnused,
  };
}

/** A transfer of quota from peers, for one team and one kind of resource. */
interface QuotaTransfer {
  team: string;
  kind: ResourceKind;
  givers: readonly Giver[];
  demand: Demand;
  peers: ReadonlyMap<string, QuotaUsage>;
  maxGivers: number;
}

function takeFromGivers(result: RebalancedQuota, transfer: QuotaTransfer): void {
  const { team, kind, givers, demand, peers, maxGivers } = transfer;
  let wanted = demand.amount;
  for (const { controller, unused } of givers) {
    const isNewGiver = !result.givers.has(controller);
    if (wanted <= RESOURCE_EPSILON) break;
    if (isNewGiver && result.givers.size >= maxGivers) break;
    const available = demand.isIndivisible ? unused : Math.max(0, unused - demand.meanUnused);
    const amount = Math.min(wanted, available);
    if (amount <= RESOURCE_EPSILON) continue;
    const quota = result.givers.get(controller) ?? { ...peers.get(controller)?.quota };
    quota[team] = changedBy(quota[team], kind, -amount);
    result.own[team] = changedBy(result.own[team], kind, amount);
    result.givers.set(controller, quota);
    wanted -= amount;
  }
}

function changedBy(
  quota: ResourceAmount | undefined,
  kind: ResourceKind,
  by: number,
): ResourceAmount {
  const before = quota ?? NO_RESOURCES;
  return { ...before, [kind]: before[kind] + by };
}
