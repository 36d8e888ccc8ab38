/**
 * Users cancel jobs while several faults overlap. Guards against tasks of cancelled jobs that keep running or start
 * again, and against two final states that are reported for one job.
 */
import { test } from 'node:test';
import {
  cancelledAfter,
  COMBINATION_SEEDS,
  crashAt,
  runCombinedFaults,
  type CombinedFaults,
} from './fakes/combined-faults.js';
import {
  afterSeconds,
  cancelOnCompletion,
  cancelRunningJobs,
  delayCommands,
  dropMessagesFromRandomWorker,
  isolateController,
  isolateZoneWithController,
  partition,
} from './fakes/fault-injection.js';
import { CANCEL_S } from './fakes/world.js';

const COMBINATIONS: CombinedFaults[] = [
  {
    name: 'a zone with workers and a controller is isolated for longer than a lease, and jobs are cancelled',
    inject(world) {
      afterSeconds(world, 40, () => {
        isolateZoneWithController(world, 'y', 'c', 25);
      });
      afterSeconds(world, 45, () => {
        cancelRunningJobs(world, 4);
      });
    },
    tookPlace: (world) => cancelledAfter(world, 45) > 0,
  },
  ...(['commands', 'answers'] as const).map((which): CombinedFaults => ({
    name: `${which} are delayed by seconds during cancellations and a crash`,
    inject(world) {
      for (const atS of [30, 42, 54, 66])
        afterSeconds(world, atS, () => {
          delayCommands(world, 6, which);
        });
      for (const atS of [31, 55])
        afterSeconds(world, atS, () => {
          cancelRunningJobs(world, 3);
        });
      crashAt(world, 56, 'a', 8);
    },
    tookPlace: (world) => cancelledAfter(world, 30) > 2,
  })),
  {
    name: 'cancellations, polls and resubmissions at the end of a task, without other faults',
    inject(world) {
      cancelOnCompletion(world, 0.5);
    },
    tookPlace: (world) => {
      const finals = [...world.finalPhases.values()];
      return finals.includes('done') && finals.includes('cancelled');
    },
  },
  {
    name: 'the store is slow, refuses one controller and then all, while users cancel and poll',
    inject(world) {
      afterSeconds(world, 30, () => {
        world.store.extraLatencyMs = 250;
      });
      afterSeconds(world, 40, () => world.store.refusedHosts.add('b'));
      for (const atS of [38, 41, 43])
        afterSeconds(world, atS, () => {
          cancelRunningJobs(world, 2);
        });
      afterSeconds(world, 44, () => {
        world.store.extraLatencyMs = 0;
        world.store.outage((CANCEL_S + 5) * 1000);
      });
      afterSeconds(world, 60, () => world.store.refusedHosts.delete('b'));
    },
    tookPlace: (world) => cancelledAfter(world, 38) > 0,
    faultsEndS: 82,
  },
  {
    name: 'heartbeats are lost while commands arrive, jobs are cancelled, and an owner crashes',
    inject(world) {
      for (const atS of [30, 34, 50])
        afterSeconds(world, atS, () => {
          dropMessagesFromRandomWorker(world, 28);
        });
      for (const atS of [36, 52])
        afterSeconds(world, atS, () => {
          cancelRunningJobs(world, 3);
        });
      crashAt(world, 40, 'c', 4);
    },
    tookPlace: (world) => world.net.affectedMessages.drop > 8 && cancelledAfter(world, 36) > 0,
  },
  {
    name: 'an owner loses the store and its peers but not workers and users; other controllers confirm cancellations',
    inject(world) {
      afterSeconds(world, 40, () => {
        isolateController(world, 'a', /^store|^[bc]$|^[bc]:2$/, { forS: 45 });
        partition(world, 45, 'hold', (from, to) => to === 'a:2' && /^[bc]$/.test(from));
      });
      for (const atS of [40.5, 43, 50])
        afterSeconds(world, atS, () => {
          cancelRunningJobs(world, 2);
        });
    },
    tookPlace: (world) => cancelledAfter(world, 40.5) > 0,
  },
  {
    name: 'jobs are cancelled whose machines hang, for less and for more than a lease',
    submit(world) {
      world.submitLongJobs({ tasks: 3 }, 4);
    },
    inject(world) {
      for (const [atS, hangS] of [
        [32, 5],
        [44, 9],
        [56, CANCEL_S + 10],
      ] as const)
        afterSeconds(world, atS, () => {
          cancelRunningJobs(world, 2, hangS);
        });
      crashAt(world, 58, 'a', 4);
    },
    tookPlace: (world) => cancelledAfter(world, 32) > 2,
    faultsEndS: 100,
  },
];

for (const faults of COMBINATIONS)
  for (const seed of COMBINATION_SEEDS)
    void test(`combined faults: ${faults.name} (seed ${String(seed)})`, () =>
      runCombinedFaults(faults, seed));
