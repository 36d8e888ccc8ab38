import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  at,
  cancelAtEnd,
  cancelNow,
  cut,
  cutHost,
  cutWorker,
  cutZone,
  cutZoneWith,
  deafen,
  holdCommands,
  mute,
} from './fakes/troubles.js';
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
    at(world, index * 7, () => {
      const owner = index % 2 === 0 ? 'red' : 'blue';
      const tasks = world.chance.int(1, 6);
      world.user({
        team: owner,
        image: `img-${String(index % 3)}`,
        tasks,
        deadlineSeconds: 40,
        expectedSeconds: 12,
      });
    });
  for (let index = 0; index < 3; index++)
    at(world, index * 9, () => {
      world.user({ ...SERVICE, tasks: 2, spreadAcrossZones: true });
    });
  at(world, 5, () => {
    world.user({ kind: 'gang', priority: 'urgent', tasks: 2, gpus: 2, cpus: 4, singleZone: true });
  });
}

const crash = (world: World, s: number, host: string, backS: number): void => {
  at(world, s, () => {
    world.kill(host, backS * 1000);
  });
};

const cancelledAfter = (world: World, s: number): number =>
  [...world.checker.cancelled.values()].filter((when) => when > s * 1000).length;

const MEETINGS: Meeting[] = [
  {
    name: 'a zone with workers and a controller is cut off for longer than a lease, and jobs are called off',
    trouble(world) {
      at(world, 40, () => {
        cutZoneWith(world, 'y', 'c', 25);
      });
      at(world, 45, () => {
        cancelNow(world, 4);
      });
    },
    met: (world) => cancelledAfter(world, 45) > 0,
  },
  ...(['commands', 'answers'] as const).map((way): Meeting => ({
    name: `${way} are held up for seconds and go on, amid cancellations and a crash`,
    trouble(world) {
      for (const s of [30, 42, 54, 66])
        at(world, s, () => {
          holdCommands(world, 6, way);
        });
      for (const s of [31, 55])
        at(world, s, () => {
          cancelNow(world, 3);
        });
      crash(world, 56, 'a', 8);
    },
    met: (world) => cancelledAfter(world, 30) > 2,
  })),
  {
    name: 'jobs bound to one zone, arrays too, lose machines',
    jobs(world) {
      world.long({ singleZone: true, tasks: 4, expectedSeconds: 30 }, 4);
      world.user({ ...SERVICE, singleZone: true, tasks: 3, cpus: 1 });
    },
    trouble(world) {
      for (const s of [30, 45])
        at(world, s, () => {
          const stay = world.checker.running().find(({ uid }) => world.specs.get(uid)?.singleZone);
          world.workers.get(stay?.box ?? '')?.die();
        });
      at(world, 35, () => {
        cutZone(world, 'y', 20);
      });
      at(world, 60, () => {
        cutWorker(world, 15, 'hold');
      });
      crash(world, 62, 'b', 5);
    },
    met: (world) => {
      const bound = world.checker.starts.filter(({ uid }) => world.specs.get(uid)?.singleZone);
      return bound.length > 4 * 4 + 3 + 2;
    },
  },
  {
    name: 'a team at its limit, its owner changes, machines cannot be asked, a job is called off',
    jobs(world) {
      world.long({ team: 'blue', tasks: 24, expectedSeconds: 40 }, 3);
    },
    trouble(world) {
      at(world, 38, () => {
        cutWorker(world, 25, 'hold');
        cutWorker(world, 14, 'drop');
      });
      crash(world, 40, 'a', 6);
      at(world, 41, () => {
        cancelNow(world, 3);
      });
      crash(world, 44, 'b', 0.3);
    },
    met: (world) => cancelledAfter(world, 41) > 0,
  },
  {
    name: 'cancellations, questions and repeats meet the end of a task, with no other trouble',
    trouble(world) {
      cancelAtEnd(world, 0.5);
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
        world.user({ team: index % 2 ? 'red' : 'blue', tasks: 3, cpus: 1, expectedSeconds: 50 });
    },
    trouble(world) {
      for (const [index, s] of [34, 42, 50, 58, 66].entries())
        crash(world, s, world.hosts()[index % 3] ?? '', 4);
      world.net.echo = { path: '/checkin', share: 0.1, afterMs: [2000, 20_000] };
    },
    met: (world) => world.checker.starts.length > 24,
  },
  {
    name: 'reports are held until a new owner has acted; copies come over sessions and attempts',
    trouble(world) {
      world.net.echo = { path: '/checkin', share: 0.3, afterMs: [2000, 40_000] };
      for (const s of [32, 50])
        at(world, s, () => {
          cut(world, 12, 'hold', (from) => from.startsWith('i-') && !from.includes(':'));
        });
      crash(world, 34, 'a', 10);
      crash(world, 52, 'b', 0.4);
      at(world, 55, () => {
        cutWorker(world, 14, 'drop');
      });
    },
    met: (world) => [...world.workers.values()].some(({ tenure }) => tenure > 1),
  },
  {
    name: 'the store is slow, refuses one alone and then all, while users cancel and ask',
    trouble(world) {
      at(world, 30, () => {
        world.store.slowMs = 250;
      });
      at(world, 40, () => world.store.refused.add('b'));
      for (const s of [38, 41, 43])
        at(world, s, () => {
          cancelNow(world, 2);
        });
      at(world, 44, () => {
        world.store.slowMs = 0;
        world.store.outage((CANCEL_S + 5) * 1000);
      });
      at(world, 60, () => world.store.refused.delete('b'));
    },
    met: (world) => cancelledAfter(world, 38) > 0,
    overS: 82,
  },
  {
    name: 'workers reach no controller while commands reach them, jobs are called off, an owner ends',
    trouble(world) {
      for (const s of [30, 34, 50])
        at(world, s, () => {
          mute(world, 28);
        });
      for (const s of [36, 52])
        at(world, s, () => {
          cancelNow(world, 3);
        });
      crash(world, 40, 'c', 4);
    },
    met: (world) => world.net.met.drop > 8 && cancelledAfter(world, 36) > 0,
  },
  {
    name: 'all controllers are away for longer than a lease, and one comes back first',
    trouble(world) {
      crash(world, 40, 'a', 14);
      crash(world, 40.2, 'b', 14.4);
      crash(world, 40.1, 'c', 25);
    },
    met: (world) => [...world.workers.values()].every(({ tenure }) => tenure > 1),
  },
  {
    name: 'an owner is cut from store and peers, not from workers and users; others confirm cancellations',
    trouble(world) {
      at(world, 40, () => {
        cutHost(world, 'a', /^store|^[bc]$|^[bc]:2$/, 45);
        cut(world, 45, 'hold', (from, to) => to === 'a:2' && /^[bc]$/.test(from));
      });
      for (const s of [40.5, 43, 50])
        at(world, s, () => {
          cancelNow(world, 2);
        });
    },
    met: (world) => cancelledAfter(world, 40.5) > 0,
  },
  {
    name: 'more work than room, urgent and not, over slow links',
    jobs(world) {
      for (let index = 0; index < 10; index++) {
        const rank = index % 3 === 0 ? 'urgent' : 'idle';
        world.user({
          team: index % 2 ? 'red' : 'blue',
          tasks: 16,
          priority: rank,
          expectedSeconds: 15,
        });
      }
    },
    trouble(world) {
      world.net.slowMs = 350;
      at(world, 40, () => {
        cancelNow(world, 4);
      });
      crash(world, 50, 'b', 3);
      at(world, 90, () => {
        world.net.slowMs = 0;
      });
    },
    met: (world) => world.checker.starts.length > 100,
  },
  {
    name: 'owners change ten times in two minutes, also inside an outage',
    jobs(world) {
      world.long({ tasks: 2 }, 4);
    },
    trouble(world) {
      for (let index = 0; index < 10; index++)
        crash(world, 30 + index * 6, world.hosts()[index % 3] ?? '', index % 4 === 3 ? 0.2 : 3.5);
      at(world, 50, () => {
        world.store.outage(13_000);
      });
      at(world, 60, () => {
        cancelNow(world, 2);
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
      at(world, 44, () => {
        cancelNow(world, 2);
      });
    },
    met: (world) => cancelledAfter(world, 44) > 0,
  },
  {
    name: 'an owner ends while machines with long tasks cannot be reached or do not hear the heir',
    jobs(world) {
      world.long({ tasks: 4, expectedSeconds: 70 }, 3);
    },
    trouble(world) {
      at(world, 38, () => {
        cutWorker(world, 30, 'drop');
        deafen(world, 25);
        deafen(world, 40);
      });
      crash(world, 40, 'a', 30);
      at(world, 42, () => {
        cancelNow(world, 2);
      });
      crash(world, 55, 'b', 2);
    },
    met: (world) => world.net.met.drop > 8 && cancelledAfter(world, 42) > 0,
  },
  {
    name: 'transactions without an answer are carried out late, after newer ones, over crashes',
    trouble(world) {
      at(world, 15, () => {
        world.store.lateShare = 0.4;
      });
      at(world, 80, () => {
        world.store.lateShare = 0;
      });
      // A copy outlives its sender only if that ends before it has sent another.
      let ended = 0;
      world.store.onHeldUp = (host) => {
        if (world.time.now < 20_000 || ended >= 12 || !world.chance.hit(0.3)) return;
        ended++;
        world.time.after(1, () => {
          world.kill(host, 300);
        });
      };
      crash(world, 40, 'a', 0.3);
      crash(world, 50, 'b', 4);
      for (const host of ['a', 'b', 'c']) crash(world, 62, host, 1);
      at(world, 45, () => {
        cancelNow(world, 3);
      });
      cancelAtEnd(world, 0.2);
    },
    met: (world) => world.store.late.applied > 0 && world.store.late.failed > 0,
  },
  {
    name: 'cancelled tasks on machines that hang, within their lease and beyond it',
    jobs(world) {
      world.long({ tasks: 3 }, 4);
    },
    trouble(world) {
      for (const [s, hangS] of [
        [32, 5],
        [44, 9],
        [56, CANCEL_S + 10],
      ] as const)
        at(world, s, () => {
          cancelNow(world, 2, hangS);
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
      world.cloud.begin(6);
      everybody(world);
      jobs?.(world);
      trouble(world);
      world.checker.troublesOver = overS * 1000;
      await world.time.runUntil((overS + 110) * 1000);
      world.checker.finish();
      assert.ok(met(world), 'the meeting took place');
      assert.deepEqual(world.checker.broken, []);
      assert.deepEqual(world.recordsBroken, []);
      assert.deepEqual(
        world.checker.lateStarts,
        [],
        'nothing starts once it is told to be cancelled',
      );
      assert.deepEqual(world.checker.unserved(), []);
      assert.deepEqual(world.checker.late(world.time.now), []);
      for (const host of world.hosts()) world.kill(host, 1e9);
    });

// What is wrong with a submission is said in every state of a job, and never of one that is known.
void test('odd requests: repeats of unfinished and finished jobs, cancels of done ones, bad submissions', async () => {
  const world = new World(1);
  const short = world.user({ tasks: 2, expectedSeconds: 2 });
  const endless = world.user({ ...SERVICE, tasks: 1 });
  await world.time.runUntil(50_000);
  assert.equal(world.finals.get(short), 'done');
  const got: Record<string, unknown> = {};
  const note = (name: string, work: Promise<unknown>): void => {
    void work.then((value) => (got[name] = value));
  };
  const { image, ...lacking } = WIRE_JOB;
  assert.ok(image);
  note('repeat', world.repeat(endless));
  note('repeat, other body', world.repeat(endless, { tasks: 3, cpus: 1000 }));
  note('repeat, malformed', world.repeat(endless, { cpus: 'two' }));
  note('repeat of a done one', world.repeat(short, { cpus: -1 }));
  note('cancel of a done one', world.ask(short, 'POST', `/v2/runs/${short}/withdraw`, {}, 5000));
  note('question', world.ask('j-777777', 'GET', '/v2/runs/j-777777', undefined, 2000));
  note('cancel', world.ask('j-777777', 'POST', '/v2/runs/j-777777/withdraw', {}, 5000));
  note('lacks a field', world.wrong(lacking));
  note('mistyped', world.wrong({ ...WIRE_JOB, spread: 'no' }));
  note('unknown team', world.wrong({ ...WIRE_JOB, owner: 'green' }));
  note('fits no type', world.wrong({ ...WIRE_JOB, cpus: 9 }));
  note('fits no allowed type', world.wrong({ ...WIRE_JOB, flavors: ['plain'], cards: 1 }));
  note('no such zone', world.wrong({ ...WIRE_JOB, site: 'z' }));
  note('gang over the limit', world.wrong({ ...WIRE_JOB, shape: 'group', tasks: 9, cards: 1 }));
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
  assert.deepEqual(world.checker.broken, []);
  assert.deepEqual(world.recordsBroken, []);
  for (const host of world.hosts()) world.kill(host, 1e9);
});
