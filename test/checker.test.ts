/** The checker of simulated clusters: it must detect a violation of each rule, and report nothing else. */
import type { JobSpec } from '../src/model/job.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AvailableMachine } from './fakes/available-machines.js';
import { Checker, type RunningTask } from './fakes/checker.js';
import { JOB } from './fakes/world.js';

const ON_DEMAND = { machineType: 'plain', zone: 'x', spot: false };
const SPOT = { ...ON_DEMAND, spot: true };

/** A task of a job that runs on a machine. */
const taskOn = (machineId: string, jobId = 'j-1', taskIndex = 0): RunningTask => ({
  jobId,
  taskIndex,
  machineId,
});

const CASES: { rule: string; spec: Partial<JobSpec>; feedEvents: (checker: Checker) => void }[] = [
  {
    rule: 'ran_twice',
    spec: {},
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
      checker.taskStarted(taskOn('i-2'), ON_DEMAND, 5);
    },
  },
  {
    rule: 'quota',
    spec: { tasks: 3, cpus: 4 },
    feedEvents(checker) {
      for (const task of [0, 1, 2]) checker.taskStarted(taskOn('i-1', 'j-1', task), ON_DEMAND, 0);
    },
  },
  {
    // The tasks are launched, and their images are still being fetched.
    rule: 'quota',
    spec: { tasks: 3, cpus: 4 },
    feedEvents(checker) {
      for (const task of [0, 1, 2]) checker.taskLaunched(taskOn('i-1', 'j-1', task), 1, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { machineTypes: ['carded'] },
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { zone: 'y' },
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: {},
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), SPOT, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { tasks: 2, spreadAcrossZones: true },
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
      checker.taskStarted(taskOn('i-2', 'j-1', 1), ON_DEMAND, 0);
    },
  },
  {
    rule: 'wrong_place',
    spec: { tasks: 2, singleZone: true },
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
      checker.taskStarted(taskOn('i-2', 'j-1', 1), { ...ON_DEMAND, zone: 'y' }, 0);
    },
  },
  {
    rule: 'ran_cancelled',
    spec: {},
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
      checker.cancelRequested('j-1');
      checker.userAnswered('j-1', { status: 200, phase: 'cancelled' }, 10);
      checker.check(1011);
    },
  },
  {
    rule: 'ran_cancelled',
    spec: {},
    feedEvents(checker) {
      checker.cancelRequested('j-1');
      checker.userAnswered('j-1', { status: 200, phase: 'cancelled' }, 10);
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 1011);
    },
  },
  {
    rule: 'forgotten',
    spec: {},
    feedEvents(checker) {
      checker.userAnswered('j-1', { status: 201, phase: 'pending' }, 0);
      checker.userAnswered('j-1', { status: 404, phase: null }, 1);
    },
  },
  {
    rule: 'forgotten',
    spec: {},
    feedEvents(checker) {
      checker.faultsEndAt = 100_000;
      checker.userAnswered('j-1', { status: 201, phase: 'pending' }, 0);
      checker.check(174_000);
      assert.deepEqual(checker.violations, [], 'no violation within 75 s after the faults end');
      checker.check(176_000);
    },
  },
  {
    rule: 'invented',
    spec: {},
    feedEvents(checker) {
      checker.userAnswered('j-9', { status: 200, phase: 'pending' }, 0);
    },
  },
  {
    rule: 'not_done',
    spec: { tasks: 2 },
    feedEvents(checker) {
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
      checker.taskEnded(taskOn('i-1'), true);
      checker.userAnswered('j-1', { status: 200, phase: 'done' }, 1);
    },
  },
  {
    rule: 'went_back',
    spec: {},
    feedEvents(checker) {
      checker.cancelRequested('j-1');
      checker.userAnswered('j-1', { status: 200, phase: 'cancelled' }, 0);
      checker.userAnswered('j-1', { status: 200, phase: 'running' }, 1);
    },
  },
  {
    // Both final states are reported. The second request was sent before the first answer arrived.
    rule: 'went_back',
    spec: {},
    feedEvents(checker) {
      checker.cancelRequested('j-1');
      checker.taskStarted(taskOn('i-1'), ON_DEMAND, 0);
      checker.taskEnded(taskOn('i-1'), true);
      checker.userAnswered('j-1', { status: 200, phase: 'done' }, 5, 3);
      checker.userAnswered('j-1', { status: 200, phase: 'cancelled' }, 6, 4);
    },
  },
  {
    rule: 'went_back',
    spec: {},
    feedEvents(checker) {
      checker.userAnswered('j-1', { status: 200, phase: 'cancelled' }, 0);
    },
  },
  {
    rule: 'accepted_wrong',
    spec: {},
    feedEvents(checker) {
      checker.invalidJobSubmitted('j-2');
      checker.userAnswered('j-2', { status: 201, phase: 'pending' }, 0);
    },
  },
  {
    rule: 'waited',
    spec: { tasks: 2, cpus: 4 },
    feedEvents(checker) {
      checker.faultsEndAt = 10_000;
      checker.userAnswered('j-1', { status: 201, phase: 'pending' }, 0);
      const room = (cpus: number): AvailableMachine => ({
        machineId: 'i-1',
        traits: ON_DEMAND,
        free: { cpus, gpus: 0, memoryGb: 9 },
      });
      checker.check(0, [room(4)]);
      checker.check(20_000, [{ ...room(4), traits: SPOT }, room(3)]);
      checker.check(40_000, [room(4)]);
      for (const now of [60_000, 129_000]) {
        checker.userAnswered('j-1', { status: 200, phase: 'pending' }, now);
        checker.check(now, [room(4)]);
      }
      assert.deepEqual(
        checker.violations,
        [],
        'no violation until a machine has had room for 90 s',
      );
      checker.check(131_000, [room(4)]);
    },
  },
  {
    rule: 'waited',
    spec: { kind: 'gang', tasks: 2, cpus: 4, singleZone: true },
    feedEvents(checker) {
      const room = (zone: string): AvailableMachine => ({
        machineId: 'i-1',
        traits: { ...ON_DEMAND, zone },
        free: { cpus: 4, gpus: 0, memoryGb: 9 },
      });
      checker.userAnswered('j-1', { status: 201, phase: 'pending' }, 0);
      for (let now = 0; now < 100_000; now += 10_000) {
        checker.userAnswered('j-1', { status: 200, phase: 'pending' }, now);
        checker.check(now, [room('x'), room('y')]);
      }
      assert.deepEqual(
        checker.violations,
        [],
        'no violation while no zone has room for the whole gang',
      );
      for (let now = 100_000; now <= 200_000; now += 10_000) {
        checker.userAnswered('j-1', { status: 200, phase: 'pending' }, now);
        checker.check(now, [room('x'), room('x')]);
      }
    },
  },
  { rule: 'nothing_ran', spec: {}, feedEvents: () => undefined },
];

for (const { rule, spec, feedEvents } of CASES)
  void test(`the checker detects ${rule} ${JSON.stringify(spec)}`, () => {
    const checker = new Checker({
      teams: new Map([['red', { cpus: 8, gpus: 0 }]]),
      cancelMs: 1000,
    });
    checker.jobSubmitted('j-1', { ...JOB, ...spec });
    feedEvents(checker);
    checker.finish();
    assert.ok(checker.violations.length > 0, 'a violation was detected');
    assert.ok(checker.violations[0]?.startsWith(rule), checker.violations[0]);
  });

void test('the checker reports nothing for a job that runs correctly', () => {
  const checker = new Checker({ teams: new Map([['red', { cpus: 8, gpus: 0 }]]), cancelMs: 1000 });
  checker.jobSubmitted('j-1', JOB);
  checker.userAnswered('j-1', { status: 201, phase: 'pending' }, 0);
  checker.taskStarted(taskOn('i-1'), ON_DEMAND, 1);
  checker.taskEnded(taskOn('i-1'), false);
  checker.taskStarted(taskOn('i-2'), ON_DEMAND, 2);
  checker.taskEnded(taskOn('i-2'), true);
  checker.userAnswered('j-1', { status: 200, phase: 'done' }, 3);
  checker.check(10_000);
  checker.finish();
  assert.deepEqual(checker.violations, []);
});

void test('checker: reports classes, teams and largest jobs of a class of which less than half have started', () => {
  const checker = new Checker({
    teams: new Map([['red', { cpus: 9, gpus: 0 }]]),
    cancelMs: 1000,
  });
  const submit = (uid: string, more: Partial<JobSpec>): void => {
    checker.jobSubmitted(uid, { ...JOB, ...more });
    checker.userAnswered(uid, { status: 201, phase: 'pending' }, 0);
  };
  for (const uid of ['j-1', 'j-2', 'j-3']) submit(uid, {});
  submit('j-4', { tasks: 9 });
  submit('j-5', { team: 'blue', jobClass: 'l' });
  submit('j-6', { team: 'blue', jobClass: 'l' });
  for (const uid of ['j-1', 'j-2']) checker.taskStarted(taskOn('i-1', uid, 0), ON_DEMAND, 0);
  checker.taskStarted(taskOn('i-1', 'j-5', 0), ON_DEMAND, 0);
  assert.deepEqual(checker.starvedGroups(), ['largest of k']);
  submit('j-7', { team: 'green', jobClass: 'm' });
  assert.deepEqual(checker.starvedGroups(), [
    'largest of k',
    'class m',
    'team green',
    'largest of m',
  ]);
});

void test('checker: reports largest jobs of a class that start after four minutes, and starts after a cancellation', () => {
  const checker = new Checker({ teams: new Map([['red', { cpus: 8, gpus: 0 }]]), cancelMs: 1000 });
  for (const [uid, tasks] of [
    ['j-1', 3],
    ['j-2', 3],
    ['j-3', 1],
  ] as const) {
    checker.jobSubmitted(uid, { ...JOB, tasks }, 5000);
    checker.userAnswered(uid, { status: 201, phase: 'pending' }, 5000);
  }
  checker.taskStarted(taskOn('i-1'), ON_DEMAND, 100_000);
  assert.deepEqual(checker.lateLargestJobs(240_000), []);
  assert.deepEqual(checker.lateLargestJobs(246_000), ['j-2']);
  checker.cancelRequested('j-1');
  checker.userAnswered('j-1', { status: 200, phase: 'cancelled' }, 246_000);
  checker.taskStarted(taskOn('i-1', 'j-1', 1), ON_DEMAND, 246_300);
  assert.deepEqual(checker.startsAfterCancel, [300]);
});

void test('the checker accepts the reuse of released resources, and a late answer to an earlier request', () => {
  const checker = new Checker({
    teams: new Map([['red', { cpus: 10, gpus: 0 }]]),
    cancelMs: 1000,
  });
  checker.jobSubmitted('j-1', { ...JOB, tasks: 3, cpus: 4 });
  checker.taskLaunched(taskOn('i-1'), 1, 0);
  checker.taskLaunched(taskOn('i-1', 'j-1', 1), 1, 0);
  checker.taskReleased(taskOn('i-1'), 1);
  checker.taskLaunched(taskOn('i-2'), 2, 0);
  checker.userAnswered('j-1', { status: 201, phase: 'pending' }, 1, 0);
  checker.cancelRequested('j-1');
  checker.userAnswered('j-1', { status: 200, phase: 'cancelled' }, 5, 4);
  checker.userAnswered('j-1', { status: 200, phase: 'running' }, 6, 3);
  assert.deepEqual(checker.violations, []);
});
