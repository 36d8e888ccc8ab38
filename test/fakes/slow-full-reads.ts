/**
 * Simulated runs in which controllers restart one after the other while the state service is slow. Full reads then
 * take seconds, and machines move between small domains in the meantime because the teams are at their limits.
 */
import type { JobSpec } from '../../src/model/job.js';
import { runToEnd, type Findings } from './fault-schedule.js';
import { afterSeconds } from './fault-injection.js';
import { World, type WorldOptions } from './world.js';

/** A small fleet of about six machines: at most one per machine type and zone, separately for spot and on-demand. */
const OPTIONS: Partial<WorldOptions> & Pick<WorldOptions, 'hosts'> = {
  hosts: ['a', 'b', 'c'],
  capacity: 1,
  machineTypes: [
    {
      name: 'small',
      cpus: 4,
      gpus: 0,
      memoryGb: 32,
      pricePerHour: 1,
      spotPricePerHour: 0.3,
      bootSeconds: 10,
      zones: ['x', 'y'],
    },
    {
      name: 'large',
      cpus: 8,
      gpus: 0,
      memoryGb: 64,
      pricePerHour: 2,
      spotPricePerHour: 0.6,
      bootSeconds: 10,
      zones: ['x', 'y'],
    },
  ],
  teams: [
    { name: 'red', cpus: 6, cpus_max: 12, gpus: 0, gpus_max: 0 },
    { name: 'blue', cpus: 6, cpus_max: 12, gpus: 0, gpus_max: 0 },
  ],
  state: { rps: 120, write_rps: 25, value_kb: 8, txn_ops: 20 },
};

const SLOW_START_S = 30;
const SLOW_END_S = 150;
const FIRST_RESTART_S = SLOW_START_S + 5;
const END_S = 280;

export interface SlowStoreScenario {
  seed: number;
  /** Interval between restarts of controllers while the state service is slow, in seconds. */
  restartEveryS: number;
}

export async function runSlowStoreScenario({
  seed,
  restartEveryS,
}: SlowStoreScenario): Promise<Findings> {
  const world = new World(seed, OPTIONS);
  world.cloud.startMachines(4);
  submitWork(world);
  slowStore(world);
  restartControllers(world, restartEveryS);
  return runToEnd(world, SLOW_END_S, END_S);
}

/** Submits more work for both teams than their limits allow to run at once. */
function submitWork(world: World): void {
  const { random } = world;
  for (let index = 0; index < 60; index++)
    afterSeconds(world, index * 2.5, () => {
      const spec: Partial<JobSpec> = {
        team: index % 2 === 0 ? 'red' : 'blue',
        image: `img-${String(index % 3)}`,
        tasks: random.int(1, 8),
        cpus: 2,
        spot: true,
        expectedSeconds: random.real(3, 20),
      };
      world.submit(spec, random.chance(0.1) ? random.real(0, 9000) : null);
    });
}

/** Slows the state service: latencies of 40 to 400 ms, some 429 and 503 answers, full reads in pages of few records. */
function slowStore({ store, time }: World): void {
  time.after(SLOW_START_S * 1000, () => {
    store.latencyMs = [40, 400];
    store.errorShare = 0.03;
    store.maxPageItems = 3;
  });
  time.after(SLOW_END_S * 1000, () => {
    store.latencyMs = null;
    store.errorShare = 0;
    store.maxPageItems = 1000;
  });
}

/** Restarts the controllers one after the other. */
function restartControllers(world: World, intervalS: number): void {
  const hosts = world.hosts();
  for (let index = 0; FIRST_RESTART_S + index * intervalS < SLOW_END_S; index++)
    afterSeconds(world, FIRST_RESTART_S + index * intervalS, () => {
      world.kill(hosts[index % hosts.length] ?? 'a', world.random.real(500, 3000));
    });
}
