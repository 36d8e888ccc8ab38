import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  afterSeconds,
  cancelOnCompletion,
  cancelRunningJobs,
  partition,
  isolateController,
  partitionRandomWorker,
  isolateZone,
  isolateZoneWithController,
  dropMessagesToRandomWorker,
  delayCommands,
  dropMessagesFromRandomWorker,
} from './fakes/fault-injection.js';
import { CANCEL_S, WIRE_JOB, World } from './fakes/world.js';

/** Meetings of troubles that users have seen break schedulers. Each row brings one about and says so. */
interface Meeting {
  name: string;
  /** Further jobs, beside those of everybody. */
  jobs?(world: World): void;
  trouble(world: World): void;
  /** Whether the meeting really took place. */
  met(world: World): boolean;
  overS?: number;
}

const SERVICE = {
  kind: 'service',
  priority: 'critical',
  expectedSeconds: 0,
  image: 'img-s',
} as const;

function everybody(world: World): void {
  for (let index = 0; index < 12; index++)
    afterSeconds(world, index * 7, () => {
      const owner = index % 2 === 0 ? 'red' : 'blue';
      const tasks = world.random.int(1, 6);
      world.submit({
        team: owner,
        image: `img-${String(index % 3)}`,
        tasks,
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

const crash = (world: World, s: number, host: string, backS: number): void => {
  afterSeconds(world, s, () => {
    world.kill(host, backS * 1000);
  });
};

const cancelledAfter = (world: World, s: number): number =>
  [...world.checker.cancelledAt.values()].filter((when) => when > s * 1000).length;

const MEETINGS: Meeting[] = [
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease, and jobs are called off',
    trouble(world) {
      afterSeconds(world, 40, () => {
        isolateZoneWithController(world, 'y', 'c', 25);
      });
      afterSeconds(world, 45, () => {
        cancelRunningJobs(world, 4);
      });
    },
    met: (world) => cancelledAfter(world, 45) > 0,
  },
  ...(['commands', 'answers'] as const).map((way): Meeting => ({
    name: `${way} are held up for seconds and go on, amid cancellations and a crash`,
    trouble(world) {
      for (const s of [30, 42, 54, 66])
        afterSeconds(world, s, () => {
          delayCommands(world, 6, way);
        });
      for (const s of [31, 55])
        afterSeconds(world, s, () => {
          cancelRunningJobs(world, 3);
        });
      crash(world, 56, 'a', 8);
    },
    met: (world) => cancelledAfter(world, 30) > 2,
  })),
  {
    name: 'jobs bound to one zone, arrays too, lose machines',
    jobs(world) {
      world.submitLongJobs({ singleZone: true, tasks: 4, expectedSeconds: 30 }, 4);
      world.submit({ ...SERVICE, singleZone: true, tasks: 3, cpus: 1 });
    },
    trouble(world) {
      for (const s of [30, 45])
        afterSeconds(world, s, () => {
          const stay = world.checker
            .running()
            .find(({ jobId: uid }) => world.specs.get(uid)?.singleZone);
          world.workers.get(stay?.machineId ?? '')?.die();
        });
      afterSeconds(world, 35, () => {
        isolateZone(world, 'y', 20);
      });
      afterSeconds(world, 60, () => {
        partitionRandomWorker(world, 15, 'hold');
      });
      crash(world, 62, 'b', 5);
    },
    met: (world) => {
      const bound = world.checker.starts.filter(
        ({ jobId: uid }) => world.specs.get(uid)?.singleZone,
      );
      return bound.length > 4 * 4 + 3 + 2;
    },
  },
  {
    name: 'a team at its limit, its owner changes, machines cannot be asked, a job is called off',
    jobs(world) {
      world.submitLongJobs({ team: 'blue', tasks: 24, expectedSeconds: 40 }, 3);
    },
    trouble(world) {
      afterSeconds(world, 38, () => {
        partitionRandomWorker(world, 25, 'hold');
        partitionRandomWorker(world, 14, 'drop');
      });
      crash(world, 40, 'a', 6);
      afterSeconds(world, 41, () => {
        cancelRunningJobs(world, 3);
      });
      crash(world, 44, 'b', 0.3);
    },
    met: (world) => cancelledAfter(world, 41) > 0,
  },
  {
    name: 'cancellations, questions and repeats meet the end of a task, with no other trouble',
    trouble(world) {
      cancelOnCompletion(world, 0.5);
    },
    met: (world) => {
      const finals = [...world.finals.values()];
      return finals.includes('done') && finals.includes('cancelled');
    },
  },
  {
    name: 'tasks that end far apart, over changes of owner',
    jobs(world) {
      for (let index = 0; index < 8; index++)
        world.submit({ team: index % 2 ? 'red' : 'blue', tasks: 3, cpus: 1, expectedSeconds: 50 });
    },
    trouble(world) {
      for (const [index, s] of [34, 42, 50, 58, 66].entries())
        crash(world, s, world.hosts()[index % 3] ?? '', 4);
      world.net.duplication = { path: '/checkin', share: 0.1, afterMs: [2000, 20_000] };
    },
    met: (world) => world.checker.starts.length > 24,
  },
  {
    name: 'reports are held until a new owner has acted; copies come over sessions and attempts',
    trouble(world) {
      world.net.duplication = { path: '/checkin', share: 0.3, afterMs: [2000, 40_000] };
      for (const s of [32, 50])
        afterSeconds(world, s, () => {
          partition(world, 12, 'hold', (from) => from.startsWith('i-') && !from.includes(':'));
        });
      crash(world, 34, 'a', 10);
      crash(world, 52, 'b', 0.4);
      afterSeconds(world, 55, () => {
        partitionRandomWorker(world, 14, 'drop');
      });
    },
    met: (world) => [...world.workers.values()].some(({ incarnation: tenure }) => tenure > 1),
  },
  {
    name: 'the store is slow, refuses one alone and then all, while users cancel and ask',
    trouble(world) {
      afterSeconds(world, 30, () => {
        world.store.extraLatencyMs = 250;
      });
      afterSeconds(world, 40, () => world.store.refusedHosts.add('b'));
      for (const s of [38, 41, 43])
        afterSeconds(world, s, () => {
          cancelRunningJobs(world, 2);
        });
      afterSeconds(world, 44, () => {
        world.store.extraLatencyMs = 0;
        world.store.outage((CANCEL_S + 5) * 1000);
      });
      afterSeconds(world, 60, () => world.store.refusedHosts.delete('b'));
    },
    met: (world) => cancelledAfter(world, 38) > 0,
    overS: 82,
  },
  {
    name: 'workers reach no controller while commands reach them, jobs are called off, an owner ends',
    trouble(world) {
      for (const s of [30, 34, 50])
        afterSeconds(world, s, () => {
          dropMessagesFromRandomWorker(world, 28);
        });
      for (const s of [36, 52])
        afterSeconds(world, s, () => {
          cancelRunningJobs(world, 3);
        });
      crash(world, 40, 'c', 4);
    },
    met: (world) => world.net.affectedMessages.drop > 8 && cancelledAfter(world, 36) > 0,
  },
  {
    name: 'all controllers are away for longer than a lease, and one comes back first',
    trouble(world) {
      crash(world, 40, 'a', 14);
      crash(world, 40.2, 'b', 14.4);
      crash(world, 40.1, 'c', 25);
    },
    met: (world) => [...world.workers.values()].every(({ incarnation: tenure }) => tenure > 1),
  },
  {
    name: 'an owner is cut from store and peers, not from workers and users; others confirm cancellations',
    trouble(world) {
      afterSeconds(world, 40, () => {
        isolateController(world, 'a', /^store|^[bc]$|^[bc]:2$/, { forS: 45 });
        partition(world, 45, 'hold', (from, to) => to === 'a:2' && /^[bc]$/.test(from));
      });
      for (const s of [40.5, 43, 50])
        afterSeconds(world, s, () => {
          cancelRunningJobs(world, 2);
        });
    },
    met: (world) => cancelledAfter(world, 40.5) > 0,
  },
  {
    name: 'more work than room, urgent and not, over slow links',
    jobs(world) {
      for (let index = 0; index < 10; index++) {
        const rank = index % 3 === 0 ? 'urgent' : 'idle';
        world.submit({
          team: index % 2 ? 'red' : 'blue',
          tasks: 16,
          priority: rank,
          expectedSeconds: 15,
        });
      }
    },
    trouble(world) {
      world.net.extraDelayMs = 350;
      afterSeconds(world, 40, () => {
        cancelRunningJobs(world, 4);
      });
      crash(world, 50, 'b', 3);
      afterSeconds(world, 90, () => {
        world.net.extraDelayMs = 0;
      });
    },
    met: (world) => world.checker.starts.length > 100,
  },
  {
    name: 'owners change ten times in two minutes, also inside an outage',
    jobs(world) {
      world.submitLongJobs({ tasks: 2 }, 4);
    },
    trouble(world) {
      for (let index = 0; index < 10; index++)
        crash(world, 30 + index * 6, world.hosts()[index % 3] ?? '', index % 4 === 3 ? 0.2 : 3.5);
      afterSeconds(world, 50, () => {
        world.store.outage(13_000);
      });
      afterSeconds(world, 60, () => {
        cancelRunningJobs(world, 2);
      });
    },
    met: (world) => Number(world.store.peek('tv/term')?.['t']) >= 10,
    overS: 100,
  },
  {
    name: 'controllers hand over and back, all end, and one returns within a second',
    trouble(world) {
      crash(world, 35, 'a', 3);
      crash(world, 39, 'b', 3);
      crash(world, 43, 'a', 0.5);
      crash(world, 43.3, 'b', 18);
      crash(world, 43.4, 'c', 18);
      afterSeconds(world, 44, () => {
        cancelRunningJobs(world, 2);
      });
    },
    met: (world) => cancelledAfter(world, 44) > 0,
  },
  {
    name: 'an owner ends while machines with long tasks cannot be reached or do not hear the heir',
    jobs(world) {
      world.submitLongJobs({ tasks: 4, expectedSeconds: 70 }, 3);
    },
    trouble(world) {
      afterSeconds(world, 38, () => {
        partitionRandomWorker(world, 30, 'drop');
        dropMessagesToRandomWorker(world, 25);
        dropMessagesToRandomWorker(world, 40);
      });
      crash(world, 40, 'a', 30);
      afterSeconds(world, 42, () => {
        cancelRunningJobs(world, 2);
      });
      crash(world, 55, 'b', 2);
    },
    met: (world) => world.net.affectedMessages.drop > 8 && cancelledAfter(world, 42) > 0,
  },
  {
    name: 'transactions without an answer are carried out late, after newer ones, over crashes',
    trouble(world) {
      afterSeconds(world, 15, () => {
        world.store.lateCommitShare = 0.4;
      });
      afterSeconds(world, 80, () => {
        world.store.lateCommitShare = 0;
      });
      // A copy outlives its sender only if that ends before it has sent another.
      let ended = 0;
      world.store.onDelayedCommit = (host) => {
        if (world.time.now < 20_000 || ended >= 12 || !world.random.chance(0.3)) return;
        ended++;
        world.time.after(1, () => {
          world.kill(host, 300);
        });
      };
      crash(world, 40, 'a', 0.3);
      crash(world, 50, 'b', 4);
      for (const host of ['a', 'b', 'c']) crash(world, 62, host, 1);
      afterSeconds(world, 45, () => {
        cancelRunningJobs(world, 3);
      });
      cancelOnCompletion(world, 0.2);
    },
    met: (world) => world.store.lateCommits.applied > 0 && world.store.lateCommits.failed > 0,
  },
  {
    name: 'cancelled tasks on machines that hang, within their lease and beyond it',
    jobs(world) {
      world.submitLongJobs({ tasks: 3 }, 4);
    },
    trouble(world) {
      for (const [s, hangS] of [
        [32, 5],
        [44, 9],
        [56, CANCEL_S + 10],
      ] as const)
        afterSeconds(world, s, () => {
          cancelRunningJobs(world, 2, hangS);
        });
      crash(world, 58, 'a', 4);
    },
    met: (world) => cancelledAfter(world, 32) > 2,
    overS: 100,
  },
];

for (const { name, jobs, trouble, met, overS = 90 } of MEETINGS)
  for (const seed of [1, 2])
    void test(`meeting: ${name} (seed ${String(seed)})`, async () => {
      const world = new World(seed, { capacity: 6 });
      world.cloud.startMachines(6);
      everybody(world);
      jobs?.(world);
      trouble(world);
      world.checker.faultsEndAt = overS * 1000;
      await world.time.runUntil((overS + 110) * 1000);
      world.checker.finish();
      assert.ok(met(world), 'the meeting took place');
      assert.deepEqual(world.checker.violations, []);
      assert.deepEqual(world.recordViolations, []);
      assert.deepEqual(
        world.checker.startsAfterCancel,
        [],
        'nothing starts once it is told to be cancelled',
      );
      assert.deepEqual(world.checker.starvedGroups(), []);
      assert.deepEqual(world.checker.lateLargestJobs(world.time.now), []);
      for (const host of world.hosts()) world.kill(host, 1e9);
    });

// What is wrong with a submission is said in every state of a job, and never of one that is known.
void test('odd requests: repeats of unfinished and finished jobs, cancels of done ones, bad submissions', async () => {
  const world = new World(1);
  const short = world.submit({ tasks: 2, expectedSeconds: 2 });
  const endless = world.submit({ ...SERVICE, tasks: 1 });
  await world.time.runUntil(50_000);
  assert.equal(world.finals.get(short), 'done');
  const got: Record<string, unknown> = {};
  const note = (name: string, work: Promise<unknown>): void => {
    void work.then((value) => (got[name] = value));
  };
  const { image, ...lacking } = WIRE_JOB;
  assert.ok(image);
  note('repeat', world.resubmit(endless));
  note('repeat, other body', world.resubmit(endless, { tasks: 3, cpus: 1000 }));
  note('repeat, malformed', world.resubmit(endless, { cpus: 'two' }));
  note('repeat of a done one', world.resubmit(short, { cpus: -1 }));
  note(
    'cancel of a done one',
    world.request(short, {
      method: 'POST',
      path: `/v2/runs/${short}/withdraw`,
      body: {},
      timeoutMs: 5000,
    }),
  );
  note(
    'question',
    world.request('j-777777', { method: 'GET', path: '/v2/runs/j-777777', timeoutMs: 2000 }),
  );
  note(
    'cancel',
    world.request('j-777777', {
      method: 'POST',
      path: '/v2/runs/j-777777/withdraw',
      body: {},
      timeoutMs: 5000,
    }),
  );
  note('lacks a field', world.submitInvalid(lacking));
  note('mistyped', world.submitInvalid({ ...WIRE_JOB, spread: 'no' }));
  note('unknown team', world.submitInvalid({ ...WIRE_JOB, owner: 'green' }));
  note('fits no type', world.submitInvalid({ ...WIRE_JOB, cpus: 9 }));
  note('fits no allowed type', world.submitInvalid({ ...WIRE_JOB, flavors: ['plain'], cards: 1 }));
  note('no such zone', world.submitInvalid({ ...WIRE_JOB, site: 'z' }));
  note(
    'gang over the limit',
    world.submitInvalid({ ...WIRE_JOB, shape: 'group', tasks: 9, cards: 1 }),
  );
  await world.time.runUntil(60_000);
  assert.deepEqual(got, {
    repeat: 200,
    'repeat, other body': 200,
    'repeat, malformed': 200,
    'repeat of a done one': 200,
    'cancel of a done one': { status: 200, phase: 'done' },
    question: { status: 404, phase: null },
    cancel: { status: 404, phase: null },
    'lacks a field': 400,
    mistyped: 400,
    'unknown team': 422,
    'fits no type': 422,
    'fits no allowed type': 422,
    'no such zone': 422,
    'gang over the limit': 422,
  });
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  for (const host of world.hosts()) world.kill(host, 1e9);
});
