/** Tests of the fake worker: a fault of the fake itself would look like a fault of the scheduler in other tests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Checker } from './fakes/checker.js';
import { SeededRandom, VirtualTime } from './fakes/time.js';
import { JOB } from './fakes/users.js';
import { FakeWorker } from './fakes/worker.js';

// Observed fault: a machine that was deleted while it hung executed its deferred commands when it resumed.
void test('fake worker: a machine that is deleted while it hangs executes none of its deferred commands', async () => {
  const time = new VirtualTime();
  const checker = new Checker({
    teams: new Map([['red', { cpus: 8, gpus: 0 }]]),
    cancelMs: 30_000,
  });
  const worker = new FakeWorker(
    'i-1',
    { machineType: 'plain', zone: 'x', spot: false },
    {
      time,
      random: new SeededRandom(1),
      checker,
      hosts: ['a'],
      heartbeatMs: 1000,
      leaseMs: 10_000,
      gangWaitMs: 20_000,
      gangPeerMs: 4000,
      machineTypes: new Map([['plain', { cpus: 8, gpus: 0, memoryGb: 64 }]]),
      jobSpec: () => JOB,
      onTaskDone: () => undefined,
      gangs: new Map(),
      callerTo: () => () => new Promise(() => undefined),
      addressOf: (machine) => `${machine}:9000`,
    },
  );
  checker.jobSubmitted('j-1', JOB);
  worker.hung = true;
  const orders = [{ verb: 'launch', task: 'j-1/0', try: 1 }];
  const call = { method: 'POST' as const, path: '/commands', timeoutMs: 1000 };
  void worker.handle({ ...call, body: { epoch: 1, tenure: 1, orders } });
  await time.runUntil(1000);
  worker.die();
  worker.resume();
  await time.runUntil(2000);
  assert.deepEqual(worker.startedTasks, []);
  assert.deepEqual(checker.reservationNames(), []);
});
