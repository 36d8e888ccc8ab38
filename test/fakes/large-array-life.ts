/** The life of a job of very many small tasks among other jobs, with what is drawn for a seed happening to it. */
import { DEFAULT_OPERATOR_SETTINGS } from '../../src/config/operator.js';
import type { JobKind } from '../../src/model/job.js';
import { longestTurnMs } from './event-loop.js';
import { afterSeconds, partitionRandomWorker } from './fault-injection.js';
import { SeededRandom } from './time.js';
import { CANCEL_S, LEASE_S, type WorldOptions } from './world-options.js';
import { World } from './world.js';

const MACHINES = 6;
const MACHINE_CPUS = 16;
/** CPU limit of the team of the large job. */
export const TEAM_CPUS = 40;
/** Longest restart of a controller, and longest partition. */
const MAX_DOWN_S = 2 * LEASE_S;
const JOB_AT_S = 15;
const FAULTS_FROM_S = 20;
const FAULTS_UNTIL_S = 45;
const CANCEL_AT_S = FAULTS_UNTIL_S + MAX_DOWN_S;
/** When everything of the job must be over: workers that were lost are noticed within a lease. */
const OVER_AT_S = CANCEL_AT_S + CANCEL_S + LEASE_S;
const END_S = OVER_AT_S + 60;

/** Machines with room for many small tasks, and a team with a limit of its own for them. */
export function largeArrayWorld(
  seed: number,
  state: WorldOptions['state'],
  hosts: string[] = ['a', 'b', 'c'],
): World {
  const world = new World(seed, {
    hosts,
    state,
    capacity: MACHINES,
    teams: [
      { name: 'red', cpus: TEAM_CPUS, cpus_max: TEAM_CPUS, gpus: 0, gpus_max: 0 },
      { name: 'blue', cpus: 16, cpus_max: 24, gpus: 0, gpus_max: 4 },
    ],
    machineTypes: [
      {
        name: 'large',
        cpus: MACHINE_CPUS,
        gpus: 0,
        memoryGb: 128,
        pricePerHour: 1,
        spotPricePerHour: 0.3,
        bootSeconds: 10,
        zones: ['x', 'y'],
      },
    ],
    operator: { ...DEFAULT_OPERATOR_SETTINGS, rent: false },
  });
  world.cloud.startMachines(MACHINES);
  return world;
}

/** The machine with the most tasks of a job dies. */
export function loseBusiestMachine(world: World, jobId: string): void {
  const counts = new Map<string, number>();
  for (const task of world.checker.running())
    if (task.jobId === jobId) counts.set(task.machineId, (counts.get(task.machineId) ?? 0) + 1);
  const [busiest] = [...counts].sort(([, one], [, two]) => two - one);
  world.workers.get(busiest?.[0] ?? '')?.die();
}

interface LargeJob {
  kind: JobKind;
  tasks: number;
  cpus: number;
  memoryGb: number;
  expectedSeconds: number;
}

/** Something drawn that happens to the job. */
type Incident =
  | 'a machine is lost'
  | 'a machine is cut off'
  | 'a controller restarts'
  | 'all controllers restart';
const INCIDENTS: readonly Incident[] = [
  'a machine is lost',
  'a machine is cut off',
  'a controller restarts',
  'all controllers restart',
];

interface DrawnLife {
  hosts: string[];
  state: WorldOptions['state'];
  job: LargeJob;
  incidents: { incident: Incident; atS: number; forS: number }[];
}

function pick<T>(random: SeededRandom, choices: readonly T[]): T {
  const choice = choices[random.int(0, choices.length - 1)];
  if (choice === undefined) throw new Error('nothing to choose from');
  return choice;
}

/** What is drawn for a seed. */
export function drawLife(seed: number): DrawnLife {
  const random = new SeededRandom(seed);
  const kind: JobKind = random.chance(0.75) ? 'array' : 'service';
  const tasks = pick(random, [900, 3000, 10_000, 100_000]);
  // A service needs all of its tasks at once, so they must fit into the limit of its team.
  const maxCpus = kind === 'service' ? TEAM_CPUS / tasks : 0.02;
  const job = {
    kind,
    tasks,
    cpus: Math.min(maxCpus, pick(random, [0.0005, 0.005, 0.02])),
    memoryGb: 0.01,
    expectedSeconds: kind === 'service' ? 0 : pick(random, [4, 15, 600]),
  };
  const state = {
    rps: 200,
    write_rps: pick(random, [15, 25, 60]),
    value_kb: pick(random, [1, 4, 8]),
    txn_ops: pick(random, [8, 12, 20]),
  };
  const incidents = Array.from({ length: random.int(1, 3) }, () => ({
    incident: pick(random, INCIDENTS),
    atS: random.real(FAULTS_FROM_S, FAULTS_UNTIL_S),
    forS: random.real(0.3, MAX_DOWN_S),
  }));
  const hosts = random.chance(0.5) ? ['a', 'b', 'c'] : ['a', 'b', 'c', 'd', 'e'];
  return { hosts, state, job, incidents };
}

/** Runs a drawn life to its end; returns what went wrong. */
export async function runLife(seed: number): Promise<string[]> {
  const life = drawLife(seed);
  const world = largeArrayWorld(seed, life.state, life.hosts);
  world.checker.faultsEndAt = OVER_AT_S * 1000;
  await world.time.runUntil(10_000);
  const other = { team: 'blue', cpus: 1 };
  world.submit({ ...other, kind: 'service', priority: 'critical', tasks: 3, expectedSeconds: 0 });
  await world.time.runUntil(JOB_AT_S * 1000);
  const jobId = world.submit({ ...life.job });
  for (const { incident, atS, forS } of life.incidents)
    afterSeconds(world, atS - JOB_AT_S, () => {
      happen(world, jobId, incident, forS);
    });
  for (let atS = 5; atS < OVER_AT_S - JOB_AT_S; atS += 10)
    afterSeconds(world, atS, () => world.submit({ ...other, tasks: 2 }));
  const blockedMs = await longestTurnMs(async () => {
    await world.time.runUntil(CANCEL_AT_S * 1000);
    if (!world.finalPhases.has(jobId)) void world.cancel(jobId);
    await world.time.runUntil(OVER_AT_S * 1000);
  });
  const whole = world.submit({ kind: 'gang', tasks: TEAM_CPUS / 4, cpus: 4, expectedSeconds: 5 });
  await world.time.runUntil(END_S * 1000);
  world.checker.finish();
  const startsOf = (id: string): number =>
    world.checker.starts.filter((start) => start.jobId === id).length;
  const findings = [...world.checker.violations, ...world.store.oversized];
  for (const { rule, what } of world.recordViolations) findings.push(`${rule}: ${what}`);
  if (blockedMs > MAX_TURN_MS) findings.push(`blocked for ${blockedMs.toFixed(0)} ms`);
  if (startsOf(jobId) === 0) findings.push('the job did not start');
  if (!world.finalPhases.has(jobId)) findings.push('the job did not end');
  if (startsOf(whole) === 0) findings.push('the team did not get its whole limit back');
  for (const { id, oversizedHeartbeats } of world.workers.values())
    if (oversizedHeartbeats > 0) findings.push(`heartbeats of ${id} too large`);
  world.shutDown();
  return findings;
}

/** Time in which a controller must get to renew its lease. */
export const MAX_TURN_MS = LEASE_S * 1000 * DEFAULT_OPERATOR_SETTINGS.renewalShare;

function happen(world: World, jobId: string, incident: Incident, forS: number): void {
  switch (incident) {
    case 'a machine is lost':
      loseBusiestMachine(world, jobId);
      break;
    case 'a machine is cut off':
      partitionRandomWorker(world, forS, 'hold');
      break;
    case 'a controller restarts':
      world.kill(world.hosts()[0] ?? '', forS * 1000);
      break;
    case 'all controllers restart':
      for (const host of world.hosts()) world.kill(host, 500);
      break;
  }
}
