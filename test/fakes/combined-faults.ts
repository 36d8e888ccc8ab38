/**
 * Combinations of faults that have broken schedulers in use. Each injects its faults and reports whether the intended
 * combination took place.
 */
import assert from 'node:assert/strict';
import { afterSeconds } from './fault-injection.js';
import { World } from './world.js';

export interface CombinedFaults {
  name: string;
  /** Submits jobs in addition to the common ones. */
  submit?(world: World): void;
  inject(world: World): void;
  /** Whether the combination really took place. */
  tookPlace(world: World): boolean;
  /** Time at which all faults are over, in seconds. */
  faultsEndS?: number;
}

/** Seeds with which each combination is run. */
export const COMBINATION_SEEDS = [1, 2];

const DEFAULT_FAULTS_END_S = 90;
/** Time from the end of the faults to the final checks, in seconds. */
const SETTLE_S = 110;
export const SERVICE = {
  kind: 'service',
  priority: 'critical',
  expectedSeconds: 0,
  image: 'img-s',
} as const;

function submitCommonJobs(world: World): void {
  for (let index = 0; index < 12; index++)
    afterSeconds(world, index * 7, () => {
      world.submit({
        team: index % 2 === 0 ? 'red' : 'blue',
        image: `img-${String(index % 3)}`,
        tasks: world.random.int(1, 6),
        deadlineSeconds: 40,
        expectedSeconds: 12,
      });
    });
  for (let index = 0; index < 3; index++)
    afterSeconds(world, index * 9, () => {
      world.submit({ ...SERVICE, tasks: 2, spreadAcrossZones: true });
    });
  afterSeconds(world, 5, () => {
    world.submit({
      kind: 'gang',
      priority: 'urgent',
      tasks: 2,
      gpus: 2,
      cpus: 4,
      singleZone: true,
    });
  });
}

/** A controller crashes at a time and restarts after `downS` seconds. */
export const crashAt = (world: World, atS: number, host: string, downS: number): void => {
  afterSeconds(world, atS, () => {
    world.kill(host, downS * 1000);
  });
};

/** The number of cancellations that were confirmed to users after this time. */
export const cancelledAfter = (world: World, seconds: number): number =>
  [...world.checker.cancelledAt.values()].filter((atMs) => atMs > seconds * 1000).length;

/** Runs a combination; asserts that it took place, and the conditions that must hold at its end. */
export async function runCombinedFaults(faults: CombinedFaults, seed: number): Promise<void> {
  const { faultsEndS = DEFAULT_FAULTS_END_S } = faults;
  const world = new World(seed, { capacity: 6 });
  world.cloud.startMachines(6);
  submitCommonJobs(world);
  faults.submit?.(world);
  faults.inject(world);
  world.checker.faultsEndAt = faultsEndS * 1000;
  await world.time.runUntil((faultsEndS + SETTLE_S) * 1000);
  world.checker.finish();
  assert.ok(faults.tookPlace(world), 'the combination took place');
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  assert.deepEqual(
    world.checker.startsAfterCancel,
    [],
    'no task starts after the cancellation of its job was confirmed',
  );
  assert.deepEqual(world.checker.starvedGroups(), []);
  assert.deepEqual(world.checker.lateLargestJobs(world.time.now), []);
  world.shutDown();
}
