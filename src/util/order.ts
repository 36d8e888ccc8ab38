/** Orderings that every controller computes identically, without communication. */

/**
 * Compares names by their UTF-16 code units, so the result is the same on every machine (independent of the locale).
 */
export function compareNames(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

/** Multiplier of the polynomial hash over a name's code units. */
const HASH_MULTIPLIER = 31;

/**
 * Returns this host's position in the order in which the hosts attempt a piece of work; 0 is first. The first host is
 * chosen by a hash of the work's name, so that the work is spread over the hosts.
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
