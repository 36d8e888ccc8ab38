import type { JobSpec } from '../src/model/job.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Checker, type Room } from './fakes/checker.js';
import { JOB } from './fakes/world.js';

const X = { flavor: 'plain', site: 'x', reclaimable: false };
const SPOT = { ...X, reclaimable: true };

const CASES: { rule: string; spec: Partial<JobSpec>; show: (checker: Checker) => void }[] = [
  {
    rule: 'ran_twice',
    spec: {},
    show(checker) {
      checker.start('i-1', X, 'j-1', 0, 0);
      checker.start('i-2', X, 'j-1', 0, 5);
    },
  },
  {
    rule: 'quota',
    spec: { tasks: 3, cpus: 4 },
    show(checker) {
      for (const task of [0, 1, 2]) checker.start('i-1', X, 'j-1', task, 0);
    },
  },
  {
    // Their images are still being fetched.
    rule: 'quota',
    spec: { tasks: 3, cpus: 4 },
    show(checker) {
      for (const task of [0, 1, 2]) checker.launched('i-1', 'j-1', task, 1, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { machineTypes: ['carded'] },
    show(checker) {
      checker.start('i-1', X, 'j-1', 0, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { zone: 'y' },
    show(checker) {
      checker.start('i-1', X, 'j-1', 0, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: {},
    show(checker) {
      checker.start('i-1', SPOT, 'j-1', 0, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { tasks: 2, spreadAcrossZones: true },
    show(checker) {
      checker.start('i-1', X, 'j-1', 0, 0);
      checker.start('i-2', X, 'j-1', 1, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { tasks: 2, singleZone: true },
    show(checker) {
      checker.start('i-1', X, 'j-1', 0, 0);
      checker.start('i-2', { ...X, site: 'y' }, 'j-1', 1, 0);
    },
  },
  {
    rule: 'ran_cancelled',
    spec: {},
    show(checker) {
      checker.start('i-1', X, 'j-1', 0, 0);
      checker.withdrawAsked('j-1');
      checker.answered('j-1', 200, 'cancelled', 10);
      checker.look(1011);
    },
  },
  {
    rule: 'ran_cancelled',
    spec: {},
    show(checker) {
      checker.withdrawAsked('j-1');
      checker.answered('j-1', 200, 'cancelled', 10);
      checker.start('i-1', X, 'j-1', 0, 1011);
    },
  },
  {
    rule: 'forgotten',
    spec: {},
    show(checker) {
      checker.answered('j-1', 201, 'pending', 0);
      checker.answered('j-1', 404, null, 1);
    },
  },
  {
    rule: 'forgotten',
    spec: {},
    show(checker) {
      checker.troublesOver = 100_000;
      checker.answered('j-1', 201, 'pending', 0);
      checker.look(174_000);
      assert.deepEqual(checker.broken, [], 'within 75 s of the end of troubles');
      checker.look(176_000);
    },
  },
  {
    rule: 'invented',
    spec: {},
    show(checker) {
      checker.answered('j-9', 200, 'pending', 0);
    },
  },
  {
    rule: 'not_done',
    spec: { tasks: 2 },
    show(checker) {
      checker.start('i-1', X, 'j-1', 0, 0);
      checker.end('i-1', 'j-1', 0, true);
      checker.answered('j-1', 200, 'done', 1);
    },
  },
  {
    rule: 'went_back',
    spec: {},
    show(checker) {
      checker.withdrawAsked('j-1');
      checker.answered('j-1', 200, 'cancelled', 0);
      checker.answered('j-1', 200, 'running', 1);
    },
  },
  {
    // Both final states, the second asked for before the first was told.
    rule: 'went_back',
    spec: {},
    show(checker) {
      checker.withdrawAsked('j-1');
      checker.start('i-1', X, 'j-1', 0, 0);
      checker.end('i-1', 'j-1', 0, true);
      checker.answered('j-1', 200, 'done', 5, 3);
      checker.answered('j-1', 200, 'cancelled', 6, 4);
    },
  },
  {
    rule: 'went_back',
    spec: {},
    show(checker) {
      checker.answered('j-1', 200, 'cancelled', 0);
    },
  },
  {
    rule: 'accepted_wrong',
    spec: {},
    show(checker) {
      checker.submittedWrong('j-2');
      checker.answered('j-2', 201, 'pending', 0);
    },
  },
  {
    rule: 'waited',
    spec: { tasks: 2, cpus: 4 },
    show(checker) {
      checker.troublesOver = 10_000;
      checker.answered('j-1', 201, 'pending', 0);
      const room = (cpus: number): Room => ({
        box: 'i-1',
        facts: X,
        free: { cpus, gpus: 0, memoryGb: 9 },
      });
      checker.look(0, [room(4)]);
      checker.look(20_000, [{ ...room(4), facts: SPOT }, room(3)]);
      checker.look(40_000, [room(4)]);
      for (const now of [60_000, 129_000]) {
        checker.answered('j-1', 200, 'pending', now);
        checker.look(now, [room(4)]);
      }
      assert.deepEqual(checker.broken, [], 'within 90 s of there being room');
      checker.look(131_000, [room(4)]);
    },
  },
  {
    rule: 'waited',
    spec: { kind: 'gang', tasks: 2, cpus: 4, singleZone: true },
    show(checker) {
      const room = (site: string): Room => ({
        box: 'i-1',
        facts: { ...X, site },
        free: { cpus: 4, gpus: 0, memoryGb: 9 },
      });
      checker.answered('j-1', 201, 'pending', 0);
      for (let now = 0; now < 100_000; now += 10_000) {
        checker.answered('j-1', 200, 'pending', now);
        checker.look(now, [room('x'), room('y')]);
      }
      assert.deepEqual(checker.broken, [], 'no zone has room for all');
      for (let now = 100_000; now <= 200_000; now += 10_000) {
        checker.answered('j-1', 200, 'pending', now);
        checker.look(now, [room('x'), room('x')]);
      }
    },
  },
  { rule: 'nothing_ran', spec: {}, show: () => undefined },
];

for (const { rule, spec, show } of CASES)
  void test(`the checker catches ${rule} ${JSON.stringify(spec)}`, () => {
    const checker = new Checker({
      teams: new Map([['red', { cpus: 8, gpus: 0 }]]),
      cancelMs: 1000,
    });
    checker.submitted('j-1', { ...JOB, ...spec });
    show(checker);
    checker.finish();
    assert.ok(checker.broken.length > 0, 'something was caught');
    assert.ok(checker.broken[0]?.startsWith(rule), checker.broken[0]);
  });

void test('the checker is silent on a job that runs as it should', () => {
  const checker = new Checker({ teams: new Map([['red', { cpus: 8, gpus: 0 }]]), cancelMs: 1000 });
  checker.submitted('j-1', JOB);
  checker.answered('j-1', 201, 'pending', 0);
  checker.start('i-1', X, 'j-1', 0, 1);
  checker.end('i-1', 'j-1', 0, false);
  checker.start('i-2', X, 'j-1', 0, 2);
  checker.end('i-2', 'j-1', 0, true);
  checker.answered('j-1', 200, 'done', 3);
  checker.look(10_000);
  checker.finish();
  assert.deepEqual(checker.broken, []);
});

void test('checker: less than half of a class, a team or the largest jobs of a class', () => {
  const checker = new Checker({
    teams: new Map([['red', { cpus: 9, gpus: 0 }]]),
    cancelMs: 1000,
  });
  const submit = (uid: string, more: Partial<JobSpec>): void => {
    checker.submitted(uid, { ...JOB, ...more });
    checker.answered(uid, 201, 'pending', 0);
  };
  for (const uid of ['j-1', 'j-2', 'j-3']) submit(uid, {});
  submit('j-4', { tasks: 9 });
  submit('j-5', { team: 'blue', jobClass: 'l' });
  submit('j-6', { team: 'blue', jobClass: 'l' });
  for (const uid of ['j-1', 'j-2']) checker.start('i-1', X, uid, 0, 0);
  checker.start('i-1', X, 'j-5', 0, 0);
  assert.deepEqual(checker.unserved(), ['largest of k']);
  submit('j-7', { team: 'green', jobClass: 'm' });
  assert.deepEqual(checker.unserved(), ['largest of k', 'class m', 'team green', 'largest of m']);
});

void test('checker: the largest jobs of a class begin within four minutes, and starts after a cancellation count', () => {
  const checker = new Checker({ teams: new Map([['red', { cpus: 8, gpus: 0 }]]), cancelMs: 1000 });
  for (const [uid, tasks] of [
    ['j-1', 3],
    ['j-2', 3],
    ['j-3', 1],
  ] as const) {
    checker.submitted(uid, { ...JOB, tasks }, 5000);
    checker.answered(uid, 201, 'pending', 5000);
  }
  checker.start('i-1', X, 'j-1', 0, 100_000);
  assert.deepEqual(checker.late(240_000), []);
  assert.deepEqual(checker.late(246_000), ['j-2']);
  checker.withdrawAsked('j-1');
  checker.answered('j-1', 200, 'cancelled', 246_000);
  checker.start('i-1', X, 'j-1', 1, 246_300);
  assert.deepEqual(checker.lateStarts, [300]);
});

void test('the checker lets room that was vacated be used again, and an older question be answered late', () => {
  const checker = new Checker({
    teams: new Map([['red', { cpus: 10, gpus: 0 }]]),
    cancelMs: 1000,
  });
  checker.submitted('j-1', { ...JOB, tasks: 3, cpus: 4 });
  checker.launched('i-1', 'j-1', 0, 1, 0);
  checker.launched('i-1', 'j-1', 1, 1, 0);
  checker.vacated('i-1', 'j-1', 0, 1);
  checker.launched('i-2', 'j-1', 0, 2, 0);
  checker.answered('j-1', 201, 'pending', 1, 0);
  checker.withdrawAsked('j-1');
  checker.answered('j-1', 200, 'cancelled', 5, 4);
  checker.answered('j-1', 200, 'running', 6, 3);
  assert.deepEqual(checker.broken, []);
});
