/** The faults of one run, drawn from its seed. */
import { SeededRandom } from '../fakes/time.js';

const KINDS = [
  'kill',
  'kill all',
  'pause',
  'state slow',
  'state out',
  'state refuses one',
  'answers lost',
  'transactions late',
  'peers cut',
  'workers cut',
  'heartbeats cut',
  'commands held',
  'links slow',
  'heartbeats repeated',
  'machine hangs',
  'machine ends',
  'cancel now',
] as const;

export type FaultKind = (typeof KINDS)[number];

/** One fault, as data: it can be printed and read. */
export interface SoakFault {
  kind: FaultKind;
  /** Seconds from the start of the run. */
  atS: number;
  forS: number;
  /** The controller concerned, by its place. */
  host: number;
  /** How many machines or jobs it concerns, or how strong it is. */
  count: number;
}

/** Faults begin when the controllers have had this long to start. */
const FIRST_S = 4;
/** All faults are over this long before the end. */
const SETTLE_S = 6;
/** One fault for about so many seconds. */
const EVERY_S = 1.3;

export function drawSoak(seed: number, seconds: number, hosts: number): SoakFault[] {
  const random = new SeededRandom(seed * 104_729 + 71);
  const overS = seconds - SETTLE_S;
  const faults: SoakFault[] = [];
  const count = Math.max(2, Math.round((overS - FIRST_S) / EVERY_S));
  // Half of the runs have a slow state service under restarts: that once let teams exceed their limits.
  if (random.chance(0.5)) {
    faults.push({ kind: 'state slow', atS: FIRST_S, forS: overS - FIRST_S, host: 0, count: 4 });
    const everyS = random.real(1.5, 4);
    for (let index = 0; FIRST_S + 0.5 + index * everyS < overS - 1; index++)
      faults.push({
        kind: 'kill',
        atS: FIRST_S + 0.5 + index * everyS,
        // Longer or shorter than the liveness lease, so that machines change hands or do not.
        forS: random.real(0.2, 2.5),
        host: index % hosts,
        count: 1,
      });
  }
  const drawn = faults.length + Math.ceil(count / 2);
  while (faults.length < Math.max(count, drawn)) {
    const atS = random.real(FIRST_S, overS - 1);
    faults.push({
      kind: KINDS[random.int(0, KINDS.length - 1)] ?? 'kill',
      atS,
      forS: Math.min(random.real(0.3, 6), overS - atS),
      host: random.int(0, hosts - 1),
      count: random.int(1, 4),
    });
  }
  return faults.sort((one, two) => one.atS - two.atS);
}
