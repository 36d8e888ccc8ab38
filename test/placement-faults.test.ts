/** Placement under zone bindings, quota limits and scarce resources while faults overlap. */
import { test } from 'node:test';
import {
  cancelledAfter,
  COMBINATION_SEEDS,
  crashAt,
  runCombinedFaults,
  SERVICE,
  type CombinedFaults,
} from './fakes/combined-faults.js';
import {
  afterSeconds,
  cancelRunningJobs,
  isolateZone,
  partitionRandomWorker,
} from './fakes/fault-injection.js';

const COMBINATIONS: CombinedFaults[] = [
  {
    name: 'single-zone jobs, including arrays, lose machines',
    submit(world) {
      world.submitLongJobs({ singleZone: true, tasks: 4, expectedSeconds: 30 }, 4);
      world.submit({ ...SERVICE, singleZone: true, tasks: 3, cpus: 1 });
    },
    inject(world) {
      for (const atS of [30, 45])
        afterSeconds(world, atS, () => {
          const task = world.checker
            .running()
            .find(({ jobId }) => world.specs.get(jobId)?.singleZone);
          world.workers.get(task?.machineId ?? '')?.die();
        });
      afterSeconds(world, 35, () => {
        isolateZone(world, 'y', 20);
      });
      afterSeconds(world, 60, () => {
        partitionRandomWorker(world, 15, 'hold');
      });
      crashAt(world, 62, 'b', 5);
    },
    tookPlace: (world) => {
      const singleZoneStarts = world.checker.starts.filter(
        ({ jobId }) => world.specs.get(jobId)?.singleZone,
      );
      return singleZoneStarts.length > 4 * 4 + 3 + 2;
    },
  },
  {
    name: 'a team is at its quota limit while owners change, machines are unreachable and jobs are cancelled',
    submit(world) {
      world.submitLongJobs({ team: 'blue', tasks: 24, expectedSeconds: 40 }, 3);
    },
    inject(world) {
      afterSeconds(world, 38, () => {
        partitionRandomWorker(world, 25, 'hold');
        partitionRandomWorker(world, 14, 'drop');
      });
      crashAt(world, 40, 'a', 6);
      afterSeconds(world, 41, () => {
        cancelRunningJobs(world, 3);
      });
      crashAt(world, 44, 'b', 0.3);
    },
    tookPlace: (world) => cancelledAfter(world, 41) > 0,
  },
  {
    name: 'more urgent and idle work than free resources, over slow links',
    submit(world) {
      for (let index = 0; index < 10; index++) {
        const priority = index % 3 === 0 ? 'urgent' : 'idle';
        world.submit({
          team: index % 2 ? 'red' : 'blue',
          tasks: 16,
          priority,
          expectedSeconds: 15,
        });
      }
    },
    inject(world) {
      world.net.extraDelayMs = 350;
      afterSeconds(world, 40, () => {
        cancelRunningJobs(world, 4);
      });
      crashAt(world, 50, 'b', 3);
      afterSeconds(world, 90, () => {
        world.net.extraDelayMs = 0;
      });
    },
    tookPlace: (world) => world.checker.starts.length > 100,
  },
];

for (const faults of COMBINATIONS)
  for (const seed of COMBINATION_SEEDS)
    void test(`combined faults: ${faults.name} (seed ${String(seed)})`, () =>
      runCombinedFaults(faults, seed));
