/** Days of faults drawn by seed: tens of machines, teams at their limits, faults that overlap at random. */
import { deploymentOf } from './deployments.js';
import { afterSeconds } from './fault-injection.js';
import { FAULT_KINDS, injectFault, type Fault } from './fault-kinds.js';
import { SeededRandom } from './time.js';
import { queryOnCompletion, submitWorkload } from './workload.js';
import { World } from './world.js';

export interface Schedule {
  seed: number;
  faults: Fault[];
}

/** Faults begin after `FIRST_S` and are over by `OVER_S`; by `END_S` everything has settled. */
const FIRST_S = 25;
const OVER_S = 110;
const END_S = 215;
/** No fault begins this shortly before all are over, and none lasts longer than the second. */
const LAST_BEGIN_S = 15;
const LONGEST_S = 22;

/** The faults of a seed's day. */
export function drawSchedule(seed: number): Schedule {
  const random = new SeededRandom(seed * 7919 + 13);
  const faults: Fault[] = [];
  const total = random.int(3, 12);
  for (let drawn = 0; drawn < total; drawn++) {
    const kind = FAULT_KINDS[random.int(0, FAULT_KINDS.length - 1)] ?? 'crash';
    const atS = random.real(FIRST_S, OVER_S - LAST_BEGIN_S);
    const forS = Math.min(random.real(1, LONGEST_S), OVER_S - atS);
    const host = random.int(0, deploymentOf(seed).options.hosts.length - 1);
    faults.push({ kind, atS, forS, host, count: random.int(1, 5) });
  }
  return { seed, faults: faults.sort((a, b) => a.atS - b.atS) };
}

/** What one run showed: rules broken at workers and users first, then what the records broke. */
export interface Findings {
  broken: string[];
  records: string[];
  starts: number;
  finals: number;
}

/** Plays a seed's day with these faults on the seed's deployment. */
export async function play({ seed, faults }: Schedule): Promise<Findings> {
  const { options, machines, load } = deploymentOf(seed);
  const world = new World(seed, options);
  world.cloud.startMachines(machines);
  submitWorkload(world, load);
  queryOnCompletion(world);
  for (const fault of faults)
    afterSeconds(world, fault.atS, () => {
      injectFault(world, fault);
    });
  const findings = await playOut(world, OVER_S, END_S);
  const starved = world.checker.starvedGroups().map((name) => `unserved: ${name}`);
  return { ...findings, broken: [...findings.broken, ...starved] };
}

/** Plays a day whose faults are laid out to its end, and gathers what it broke. */
export async function playOut(world: World, overS: number, endS: number): Promise<Findings> {
  world.checker.faultsEndAt = overS * 1000;
  await world.time.runUntil(endS * 1000);
  world.checker.finish();
  world.shutDown();
  return {
    broken: [...world.checker.violations],
    records: world.recordViolations.map(
      ({ rule, what, at }) => `${rule} at ${String(at)}: ${what}`,
    ),
    starts: world.checker.starts.length,
    finals: world.finals.size,
  };
}
