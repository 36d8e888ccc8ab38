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
  const left = [...machines].sort((a, b) => compare(a.site, b.site) || compare(a.id, b.id));
  left.forEach((machine, at) => {
    const heir = order[at % order.length] ?? '';
    (lists[heir] ??= []).push(machine.id);
  });
  return lists;
}

export function compare(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** Whose turn it is comes from the name of what there is to do, so that the hosts agree without asking: 0 is first. */
export function turnOf(name: string, hosts: string[], self: string): number {
  let sum = 0;
  for (let at = 0; at < name.length; at++) sum = (Math.imul(sum, 31) + name.charCodeAt(at)) >>> 0;
  const at = hosts.indexOf(self);
  return at < 0 ? 0 : (at - (sum % hosts.length) + hosts.length) % hosts.length;
}
