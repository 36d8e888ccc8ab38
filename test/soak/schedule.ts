/** Draws the faults of a soak run from its seed. */
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
  'commands repeated',
] as const;

export type FaultKind = (typeof KINDS)[number];

/** One fault, as plain data that can be printed. */
export interface SoakFault {
  kind: FaultKind;
  /** Seconds from the start of the run. */
  atS: number;
  /** Duration in seconds. */
  forS: number;
  /** Index of the affected controller. */
  host: number;
  /** Number of affected machines or jobs, or the strength of the fault. */
  count: number;
}

/** Time of the first possible fault, in seconds; controllers start before it. */
const FIRST_FAULT_S = 4;
/** Time between the end of all faults and the end of the run, in seconds. */
const SETTLE_S = 6;
/** Mean interval between faults, in seconds. */
const MEAN_INTERVAL_S = 1.3;

export function drawSoakFaults(seed: number, seconds: number, hosts: number): SoakFault[] {
  const random = new SeededRandom(seed * 104_729 + 71);
  const faultsEndS = seconds - SETTLE_S;
  const faults: SoakFault[] = [];
  const count = Math.max(2, Math.round((faultsEndS - FIRST_FAULT_S) / MEAN_INTERVAL_S));
  // Half of the runs restart controllers while the state service is slow; this combination once let teams exceed limits.
  if (random.chance(0.5)) {
    faults.push({
      kind: 'state slow',
      atS: FIRST_FAULT_S,
      forS: faultsEndS - FIRST_FAULT_S,
      host: 0,
      count: 4,
    });
    const killIntervalS = random.real(1.5, 4);
    for (let index = 0; FIRST_FAULT_S + 0.5 + index * killIntervalS < faultsEndS - 1; index++)
      faults.push({
        kind: 'kill',
        atS: FIRST_FAULT_S + 0.5 + index * killIntervalS,
        // Longer or shorter than the liveness lease, so that machines move to another domain in some cases only.
        forS: random.real(0.2, 2.5),
        host: index % hosts,
        count: 1,
      });
  }
  const minCount = faults.length + Math.ceil(count / 2);
  while (faults.length < Math.max(count, minCount)) {
    const atS = random.real(FIRST_FAULT_S, faultsEndS - 1);
    faults.push({
      kind: KINDS[random.int(0, KINDS.length - 1)] ?? 'kill',
      atS,
      forS: Math.min(random.real(0.3, 6), faultsEndS - atS),
      host: random.int(0, hosts - 1),
      count: random.int(1, 4),
    });
  }
  return faults.sort((one, two) => one.atS - two.atS);
}
