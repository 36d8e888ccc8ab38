/** Submissions, also malformed ones and ones that can never run, are answered and stored as by an earlier version. */
import assert from 'node:assert/strict';
import { before, after, test } from 'node:test';
import type { Body } from '../src/wire/codec.js';
import { requestAndWait } from './fakes/user-requests.js';
import { observeExchange } from './fakes/exchange-recorder.js';
import type { Delivery } from './fakes/net.js';
import { bodyOf, readMessages, type SubmissionCase } from './fakes/recorded-messages.js';
import { World } from './fakes/world.js';

/** Time at which the controllers have started and machines are up. */
const STARTED_MS = 15_000;

const { base, cases } = readMessages().submissions;
const world = new World(3);

before(async () => {
  world.cloud.startMachines(2);
  await world.time.runUntil(STARTED_MS);
});

after(() => {
  for (const host of world.hosts()) world.kill(host, 1e9);
});

/** The job's description if the request writes the job's record, else undefined. */
function storedSpec({ call }: Delivery, uid: unknown): unknown {
  if (call.path !== '/commit') return undefined;
  const writes = (call.body?.['apply'] ?? []) as { put?: string; value?: Body }[];
  return writes.find(({ put }) => put === `tv/job/${String(uid)}`)?.value?.['s'];
}

async function submit(one: SubmissionCase): Promise<void> {
  const body = { ...('uid' in one ? { uid: one.uid } : {}), ...bodyOf(base, one) };
  let stored: unknown;
  const { status, body: answer } = await observeExchange(
    {
      onRequest: (delivery) => {
        stored ??= storedSpec(delivery, one.uid);
      },
    },
    () => requestAndWait(world, 'b', { method: 'POST', path: '/v2/runs', body }),
  );
  assert.equal(status, one.status);
  // A known job is answered with its progress, which depends on when it is asked for.
  if (status === 200) assert.equal(answer['uid'], one.answer['uid']);
  else assert.deepEqual(answer, one.answer);
  if (status !== 200) assert.deepEqual(stored, one.stored);
}

for (const [index, one] of cases.entries())
  void test(`submission ${String(index)}, ${one.note}: ${String(one.status)}`, () => submit(one));
