/** Combinations of faults that users have seen break schedulers. Each brings one about and tells whether it did. */
import assert from 'node:assert/strict';
import { afterSeconds } from './fault-injection.js';
import { World } from './world.js';

export interface CombinedFaults {
  name: string;
  /** Submits further jobs, beside those that every combination has. */
  submit?(world: World): void;
  inject(world: World): void;
  /** Whether the combination really took place. */
  tookPlace(world: World): boolean;
  /** When all faults are over. */
  overS?: number;
}

/** Seeds that each combination is played with. */
export const COMBINATION_SEEDS = [1, 2];

const DEFAULT_OVER_S = 90;
/** So long after the faults all is settled. */
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

/** A controller crashes and comes back after so many seconds. */
export const crashAt = (world: World, atS: number, host: string, backS: number): void => {
  afterSeconds(world, atS, () => {
    world.kill(host, backS * 1000);
  });
};

/** How many cancellations were confirmed to their users after this. */
export const cancelledAfter = (world: World, seconds: number): number =>
  [...world.checker.cancelledAt.values()].filter((atMs) => atMs > seconds * 1000).length;

/** Plays a combination and asserts that it took place and what must hold at its end. */
export async function playCombinedFaults(faults: CombinedFaults, seed: number): Promise<void> {
  const { overS = DEFAULT_OVER_S } = faults;
  const world = new World(seed, { capacity: 6 });
  world.cloud.startMachines(6);
  submitCommonJobs(world);
  faults.submit?.(world);
  faults.inject(world);
  world.checker.faultsEndAt = overS * 1000;
  await world.time.runUntil((overS + SETTLE_S) * 1000);
  world.checker.finish();
  assert.ok(faults.tookPlace(world), 'the combination took place');
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  assert.deepEqual(
    world.checker.startsAfterCancel,
    [],
    'nothing starts once it is told to be cancelled',
  );
  assert.deepEqual(world.checker.starvedGroups(), []);
  assert.deepEqual(world.checker.lateLargestJobs(world.time.now), []);
  world.shutDown();
}
