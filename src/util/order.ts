/** Orders that all controllers agree on without asking each other. */

/** Compares names by their code units, the same on every machine. */
export function compareNames(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** Whose turn it is comes from the name of what there is to do, so that the hosts agree without asking: 0 is first. */
export function turnOf(name: string, hosts: string[], self: string): number {
  let sum = 0;
  for (let at = 0; at < name.length; at++) sum = (Math.imul(sum, 31) + name.charCodeAt(at)) >>> 0;
  const at = hosts.indexOf(self);
  return at < 0 ? 0 : (at - (sum % hosts.length) + hosts.length) % hosts.length;
}
