/** Decisions of the domain manager that drawn days seldom or never come to. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { DomainManager } from '../src/domain/manager.js';
import { Metrics } from '../src/metrics.js';
import { StoreClient, type CommitOutcome, type Transaction } from '../src/store/client.js';
import type { Proposal } from '../src/store/commit-loop.js';
import {
  encodeDomainHead,
  encodeFencingToken,
  encodeLiveness,
  encodeTakeoverList,
  keys,
} from '../src/store/records/index.js';
import { State } from '../src/store/state.js';
import type { Body } from '../src/wire/codec.js';
import type { Call } from '../src/wire/client.js';
import { integrityOf } from './fakes/integrity.js';
import { VirtualTime } from './fakes/time.js';

const HOST = 'a';
const PEER = 'b';
const OTHER_PEER = 'c';
const DONE: CommitOutcome = { kind: 'done', revision: 2 };
const TIMES = { renewMs: 700, leaseMs: 2100, rebalanceMs: 10_000, gatherMs: 500 };

const head = (incarnation: number, fencingToken: number): Body =>
  encodeDomainHead({ incarnation, fencingToken, quota: {} });

function stateOf(records: Record<string, Body>): State {
  const state = new State(() => undefined);
  const items = Object.entries(records).map(([key, value]) => ({ key, value, modRevision: 1 }));
  state.replica.load(items, 0, { revision: 1, events: [] }, 0);
  return state;
}

interface Managed {
  manager: DomainManager;
  time: VirtualTime;
  /** Leases that the state service was asked for. */
  leases: number;
  /** Proposes by the source of that name. */
  propose: (name: string) => Proposal | null;
}

/** The manager of a domain whose lease was granted, before it is registered. */
async function managed(records: Record<string, Body>, maxWrites = 12): Promise<Managed> {
  const time = new VirtualTime();
  const clock = time.clockOf(() => true, 1, 0);
  const log = pino({ level: 'silent' });
  const state = stateOf(records);
  const result: Managed = { manager: null as never, time, leases: 0, propose: () => null };
  const answer = (call: Call): Promise<{ status: number; body: Body }> => {
    if (call.path === '/leases') result.leases++;
    return Promise.resolve({ status: 200, body: { lease: 40 + result.leases } });
  };
  result.manager = new DomainManager(
    {
      self: HOST,
      peers: [PEER, OTHER_PEER],
      controllerCount: 3,
      ...TIMES,
      maxWrites,
      maxValueBytes: 1024,
    },
    {
      teams: new Map(),
      store: new StoreClient({ call: answer, watchCall: answer, clock, log, timeoutMs: 500 }),
      state,
      clock,
      log,
      metrics: new Metrics(),
      integrity: integrityOf(state, new Map()).integrity,
      workers: { ownersChanged: () => undefined, isIsolated: () => true },
      wake: () => undefined,
    },
  );
  const { manager } = result;
  const sources = [...manager.urgentSources(), ...manager.sources()];
  result.propose = (name) => sources.find((source) => source.name === name)?.propose() ?? null;
  void manager.renewLoop();
  await time.runUntil(10);
  return result;
}

/** The same once the domain is registered. */
async function registered(records: Record<string, Body>, maxWrites = 12): Promise<Managed> {
  const result = await managed(records, maxWrites);
  result.propose('register')?.settled?.(DONE);
  assert.ok(result.manager.isRegistered);
  return result;
}

const putsOf = ({ writes }: Transaction): Record<string, unknown> =>
  Object.fromEntries(writes.flatMap((write) => ('put' in write ? [[write.put, write.value]] : [])));

void test('registration: a new incarnation under a raised fencing token, with the lease', async () => {
  const { propose } = await managed({
    [keys.domain(HOST)]: head(3, 5),
    [keys.fencingToken]: encodeFencingToken(8),
  });
  const proposal = propose('register');
  assert.deepEqual(proposal?.transaction.conditions, [
    { key: keys.domain(HOST), modRevision: 1 },
    { key: keys.fencingToken, modRevision: 1 },
  ]);
  assert.deepEqual(proposal.transaction.writes, [
    { put: keys.domain(HOST), value: head(4, 9) },
    { put: keys.liveness(HOST), value: encodeLiveness({ incarnation: 4 }), lease: 41 },
    { put: keys.fencingToken, value: encodeFencingToken(9) },
  ]);
});

void test('registration: refused for a lease that is not known, a new one is asked for', async () => {
  const { propose, time } = await managed({ [keys.domain(HOST)]: head(3, 5) });
  propose('register')?.settled?.({ kind: 'refused', status: 400 });
  assert.equal(propose('register'), null);
  await time.runUntil(TIMES.renewMs + 10);
  const writes = propose('register')?.transaction.writes ?? [];
  assert.ok(writes.some((write) => 'lease' in write && write.lease === 42));
});

for (const { name, seen, fencingToken } of [
  { name: 'under that of the incarnation', seen: 4, fencingToken: 5 },
  { name: 'under a raised one if its worker has seen that', seen: 5, fencingToken: 9 },
])
  void test(`claims: a machine without an owner comes ${name}`, async () => {
    const { manager, propose, time } = await registered({
      [keys.domain(HOST)]: head(3, 5),
      [keys.fencingToken]: encodeFencingToken(8),
    });
    manager.unowned.requestClaim('i-1', {
      address: 'x:1',
      machineType: 'plain',
      zone: 'x',
      spot: false,
      fencingToken: seen,
      reportedAt: 77,
    });
    assert.equal(propose('claim'), null, 'gathered first');
    await time.runUntil(TIMES.gatherMs + 20);
    const transaction = propose('claim')?.transaction;
    assert.ok(transaction);
    const isRaised = fencingToken > 8;
    const raised = { key: keys.fencingToken, modRevision: 1 };
    assert.deepEqual(transaction.conditions, [
      { key: keys.domain(HOST), modRevision: 1 },
      { key: keys.machineShard(HOST, 0), modRevision: 0 },
      { key: keys.firstClaims, modRevision: 0 },
      { key: keys.machineBatch('i-1'), modRevision: 0 },
      ...(isRaised ? [raised] : []),
    ]);
    assert.deepEqual(putsOf(transaction), {
      [keys.machineShard(HOST, 0)]: { [fencingToken]: ['i-1'] },
      [keys.firstClaims]: { n: 1 },
      [keys.machineBatch('i-1')]: { f: 'plain', s: 'x', r: false, at: 77, b: { 'i-1': 'x:1' } },
      ...(isRaised ? { [keys.fencingToken]: encodeFencingToken(9) } : {}),
    });
  });

const NAMES = Array.from({ length: 40 }, (_, index) => `i-${String(index).padStart(60, '0')}`);

/** A dead peer, a live one, and what is listed for whom. */
const failover = (machineIds: string[], lists: Record<string, string[]>): Record<string, Body> => ({
  [keys.domain(HOST)]: head(3, 5),
  [keys.domain(PEER)]: head(2, 4),
  [keys.domain(OTHER_PEER)]: head(1, 3),
  [keys.fencingToken]: encodeFencingToken(8),
  [keys.liveness(HOST)]: encodeLiveness({ incarnation: 4 }),
  [keys.liveness(OTHER_PEER)]: encodeLiveness({ incarnation: 1 }),
  [keys.machineShard(PEER, 0)]: { 4: machineIds },
  [keys.takeoverList(PEER, 0)]: encodeTakeoverList(lists),
});

const ownShard = (transaction: Transaction | undefined): unknown =>
  transaction && putsOf(transaction)[keys.machineShard(HOST, 0)];

void test('takeover: the own list at once, what no live successor is listed for a renewal later', async () => {
  const lists = { [HOST]: ['i-1'], [OTHER_PEER]: ['i-2'], [PEER]: ['i-3'] };
  const { propose, time } = await registered(failover(['i-1', 'i-2', 'i-3', 'i-4'], lists));
  const first = propose('take over')?.transaction;
  assert.deepEqual(ownShard(first), { 9: ['i-1'] });
  assert.ok(
    first?.conditions.some(
      ({ key, modRevision }) => key === keys.liveness(PEER) && modRevision === 0,
    ),
  );
  await time.runUntil(TIMES.renewMs + 20);
  assert.deepEqual(ownShard(propose('take over')?.transaction), { 9: ['i-1', 'i-3', 'i-4'] });
});

// Two heads, the giver's shard, the counter of tokens: of six writes two are left for own shards, and a quarter of the
// machines would fill one. All of them would take three.
void test('takeover: half of the machines where the limits of a transaction do not allow all', async () => {
  const { propose } = await registered(failover(NAMES, { [HOST]: NAMES }), 6);
  const transaction = propose('take over')?.transaction;
  assert.ok(transaction);
  assert.equal(transaction.writes.length, 6);
  const puts = putsOf(transaction);
  const shards = [0, 1].map((part) => puts[keys.machineShard(HOST, part)] as { 9: string[] });
  assert.deepEqual(shards.flatMap((shard) => shard[9]).sort(), NAMES.slice(0, 20));
  assert.deepEqual(puts[keys.machineShard(PEER, 0)], { 4: NAMES.slice(20) });
});

void test('self-fencing: the domain is given up while a peer is alive, until a worker is reached', async () => {
  const { manager, propose } = await registered(failover([], {}));
  const proposal = propose('step down');
  assert.deepEqual(proposal?.transaction, {
    conditions: [
      { key: keys.domain(HOST), modRevision: 1 },
      { key: keys.liveness(HOST), modRevision: 1 },
      { key: keys.liveness(OTHER_PEER), modRevision: 1 },
    ],
    writes: [{ delete: keys.liveness(HOST) }],
  });
  proposal.settled?.(DONE);
  assert.deepEqual([manager.isRegistered, manager.isReleased], [false, true]);
  assert.equal(propose('register'), null);
  manager.workersReachable();
  assert.ok(propose('register'));
});

void test('self-fencing: alone, a controller keeps its domain', async () => {
  const { propose } = await registered({
    [keys.domain(HOST)]: head(3, 5),
    [keys.liveness(HOST)]: encodeLiveness({ incarnation: 4 }),
  });
  assert.equal(propose('step down'), null);
});
