/**
 * The store first refuses a single owner, while another controller confirms cancellations. Then the store is
 * unavailable to all controllers for longer than the tasks of a cancelled job may run, and the workers keep reporting
 * to that owner. Guards against cancelled tasks that keep running because the owner could not read the cancellations
 * from the store.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RunningTask } from './fakes/checker.js';
import { afterSeconds, partition, isolateController } from './fakes/fault-injection.js';
import { CANCEL_S, World } from './fakes/world.js';

/** When the store begins to refuse the owner. Times of the cases are in seconds after this. */
const REFUSED_S = 60;
/** Defaults of the cases: the controller that is refused, and for how long. */
const REFUSED_HOST = 'a';
const REFUSED_FOR_S = 14;
/** Longer than the time in which all tasks of a cancelled job must have stopped. */
const OUTAGE_FOR_S = CANCEL_S + 15;

interface Case {
  name: string;
  /** When users cancel jobs, and through which controller. Not all cancellations are confirmed before the outage. */
  cancelS: number[];
  via: string;
  refused?: string;
  refusedS?: number;
  outageS: number;
  inject?: (world: World) => void;
  /**
   * Which tasks must keep running, in addition to the rule that tasks of cancelled jobs stop in time. If its peers tell
   * the owner about the cancellations, it need not stop any other task on its machines. `all`: all tasks that are not
   * cancelled; `its own`: those of them on machines of the refused controller; `not all`: no requirement.
   */
  spared: 'all' | 'its own' | 'not all';
}

const CASES: Case[] = [
  {
    name: 'cancellations are confirmed between the refusal and the outage',
    cancelS: [0.3, 0.8],
    via: 'b',
    outageS: 1.5,
    spared: 'all',
  },
  {
    name: 'cancellations are confirmed before, at and after the beginning of the refusal',
    cancelS: [-0.2, 0, 0.02, 0.4],
    via: 'c',
    outageS: 1.2,
    spared: 'all',
  },
  {
    name: 'the controller that scales out first is refused',
    cancelS: [0.3, 0.8],
    via: 'a',
    refused: 'c',
    outageS: 1.5,
    spared: 'all',
  },
  {
    name: 'the owner confirms and is then refused, another controller confirms later',
    cancelS: [-0.1],
    via: 'a',
    outageS: 1.5,
    inject(world) {
      afterSeconds(world, REFUSED_S + 0.5, () => {
        void world.cancel('j-000004', 'b');
      });
    },
    spared: 'all',
  },
  {
    name: 'the commit of a cancellation gets no answer, and a third controller confirms it to the user',
    cancelS: [0.5, 0.6],
    via: 'b',
    outageS: 1.5,
    inject(world) {
      world.time.after(REFUSED_S * 1000, () => world.store.unansweredHosts.add('b'));
      for (const uid of ['j-000000', 'j-000001'])
        afterSeconds(world, REFUSED_S + 1.3, () => {
          void world.cancel(uid, 'c');
        });
    },
    spared: 'all',
  },
  {
    name: 'the outage begins only after successors have begun to claim machines',
    cancelS: [0.5, 1, 4, 5],
    via: 'b',
    outageS: 6,
    spared: 'not all',
  },
  {
    name: 'the owner is also cut off from its peers',
    cancelS: [0.3, 0.5, 0.7, 0.9, 1.1, 1.2],
    via: 'b',
    outageS: 1.5,
    inject(world) {
      afterSeconds(world, REFUSED_S, () => {
        isolateController(world, 'a', /^[bc]:2$/, { forS: 60 });
        partition(world, 60, 'drop', (from, to) => to === 'a:2' && /^[bc]$/.test(from));
      });
    },
    spared: 'not all',
  },
  {
    name: 'successors claim machines that only the refused controller reaches, and it stays refused',
    cancelS: [0.3, 0.8],
    via: 'b',
    refusedS: 150,
    outageS: 6,
    inject(world) {
      afterSeconds(world, REFUSED_S, () => {
        const owned = [...world.workers.keys()].filter((id) => world.ownerOf(id) === 'a');
        const only = new RegExp(`^(${owned.join('|')})(:|$)`);
        for (const host of ['b', 'c'])
          isolateController(world, host, only, { forS: 150, mode: 'drop' });
      });
    },
    spared: 'not all',
  },
  ...[0.9, 1.6, 4].map((seconds): Case => ({
    name: `the confirming controller crashes ${String(seconds)} s after the refusal and restarts at once`,
    cancelS: [0.3, 0.5],
    via: 'b',
    outageS: 1.5,
    inject(world) {
      afterSeconds(world, REFUSED_S + seconds, () => {
        world.kill('b', 200);
      });
    },
    spared: 'not all',
  })),
  {
    name: 'the workers reach only the refused controller',
    cancelS: [0.3, 0.8],
    via: 'b',
    outageS: 1.5,
    inject(world) {
      afterSeconds(world, REFUSED_S, () => {
        for (const host of ['b', 'c'])
          isolateController(world, host, /^i-/, { forS: 60, mode: 'drop' });
      });
    },
    spared: 'its own',
  },
];

/** Runs the case until a millisecond after the beginning of the outage. */
async function runUntilOutage(world: World, faults: Case): Promise<void> {
  const { cancelS, via, refused = REFUSED_HOST, refusedS = REFUSED_FOR_S, outageS } = faults;
  const { refusedHosts } = world.store;
  world.cloud.startMachines(9);
  // So long that only a stop command or an expired lease ends the tasks during the test.
  world.submitLongJobs({ tasks: 4, expectedSeconds: 1200 }, 8);
  faults.inject?.(world);
  cancelS.forEach((seconds, index) => {
    afterSeconds(world, REFUSED_S + seconds, () => {
      void world.cancel(`j-00000${String(index)}`, via);
    });
  });
  afterSeconds(world, REFUSED_S, () => refusedHosts.add(refused));
  afterSeconds(world, REFUSED_S + refusedS, () => refusedHosts.delete(refused));
  afterSeconds(world, REFUSED_S + outageS, () => {
    world.store.outage(OUTAGE_FOR_S * 1000);
  });
  await world.time.runUntil((REFUSED_S + outageS) * 1000 + 1);
}

const nameOf = ({ jobId, taskIndex, machineId }: RunningTask): string =>
  `${jobId}/${String(taskIndex)} ${machineId}`;

/** Tasks that ran before and do not run now, although they are not cancelled and must keep running in this case. */
function tasksStoppedNeedlessly(
  { checker }: World,
  before: readonly RunningTask[],
  isSpared: (task: RunningTask) => boolean,
): RunningTask[] {
  const running = new Set(checker.running().map(nameOf));
  return before
    .filter((task) => !checker.cancelledAt.has(task.jobId) && isSpared(task))
    .filter((task) => !running.has(nameOf(task)));
}

for (const faults of CASES)
  for (const seed of [1, 2, 3])
    void test(`cancellation before an outage: ${faults.name} (seed ${String(seed)})`, async () => {
      const { refused = REFUSED_HOST, outageS, spared } = faults;
      const world = new World(seed, { capacity: 8 });
      const { checker } = world;
      const outageMs = (REFUSED_S + outageS) * 1000;
      await runUntilOutage(world, faults);
      // The faults combine as intended: cancellations are confirmed by another controller, and the tasks still run on
      // machines of the refused one.
      const before = checker.running();
      const owners = new Map(before.map(({ machineId }) => [machineId, world.ownerOf(machineId)]));
      const confirmed = [...checker.cancelledAt].filter(
        ([, atMs]) => atMs > (REFUSED_S - 1) * 1000,
      );
      assert.ok(confirmed.length > 0, 'cancellations are confirmed before the outage');
      assert.ok(
        outageS > 3 || [...owners.values()].includes(refused),
        'the refused controller owns machines with tasks',
      );
      await world.time.runUntil(outageMs + (OUTAGE_FOR_S - 1) * 1000);
      assert.deepEqual(checker.violations, []);
      const isSpared = ({ machineId }: RunningTask): boolean =>
        spared === 'all' || (spared === 'its own' && owners.get(machineId) === refused);
      assert.deepEqual(
        tasksStoppedNeedlessly(world, before, isSpared),
        [],
        'no other task is stopped',
      );
      checker.faultsEndAt = outageMs + OUTAGE_FOR_S * 1000;
      await world.time.runUntil(outageMs + (CANCEL_S + 60) * 1000);
      assert.deepEqual(checker.violations, []);
      assert.deepEqual(world.recordViolations, []);
      world.shutDown();
    });
