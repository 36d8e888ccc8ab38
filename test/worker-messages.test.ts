import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeHeartbeat } from '../src/protocol/workers.js';

const HEARTBEAT = {
  box: 'i-000001',
  address: '10.0.0.1:9000',
  flavor: 'plain',
  site: 'x',
  reclaimable: false,
  tenure: 1,
  tick: 4,
  epoch: 9,
};

const EXIT_REASONS: [cause: string | null, exitReason: string | null][] = [
  [null, null],
  ['done', 'done'],
  ['error', 'error'],
  ['halted', 'halted'],
  ['in_use', 'alreadyRunning'],
  ['mates_gone', 'peerLost'],
  ['incomplete', 'gangIncomplete'],
  ['full', 'noResources'],
  // A newer worker may send reasons that this version does not have.
  ['unknown', 'other'],
  ['constructor', 'other'],
];

for (const [cause, exitReason] of EXIT_REASONS)
  void test(`worker messages: a task that exited with cause ${String(cause)}`, () => {
    const tasks = [{ task: 'j-1/0', try: 2, phase: 'exited', cause }];
    const heartbeat = decodeHeartbeat({ ...HEARTBEAT, tasks });
    assert.deepEqual(heartbeat?.tasks, [
      { taskName: 'j-1/0', attempt: 2, phase: 'exited', exitReason },
    ]);
  });
