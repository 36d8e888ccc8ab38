/** Controllers continue on a store that an earlier version left: domains are taken over and no job is lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isDeepStrictEqual } from 'node:util';
import { decodeJobSpec, type WireJobSpec } from '../src/protocol/job-spec.js';
import { State } from '../src/store/state.js';
import type { Body } from '../src/wire/codec.js';
import { requestAndWait, sendRequest } from './fakes/user-requests.js';
import { nameUnder, readStoredRecords, readStoredState, restore } from './fakes/stored-state.js';
import { World, type WorldOptions } from './fakes/world.js';

/** The deployment on which the fixture was recorded. */
const SIZE: Partial<WorldOptions> = {
  hosts: ['a', 'b', 'c', 'd', 'e'],
  capacity: 16,
  teams: [
    { name: 'red', cpus: 37.5, cpus_max: 150, gpus: 4, gpus_max: 8 },
    { name: 'blue', cpus: 65, cpus_max: 130, gpus: 0, gpus_max: 4 },
  ],
  state: { rps: 200, write_rps: 40, value_kb: 1, txn_ops: 7 },
};
/** Simulated time at which the fixture was recorded; times of day in its records are earlier. */
const RECORDED_MS = 64_000;
const LEASE_MS = 10_000;
/** When the machines start, and when the cloud's list, which lags behind, contains them. */
const CLOUD_MS = RECORDED_MS - 10_000;
const LISTED_MS = CLOUD_MS + 5000;

const STATE = readStoredState();

/** Stored records of the jobs that are not over, by job id. */
const JOBS = new Map<string, Body>();
/** Final states of the other jobs, by job id. */
const ENDS = new Map<string, Body>();
const MACHINES = new Map<string, { flavor: unknown; site: unknown; reclaimable: unknown }>();
for (const { key, value } of STATE.records) {
  const job = nameUnder('tv/job/', key);
  if (job !== null) JOBS.set(job, value);
  const end = nameUnder('tv/end/', key);
  if (end !== null) ENDS.set(end, value);
  if (key.startsWith('tv/lot/'))
    for (const id of Object.keys(value['b'] as Body))
      MACHINES.set(id, { flavor: value['f'], site: value['s'], reclaimable: value['r'] });
}

/** The last term that had been assigned. */
const TERM = Number(STATE.records.find(({ key }) => key === 'tv/term')?.value['t']);

/**
 * Starts the machines of the fixture that the fake cloud can start with the same type, zone and kind (spot or not). The
 * other machines that it started are deleted, so the rest of the fixture's machines are lost.
 */
async function startFixtureMachines(world: World): Promise<void> {
  const numbers = [...MACHINES.keys()].map((id) => Number(id.slice('i-'.length)));
  world.cloud.startMachines(Math.max(...numbers) + 1);
  await world.time.runUntil(LISTED_MS);
  const listed = world.cloud.handle({ method: 'GET', path: '/rentals', timeoutMs: 1000 });
  const others = (listed.body['boxes'] as Body[]).filter(
    ({ uid, flavor, site, reclaimable }) =>
      !isDeepStrictEqual(MACHINES.get(String(uid)), { flavor, site, reclaimable }),
  );
  const boxes = others.map(({ uid }) => uid);
  const path = '/rentals/delete';
  world.cloud.handle({ method: 'POST', path, body: { boxes }, timeoutMs: 1000 });
}

/** A world on the fixture's store, just before the given controllers start; the others do not start. */
async function worldOnFixture(hosts: readonly string[]): Promise<World> {
  const world = new World(5, SIZE);
  for (const host of world.hosts())
    world.kill(host, hosts.includes(host) ? RECORDED_MS + 100 : 1e9);
  await world.time.runUntil(CLOUD_MS);
  await startFixtureMachines(world);
  await world.time.runUntil(RECORDED_MS);
  await restore(world.store, STATE, LEASE_MS);
  return world;
}

/** Asserts that a controller has every job of the fixture, in a phase that the job can have reached. */
async function assertNoJobLost(world: World, host: string): Promise<void> {
  const answers = [...JOBS, ...ENDS].map(async ([uid, record]) => {
    const { status, body } = await sendRequest(world, host, {
      method: 'GET',
      path: `/v2/runs/${uid}`,
    });
    assert.equal(status, 200, `${uid} at ${host}: ${JSON.stringify(body)}`);
    assert.equal(body['uid'], uid);
    if (ENDS.has(uid)) {
      const isDone = record['ph'] === 'done';
      const done = isDone ? record['tasks'] : 0;
      assert.deepEqual(body, { uid, phase: record['ph'], done, running: 0 });
    } else if (record['cancelled'] === true) assert.equal(body['phase'], 'cancelled');
    else assert.match(String(body['phase']), /^(pending|running|done)$/);
  });
  const all = Promise.all(answers);
  await world.time.runUntil(world.time.now + 5001);
  await all;
}

/** Machines of the fixture that are up and not owned by any running controller. */
function unowned(world: World, hosts: readonly string[]): string[] {
  return [...world.workers.keys()].filter(
    (id) => MACHINES.has(id) && !hosts.includes(world.ownerOf(id) ?? ''),
  );
}

function stop(world: World): void {
  for (const host of world.hosts()) world.kill(host, 1e9);
}

void test('stored state: the fixture has records of every kind', () => {
  const kinds = new Set(STATE.records.map(({ key }) => key.split('/')[1]));
  assert.deepEqual([...kinds].sort(), [
    'dom',
    'end',
    'fleet',
    'job',
    'list',
    'live',
    'lot',
    'new',
    'own',
    'run',
    'term',
  ]);
  assert.ok(JOBS.size >= 50 && ENDS.size >= 180 && MACHINES.size >= 25);
});

for (const [index, { key, value, note }] of readStoredRecords().entries())
  void test(`stored records: ${key} (${String(index)}, ${note}) can be read as a record of its kind`, () => {
    const state = new State(() => undefined);
    state.replica.load([{ key, value, modRevision: 1 }], 0, { revision: 1, events: [] }, 0);
    assert.deepEqual([...state.malformedRecords()], []);
  });

const RETURNS: { name: string; hosts: string[] }[] = [
  { name: 'all controllers', hosts: ['a', 'b', 'c', 'd', 'e'] },
  { name: 'one controller, which takes over the others,', hosts: ['c'] },
];

for (const { name, hosts } of RETURNS)
  void test(`stored state: ${name} own the machines and have every job`, async () => {
    const world = await worldOnFixture(hosts);
    await world.time.runUntil(RECORDED_MS + 6000);
    for (const host of hosts) await assertNoJobLost(world, host);
    await world.time.runUntil(RECORDED_MS + 60_000);
    assert.ok([...world.workers.keys()].filter((id) => MACHINES.has(id)).length > 20);
    assert.ok(
      Number(world.store.peek('tv/term')?.['t']) > TERM,
      'machines are claimed under a higher term',
    );
    assert.deepEqual(unowned(world, hosts), []);
    for (const host of hosts) await assertNoJobLost(world, host);
    assert.deepEqual(world.recordViolations, []);
    assert.deepEqual(world.store.oversized, []);
    stop(world);
  });

void test('stored state: jobs that were not over run to their end without a violation', async () => {
  const world = await worldOnFixture(['a', 'b', 'c', 'd', 'e']);
  for (const [uid, { s: stored }] of JOBS) {
    const spec = decodeJobSpec(stored as WireJobSpec);
    world.specs.set(uid, spec);
    world.checker.jobSubmitted(uid, spec, world.time.now);
  }
  await world.time.runUntil(RECORDED_MS + 180_000);
  const notEnded = [...JOBS].filter(([uid]) => world.store.peek(`tv/end/${uid}`) === undefined);
  // Services do not end.
  assert.deepEqual(
    notEnded.map(([uid, { s: stored }]) => [uid, (stored as WireJobSpec).shape]),
    notEnded.map(([uid]) => [uid, 'standing']),
  );
  for (const [uid] of notEnded) {
    const { body } = await requestAndWait(world, 'a', { method: 'GET', path: `/v2/runs/${uid}` });
    assert.equal(body['phase'], 'running');
  }
  for (const [uid, { s: stored, cancelled }] of JOBS) {
    const end = world.store.peek(`tv/end/${uid}`);
    const phase = cancelled === true ? 'cancelled' : 'done';
    if (end) assert.deepEqual(end, { ph: phase, tasks: (stored as WireJobSpec).tasks });
  }
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  stop(world);
});

void test('stored state: a repeated submission finds its job, and a withdrawal cancels it', async () => {
  const world = await worldOnFixture(['a', 'b', 'c', 'd', 'e']);
  await world.time.runUntil(RECORDED_MS + 6000);
  const [uid, record] = [...JOBS].find(([, { cancelled }]) => cancelled !== true) ?? ['', {}];
  const spec = record['s'] as Body;
  const repeated = await requestAndWait(world, 'b', {
    method: 'POST',
    path: '/v2/runs',
    body: { uid, ...spec },
  });
  assert.equal(repeated.status, 200);
  const withdrawn = await requestAndWait(world, 'c', {
    method: 'POST',
    path: `/v2/runs/${uid}/withdraw`,
    body: {},
  });
  assert.deepEqual(withdrawn, { status: 200, body: { uid, phase: 'cancelled' } });
  await world.time.runUntil(world.time.now + 40_000);
  assert.deepEqual(world.store.peek(`tv/end/${uid}`), { ph: 'cancelled', tasks: spec['tasks'] });
  assert.equal(world.store.peek(`tv/job/${uid}`), undefined);
  const [endedUid = ''] = [...ENDS].find(([, { ph }]) => ph === 'done') ?? [];
  const again = await requestAndWait(world, 'd', {
    method: 'POST',
    path: '/v2/runs',
    body: { uid: endedUid, ...spec },
  });
  assert.deepEqual([again.status, again.body['phase']], [200, 'done']);
  stop(world);
});
