/** The digest of an exchange must change if a message changes, and must not depend on orders that mean nothing. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Body } from '../src/wire/codec.js';
import { AnswerRecorder, ExchangeRecorder, observeExchange } from './fakes/exchange-recorder.js';
import { World } from './fakes/world.js';

const DAY_MS = 20_000;

/** Runs some jobs on a few machines and crashes a controller while they run. */
async function shortRun(seed: number): Promise<{ digest: string; requests: number }> {
  const recorder = new ExchangeRecorder();
  await observeExchange(recorder, async () => {
    const world = new World(seed);
    world.cloud.startMachines(4);
    world.submitLongJobs({ expectedSeconds: 3 }, 6);
    world.time.after(DAY_MS / 2, () => {
      world.kill('a', 2000);
    });
    await world.time.runUntil(DAY_MS);
    for (const host of world.hosts()) world.kill(host, 1e9);
  });
  return { digest: recorder.digest(), requests: recorder.requests };
}

/** The digest of one request with this body. */
function digestOf(body: Body | undefined, atMs = 1, host = 'a'): string {
  const recorder = new ExchangeRecorder();
  const call = { method: 'POST', path: '/checkin', timeoutMs: 1000 } as const;
  recorder.onRequest({ host, atMs, call: body ? { ...call, body } : call });
  return recorder.digest();
}

void test('exchange digest: equal for two runs of a seed, different for another seed', async () => {
  const first = await shortRun(3);
  assert.ok(first.requests > 100, `${String(first.requests)} requests`);
  assert.deepEqual(await shortRun(3), first);
  assert.notEqual((await shortRun(4)).digest, first.digest);
});

const BODY: Body = { uid: 'j-1', spec: { cpus: 2, flavors: ['plain', 'carded'], site: null } };

const CHANGED_MESSAGES: { what: string; body: Body | undefined; atMs?: number; host?: string }[] = [
  { what: 'no body', body: undefined },
  { what: 'a number', body: { ...BODY, spec: { cpus: 3, flavors: ['plain', 'carded'] } } },
  { what: 'a missing field', body: { ...BODY, spec: { cpus: 2, flavors: ['plain', 'carded'] } } },
  {
    what: 'the order of a list',
    body: { ...BODY, spec: { cpus: 2, flavors: ['carded', 'plain'], site: null } },
  },
  {
    what: 'a type',
    body: { ...BODY, spec: { cpus: '2', flavors: ['plain', 'carded'], site: null } },
  },
  { what: 'the time', body: BODY, atMs: 2 },
  { what: 'the host', body: BODY, host: 'b' },
];

for (const { what, body, atMs, host } of CHANGED_MESSAGES)
  void test(`exchange digest: ${what} changes the digest`, () => {
    assert.notEqual(digestOf(body, atMs, host), digestOf(BODY));
  });

void test('exchange digest: the order of keys does not change the digest', () => {
  const reordered = { spec: { site: null, flavors: ['plain', 'carded'], cpus: 2 }, uid: 'j-1' };
  assert.equal(digestOf(reordered), digestOf(BODY));
});

/** The digest of answers with these bodies, in the order given. */
function answersDigestOf(...bodies: Body[]): string {
  const recorder = new AnswerRecorder();
  const call = { method: 'POST', path: 'testify', timeoutMs: 1000 } as const;
  for (const body of bodies)
    recorder.onAnswer({ host: 'a:2', atMs: 1, call }, { status: 200, body });
  return recorder.digest();
}

void test('exchange digest: renaming a field of an answer changes the digest of answers', () => {
  assert.notEqual(answersDigestOf({ cordoned: [] }), answersDigestOf({ held: [] }));
});

void test('exchange digest: the order of simultaneous answers does not change the digest', () => {
  const [first, second] = [{ held: ['i-1'] }, { held: [] }];
  assert.equal(answersDigestOf(first, second), answersDigestOf(second, first));
});
