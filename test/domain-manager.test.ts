/** Decisions of the domain manager that randomly drawn fault schedules rarely or never reach. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { DomainManager } from '../src/domain/manager.js';
import { Metrics } from '../src/metrics.js';
import { lastTokenOfRange } from '../src/model/fencing-token.js';
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
import { createIntegrityFixture } from './fakes/integrity.js';
import { VirtualTime } from './fakes/time.js';

const HOST = 'a';
const PEER = 'b';
const OTHER_PEER = 'c';
const DONE: CommitOutcome = { kind: 'done', revision: 2 };
const TIMES = { renewMs: 700, leaseMs: 2100, rebalanceMs: 10_000, batchingMs: 500 };

const head = (incarnation: number, fencingToken: number): Body =>
  encodeDomainHead({ incarnation, fencingToken, quota: {} });

function stateOf(records: Record<string, Body>): State {
  const state = new State(() => undefined);
  const items = Object.entries(records).map(([key, value]) => ({ key, value, modRevision: 1 }));
  state.replica.load(items, 0, { revision: 1, events: [] }, 0);
  return state;
}

interface ManagerFixture {
  manager: DomainManager;
  time: VirtualTime;
  /** Number of leases requested from the state service. */
  leases: number;
  /** Asks the proposal source of that name for a proposal. */
  propose: (name: string) => Proposal | null;
}

/** A domain manager that has a lease and has not registered its domain yet. */
async function unregisteredManager(
  records: Record<string, Body>,
  maxWrites = 12,
): Promise<ManagerFixture> {
  const time = new VirtualTime();
  const clock = time.clockOf(() => true, 1, 0);
  const log = pino({ level: 'silent' });
  const state = stateOf(records);
  const result: ManagerFixture = { manager: null as never, time, leases: 0, propose: () => null };
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
      integrity: createIntegrityFixture(state, new Map()).integrity,
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

/** A domain manager that has registered its domain. */
async function registeredManager(
  records: Record<string, Body>,
  maxWrites = 12,
): Promise<ManagerFixture> {
  const result = await unregisteredManager(records, maxWrites);
  result.propose('register')?.onSettled?.(DONE);
  assert.ok(result.manager.isRegistered);
  return result;
}

const writtenValues = ({ writes }: Transaction): Record<string, unknown> =>
  Object.fromEntries(writes.flatMap((write) => ('put' in write ? [[write.put, write.value]] : [])));

void test('registration: writes a new incarnation with a raised fencing token and the lease', async () => {
  const { propose } = await unregisteredManager({
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
    { put: keys.fencingToken, value: encodeFencingToken(lastTokenOfRange(9)) },
  ]);
});

void test('registration: a new lease is requested after a refusal because of an unknown lease', async () => {
  const { propose, time } = await unregisteredManager({ [keys.domain(HOST)]: head(3, 5) });
  propose('register')?.onSettled?.({ kind: 'refused', status: 400 });
  assert.equal(propose('register'), null);
  await time.runUntil(TIMES.renewMs + 10);
  const writes = propose('register')?.transaction.writes ?? [];
  assert.ok(writes.some((write) => 'lease' in write && write.lease === 42));
});

for (const { name, seen, fencingToken } of [
  { name: 'the fencing token of the incarnation', seen: 4, fencingToken: 5 },
  {
    name: 'a raised fencing token if its worker has already seen that of the incarnation',
    seen: 5,
    fencingToken: 9,
  },
])
  void test(`claims: a machine without an owner gets ${name}`, async () => {
    const { manager, propose, time } = await registeredManager({
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
    assert.equal(propose('claim'), null, 'claims are collected first');
    await time.runUntil(TIMES.batchingMs + 20);
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
    assert.deepEqual(writtenValues(transaction), {
      [keys.machineShard(HOST, 0)]: { [fencingToken]: ['i-1'] },
      [keys.firstClaims]: { n: 1 },
      [keys.machineBatch('i-1')]: { f: 'plain', s: 'x', r: false, at: 77, b: { 'i-1': 'x:1' } },
      ...(isRaised ? { [keys.fencingToken]: encodeFencingToken(lastTokenOfRange(9)) } : {}),
    });
  });

const LONG_MACHINE_IDS = Array.from(
  { length: 40 },
  (_, index) => `i-${String(index).padStart(60, '0')}`,
);

/** Records of a dead peer with these machines and takeover lists, and of a live peer. */
const failoverRecords = (
  machineIds: string[],
  lists: Record<string, string[]>,
): Record<string, Body> => ({
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
  transaction && writtenValues(transaction)[keys.machineShard(HOST, 0)];

void test('takeover: takes machines of the own list at once, and those without a live successor a renewal later', async () => {
  const lists = { [HOST]: ['i-1'], [OTHER_PEER]: ['i-2'], [PEER]: ['i-3'] };
  const { propose, time } = await registeredManager(
    failoverRecords(['i-1', 'i-2', 'i-3', 'i-4'], lists),
  );
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

// Both domain heads, the giver's shard and the counter of fencing tokens take four of the six writes. Two writes are
// left for own shards. A quarter of the machines would fill one shard; all machines would take three.
void test('takeover: takes half of the machines if all of them exceed the limits of a transaction', async () => {
  const { propose } = await registeredManager(
    failoverRecords(LONG_MACHINE_IDS, { [HOST]: LONG_MACHINE_IDS }),
    6,
  );
  const transaction = propose('take over')?.transaction;
  assert.ok(transaction);
  assert.equal(transaction.writes.length, 6);
  const puts = writtenValues(transaction);
  const shards = [0, 1].map((part) => puts[keys.machineShard(HOST, part)] as { 9: string[] });
  assert.deepEqual(shards.flatMap((shard) => shard[9]).sort(), LONG_MACHINE_IDS.slice(0, 20));
  assert.deepEqual(puts[keys.machineShard(PEER, 0)], { 4: LONG_MACHINE_IDS.slice(20) });
});

void test('self-fencing: the domain is released while a peer is alive, until a worker is reachable', async () => {
  const { manager, propose } = await registeredManager(failoverRecords([], {}));
  const proposal = propose('step down');
  assert.deepEqual(proposal?.transaction, {
    conditions: [
      { key: keys.domain(HOST), modRevision: 1 },
      { key: keys.liveness(HOST), modRevision: 1 },
      { key: keys.liveness(OTHER_PEER), modRevision: 1 },
    ],
    writes: [{ delete: keys.liveness(HOST) }],
  });
  proposal.onSettled?.(DONE);
  assert.deepEqual([manager.isRegistered, manager.isReleased], [false, true]);
  assert.equal(propose('register'), null);
  manager.workersReachable();
  assert.ok(propose('register'));
});

void test('self-fencing: a controller without live peers keeps its domain', async () => {
  const { propose } = await registeredManager({
    [keys.domain(HOST)]: head(3, 5),
    [keys.liveness(HOST)]: encodeLiveness({ incarnation: 4 }),
  });
  assert.equal(propose('step down'), null);
});
