/** Simulated runs with faults drawn by seed: tens of machines, teams at their limits, randomly overlapping faults. */
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

/** Times in a run, in seconds: the first possible fault, the end of all faults, and the end, when all work has settled. */
const FIRST_FAULT_S = 25;
const FAULTS_END_S = 110;
const END_S = 215;
/** Minimum time from the start of a fault to `FAULTS_END_S`, and maximum duration of a fault, in seconds. */
const LAST_FAULT_MARGIN_S = 15;
const MAX_DURATION_S = 22;

/** Draws the faults of a seed's run. */
export function drawSchedule(seed: number): Schedule {
  const random = new SeededRandom(seed * 7919 + 13);
  const faults: Fault[] = [];
  const total = random.int(3, 12);
  for (let drawn = 0; drawn < total; drawn++) {
    const kind = FAULT_KINDS[random.int(0, FAULT_KINDS.length - 1)] ?? 'crash';
    const atS = random.real(FIRST_FAULT_S, FAULTS_END_S - LAST_FAULT_MARGIN_S);
    const forS = Math.min(random.real(1, MAX_DURATION_S), FAULTS_END_S - atS);
    const host = random.int(0, deploymentOf(seed).options.hosts.length - 1);
    faults.push({ kind, atS, forS, host, count: random.int(1, 5) });
  }
  return { seed, faults: faults.sort((a, b) => a.atS - b.atS) };
}

/** Result of a run: violations that workers and users observed, violations by stored records, and amounts of work. */
export interface Findings {
  violations: string[];
  recordViolations: string[];
  /** Number of task starts. */
  starts: number;
  /** Number of jobs with a final state. */
  finals: number;
}

/** Simulates a seed's workload with these faults on the seed's deployment. */
export async function runSchedule({ seed, faults }: Schedule): Promise<Findings> {
  const { options, machines, loadFactor } = deploymentOf(seed);
  const world = new World(seed, options);
  world.cloud.startMachines(machines);
  submitWorkload(world, loadFactor);
  queryOnCompletion(world);
  for (const fault of faults)
    afterSeconds(world, fault.atS, () => {
      injectFault(world, fault);
    });
  const findings = await runToEnd(world, FAULTS_END_S, END_S);
  const starved = world.checker.starvedGroups().map((name) => `unserved: ${name}`);
  return { ...findings, violations: [...findings.violations, ...starved] };
}

/** Runs a simulation whose faults are already scheduled to its end, and collects the findings. */
export async function runToEnd(world: World, faultsEndS: number, endS: number): Promise<Findings> {
  world.checker.faultsEndAt = faultsEndS * 1000;
  await world.time.runUntil(endS * 1000);
  world.checker.finish();
  world.shutDown();
  return {
    violations: [...world.checker.violations],
    recordViolations: world.recordViolations.map(
      ({ rule, what, at }) => `${rule} at ${String(at)}: ${what}`,
    ),
    starts: world.checker.starts.length,
    finals: world.finalPhases.size,
  };
}
