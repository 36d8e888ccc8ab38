import type { ResourceAmount } from '../model/resources.js';
/** How a team's limit is dealt over the domains: pure functions. */

type Quota = Record<string, ResourceAmount>;
type Used = ReadonlyMap<string, ResourceAmount>;

const NONE: ResourceAmount = { cpus: 0, gpus: 0 };

/**
 * What goes along when machines change hands: what their tasks use, and `share` of what is unused there.
 * The sum over both domains stays the same. What the tasks use is never cut: should the giver have less, which
 * sound records exclude, its part falls below nothing, so that the shortage stays where it was and is seen.
 */
export function takeFrom(
  from: { quota: Quota; used: Used },
  to: { quota: Quota; moving: Used },
  share: number,
): { from: Quota; to: Quota } {
  const left: Quota = {};
  const got: Quota = { ...to.quota };
  for (const [team, part] of Object.entries(from.quota)) {
    const used = from.used.get(team) ?? NONE;
    const moving = to.moving.get(team) ?? NONE;
    const going = (have: number, use: number, move: number): number =>
      move + Math.max(0, have - use) * share;
    const cpus = going(part.cpus, used.cpus, moving.cpus);
    const cards = going(part.gpus, used.gpus, moving.gpus);
    const mine = got[team] ?? NONE;
    left[team] = { cpus: part.cpus - cpus, gpus: part.gpus - cards };
    got[team] = { cpus: mine.cpus + cpus, gpus: mine.gpus + cards };
  }
  return { from: left, to: got };
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

/**
 * Takes what is lacking out of what others have unused: so much that everybody has the same unused, or
 * what a gang or a single task needs at once. More would only be asked back, and near the limit all would
 * take from each other without end.
 */
export function rebalanceQuota(
  own: { quota: Quota; used: Used },
  lacking: ReadonlyMap<string, QuotaShortfall>,
  parts: ReadonlyMap<string, { quota: Quota; used: Used }>,
  most: number,
): { own: Quota; others: Map<string, Quota> } | null {
  const result: Quota = { ...own.quota };
  const others = new Map<string, Quota>();
  for (const [team, need] of lacking)
    for (const kind of ['cpus', 'gpus'] as const) {
      const free = (quota: Quota, used: Used): number =>
        (quota[team]?.[kind] ?? 0) - (used.get(team)?.[kind] ?? 0);
      const mine = free(own.quota, own.used);
      const unused = [...parts]
        .map(([host, part]) => ({ host, free: free(others.get(host) ?? part.quota, part.used) }))
        .filter((part) => part.free > 0)
        .sort((a, b) => b.free - a.free || (a.host < b.host ? -1 : 1));
      const sum = unused.reduce((total, part) => total + part.free, Math.max(0, mine));
      const mean = sum / (parts.size + 1);
      // What is left of each part may be too little for a task, and all of it together enough.
      const whole =
        [need.indivisible[kind], need.smallestTask[kind]]
          .map((unit) => unit - mine)
          .find((lacks) => lacks > EPS && lacks <= sum - mine + EPS) ?? 0;
      // Half of the way to the mean is not worth a write.
      const even = mean > 2 * Math.max(0, mine) ? Math.min(need.total[kind], mean - mine) : 0;
      let want = Math.max(even, whole);
      for (const { host, free: there } of unused) {
        if (want <= EPS || (!others.has(host) && others.size >= most)) break;
        const taken = Math.min(want, whole > 0 ? there : Math.max(0, there - mean));
        if (taken <= EPS) continue;
        const quota = others.get(host) ?? { ...parts.get(host)?.quota };
        const before = quota[team] ?? NONE;
        const here = result[team] ?? NONE;
        quota[team] = { ...before, [kind]: before[kind] - taken };
        result[team] = { ...here, [kind]: here[kind] + taken };
        others.set(host, quota);
        want -= taken;
      }
    }
  return others.size > 0 ? { own: result, others } : null;
}

const EPS = 1e-6;
