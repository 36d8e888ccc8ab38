/** Machines change owners repeatedly while other faults overlap. */
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
  dropMessagesToRandomWorker,
  partitionRandomWorker,
} from './fakes/fault-injection.js';

const COMBINATIONS: CombinedFaults[] = [
  {
    name: 'tasks end far apart in time while owners change',
    submit(world) {
      for (let index = 0; index < 8; index++)
        world.submit({ team: index % 2 ? 'red' : 'blue', tasks: 3, cpus: 1, expectedSeconds: 50 });
    },
    inject(world) {
      for (const [index, atS] of [34, 42, 50, 58, 66].entries())
        crashAt(world, atS, world.hosts()[index % 3] ?? '', 4);
      world.net.duplication = { path: '/checkin', share: 0.1, afterMs: [2000, 20_000] };
    },
    tookPlace: (world) => world.checker.starts.length > 24,
  },
  {
    name: 'all controllers are down for longer than a lease, and one restarts before the others',
    inject(world) {
      crashAt(world, 40, 'a', 14);
      crashAt(world, 40.2, 'b', 14.4);
      crashAt(world, 40.1, 'c', 25);
    },
    tookPlace: (world) => [...world.workers.values()].every(({ incarnation }) => incarnation > 1),
  },
  {
    name: 'owners change ten times in two minutes, also during an outage',
    submit(world) {
      world.submitLongJobs({ tasks: 2 }, 4);
    },
    inject(world) {
      for (let index = 0; index < 10; index++)
        crashAt(world, 30 + index * 6, world.hosts()[index % 3] ?? '', index % 4 === 3 ? 0.2 : 3.5);
      afterSeconds(world, 50, () => {
        world.store.outage(13_000);
      });
      afterSeconds(world, 60, () => {
        cancelRunningJobs(world, 2);
      });
    },
    tookPlace: (world) => (world.store.writesByKind.get('term') ?? 0) >= 10,
    faultsEndS: 100,
  },
  {
    name: 'controllers hand over and back, all crash, and one restarts within a second',
    inject(world) {
      crashAt(world, 35, 'a', 3);
      crashAt(world, 39, 'b', 3);
      crashAt(world, 43, 'a', 0.5);
      crashAt(world, 43.3, 'b', 18);
      crashAt(world, 43.4, 'c', 18);
      afterSeconds(world, 44, () => {
        cancelRunningJobs(world, 2);
      });
    },
    tookPlace: (world) => cancelledAfter(world, 44) > 0,
  },
  {
    name: 'an owner crashes while machines with long tasks are unreachable or receive nothing from its successor',
    submit(world) {
      world.submitLongJobs({ tasks: 4, expectedSeconds: 70 }, 3);
    },
    inject(world) {
      afterSeconds(world, 38, () => {
        partitionRandomWorker(world, 30, 'drop');
        dropMessagesToRandomWorker(world, 25);
        dropMessagesToRandomWorker(world, 40);
      });
      crashAt(world, 40, 'a', 30);
      afterSeconds(world, 42, () => {
        cancelRunningJobs(world, 2);
      });
      crashAt(world, 55, 'b', 2);
    },
    tookPlace: (world) => world.net.affectedMessages.drop > 8 && cancelledAfter(world, 42) > 0,
  },
  {
    name: 'unanswered transactions are executed late, after newer ones, while controllers crash',
    inject(world) {
      afterSeconds(world, 15, () => {
        world.store.delayedCommitShare = 0.4;
      });
      afterSeconds(world, 80, () => {
        world.store.delayedCommitShare = 0;
      });
      // A delayed copy is still pending after its sender's crash only if the sender crashes before it sends another.
      let crashes = 0;
      world.store.onDelayedCommit = (host) => {
        if (world.time.now < 20_000 || crashes >= 12 || !world.random.chance(0.3)) return;
        crashes++;
        world.time.after(1, () => {
          world.kill(host, 300);
        });
      };
      crashAt(world, 40, 'a', 0.3);
      crashAt(world, 50, 'b', 4);
      for (const host of ['a', 'b', 'c']) crashAt(world, 62, host, 1);
      afterSeconds(world, 45, () => {
        cancelRunningJobs(world, 3);
      });
      cancelOnCompletion(world, 0.2);
    },
    tookPlace: (world) =>
      world.store.delayedCommits.applied > 0 && world.store.delayedCommits.failed > 0,
  },
];

for (const faults of COMBINATIONS)
  for (const seed of COMBINATION_SEEDS)
    void test(`combined faults: ${faults.name} (seed ${String(seed)})`, () =>
      runCombinedFaults(faults, seed));
