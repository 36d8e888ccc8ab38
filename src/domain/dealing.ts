import { compareNames } from '../util/order.js';
/**
 * Algorithm 1 of the paper, with one change: machines have no links among them, so every machine counts
 * as adjacent to every heir. Each heir gets one machine a round; the machines are taken zone by zone,
 * so that each heir's share holds some of every zone.
 */
export function partitionForTakeover(
  machines: { id: string; site: string }[],
  heirs: string[],
): Record<string, string[]> {
  const lists: Record<string, string[]> = {};
  const order = [...heirs].sort();
  if (order.length === 0) return lists;
  const left = [...machines].sort(
    (a, b) => compareNames(a.site, b.site) || compareNames(a.id, b.id),
  );
  left.forEach((machine, at) => {
    const heir = order[at % order.length] ?? '';
    (lists[heir] ??= []).push(machine.id);
  });
  return lists;
}
