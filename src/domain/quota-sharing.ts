/** How a team's quota limit is shared among the domains: pure functions. */
import { NO_RESOURCES, RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import { compareNames } from '../util/order.js';

/** Team to a domain's part of its limit. */
export type QuotaByTeam = Record<string, ResourceAmount>;
/** Team to what its tasks use. */
export type UsageByTeam = ReadonlyMap<string, ResourceAmount>;

/** A domain's parts of the limits, and what is used of them. */
export interface QuotaUsage {
  quota: QuotaByTeam;
  used: UsageByTeam;
}

/** What the own queues could use of a team's limit beyond the own part of it. */
export interface QuotaShortfall {
  /** In all. */
  total: ResourceAmount;
  /** What a gang that waits needs at once; nothing less is of use to it. */
  indivisible: ResourceAmount;
  /** What the smallest task needs. */
  smallestTask: ResourceAmount;
}

type ResourceKind = keyof ResourceAmount;
const RESOURCE_KINDS: readonly ResourceKind[] = ['cpus', 'gpus'];

/**
 * The quota that goes along when machines change owners: what their tasks use, and `unusedShare` of what is unused
 * in the domain that gives them. The sum over both domains stays the same. What the tasks use is never cut: should the
 * giver have less, which sound records exclude, its part falls below zero, so that the shortage stays where it
 * was and is seen.
 */
export function transferQuota(
  giver: QuotaUsage,
  receiver: { quota: QuotaByTeam; moving: UsageByTeam },
  unusedShare: number,
): { giver: QuotaByTeam; receiver: QuotaByTeam } {
  const giverAfter: QuotaByTeam = {};
  const receiverAfter: QuotaByTeam = { ...receiver.quota };
  for (const [team, part] of Object.entries(giver.quota)) {
    const used = giver.used.get(team) ?? NO_RESOURCES;
    const moving = receiver.moving.get(team) ?? NO_RESOURCES;
    const cpus = moving.cpus + Math.max(0, part.cpus - used.cpus) * unusedShare;
    const gpus = moving.gpus + Math.max(0, part.gpus - used.gpus) * unusedShare;
    const before = receiverAfter[team] ?? NO_RESOURCES;
    giverAfter[team] = { cpus: part.cpus - cpus, gpus: part.gpus - gpus };
    receiverAfter[team] = { cpus: before.cpus + cpus, gpus: before.gpus + gpus };
  }
  return { giver: giverAfter, receiver: receiverAfter };
}

/** The parts of the limits after a rebalancing: the own ones, and those of the peers that give some of theirs. */
export interface RebalancedQuota {
  own: QuotaByTeam;
  givers: Map<string, QuotaByTeam>;
}

/**
 * Takes what is lacking out of what peers have unused: so much that everybody has the same unused, or what a gang or
 * a single task needs at once. More would only be asked back, and near the limit all would take from each other
 * without end. At most `maxGivers` peers give something; null if none does.
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

/** A peer with some of a team's limit unused. */
interface Giver {
  controller: string;
  unused: number;
}

/** What all domains together have unused of one kind of resource of a team's limit. */
interface UnusedQuota {
  /** Below zero if more is in use than the own part. */
  ownUnused: number;
  givers: readonly Giver[];
  domainCount: number;
}

/** How much is wanted of one kind of resource. */
interface Demand {
  amount: number;
  /** Whether givers may be left with less than the mean, as a smaller amount is of no use. */
  isIndivisible: boolean;
  /** What each domain would have unused if all had the same. */
  meanUnused: number;
}

function unusedOf(quota: QuotaByTeam, used: UsageByTeam, team: string, kind: ResourceKind): number {
  return (quota[team]?.[kind] ?? 0) - (used.get(team)?.[kind] ?? 0);
}

/** The peers with something unused, those with most of it first. */
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
  // What is left of each part may be too little for a task, and all of it together enough.
  const indivisible =
    [shortfall.indivisible[kind], shortfall.smallestTask[kind]]
      .map((unit) => unit - ownUnused)
      .find(
        (lack) => lack > RESOURCE_EPSILON && lack <= totalUnused - ownUnused + RESOURCE_EPSILON,
      ) ?? 0;
  // Half of the way to the mean is not worth a write.
  const isWorthEvening = meanUnused > 2 * ownSpare;
  const evening = isWorthEvening ? Math.min(shortfall.total[kind], meanUnused - ownUnused) : 0;
  return {
    amount: Math.max(evening, indivisible),
    isIndivisible: indivisible > 0,
    meanUnused,
  };
}

/** One kind of resource of one team's limit that is taken from peers. */
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
    const isFurtherGiver = !result.givers.has(controller);
    if (wanted <= RESOURCE_EPSILON) break;
    if (isFurtherGiver && result.givers.size >= maxGivers) break;
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
  part: ResourceAmount | undefined,
  kind: ResourceKind,
  by: number,
): ResourceAmount {
  const before = part ?? NO_RESOURCES;
  return { ...before, [kind]: before[kind] + by };
}
