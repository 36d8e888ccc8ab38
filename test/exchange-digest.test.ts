/** The digest of an exchange tells behaviours apart, and nothing else. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Body } from '../src/wire/codec.js';
import { AnswerRecorder, ExchangeRecorder, observeExchange } from './fakes/exchange-recorder.js';
import { World } from './fakes/world.js';

const DAY_MS = 20_000;

/** Some jobs on a few machines, with a controller that crashes amid them. */
async function shortDay(seed: number): Promise<{ digest: string; requests: number }> {
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

void test('exchange digest: two runs of a seed agree, and another seed differs', async () => {
  const first = await shortDay(3);
  assert.ok(first.requests > 100, `${String(first.requests)} requests`);
  assert.deepEqual(await shortDay(3), first);
  assert.notEqual((await shortDay(4)).digest, first.digest);
});

const BODY: Body = { uid: 'j-1', spec: { cpus: 2, flavors: ['plain', 'carded'], site: null } };

const CHANGED: { what: string; body: Body | undefined; atMs?: number; host?: string }[] = [
  { what: 'no body', body: undefined },
  { what: 'a number', body: { ...BODY, spec: { cpus: 3, flavors: ['plain', 'carded'] } } },
  { what: 'a field less', body: { ...BODY, spec: { cpus: 2, flavors: ['plain', 'carded'] } } },
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

for (const { what, body, atMs, host } of CHANGED)
  void test(`exchange digest: ${what} changes it`, () => {
    assert.notEqual(digestOf(body, atMs, host), digestOf(BODY));
  });

void test('exchange digest: the order of keys does not change it', () => {
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

void test('exchange digest: a field of an answer under another name changes the digest of answers', () => {
  assert.notEqual(answersDigestOf({ cordoned: [] }), answersDigestOf({ held: [] }));
});

void test('exchange digest: the order of answers of one moment does not change it', () => {
  const [first, second] = [{ held: ['i-1'] }, { held: [] }];
  assert.equal(answersDigestOf(first, second), answersDigestOf(second, first));
});
