/** Orders that all controllers agree on without asking each other. */

/** Compares names by their code units, the same on every machine. */
export function compareNames(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** Multiplier of the hash over a name's code units. */
const HASH_MULTIPLIER = 31;

/**
 * A host's place in the order in which the hosts try something; 0 is first. Who is first follows from the name of what is
 * to be done, so that the work spreads over the hosts.
 */
export function turnOf(name: string, hosts: string[], self: string): number {
  const index = hosts.indexOf(self);
  if (index < 0) return 0;
  const first = hash(name) % hosts.length;
  return (index - first + hosts.length) % hosts.length;
}

function hash(name: string): number {
  let sum = 0;
  for (let index = 0; index < name.length; index++)
    sum = (Math.imul(sum, HASH_MULTIPLIER) + name.charCodeAt(index)) >>> 0;
  return sum;
}
