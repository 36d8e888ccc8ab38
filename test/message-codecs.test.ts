/** Messages, malformed ones included, are decoded and encoded as by the earlier version whose messages were recorded. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { CloudClient } from '../src/cloud/client.js';
import type { MachineType, Rental } from '../src/model/machine.js';
import type { ExitReason, Heartbeat, WorkerCommand } from '../src/model/worker.js';
import { encodeCommandRequest, decodeHeartbeat } from '../src/protocol/workers.js';
import { StoreClient, type Changes, type Item, type CommitOutcome } from '../src/store/client.js';
import { NoAnswer, type Answer, type Call } from '../src/wire/client.js';
import type { Body } from '../src/wire/codec.js';
import { bodyOf, readMessages, type ClientCase } from './fakes/recorded-messages.js';

const MESSAGES = readMessages();

/** Exit reasons as workers send them. Any value that is not listed here is decoded as `other`. */
const CAUSES: Readonly<Record<ExitReason, string>> = {
  done: 'done',
  error: 'error',
  halted: 'halted',
  alreadyRunning: 'in_use',
  peerLost: 'mates_gone',
  gangIncomplete: 'incomplete',
  noResources: 'full',
  other: 'another',
};

/** A decoded heartbeat in its wire form, with defaults for the fields that were left out. */
function wireHeartbeat(heartbeat: Heartbeat): Body {
  return {
    box: heartbeat.machineId,
    address: heartbeat.address,
    flavor: heartbeat.machineType,
    site: heartbeat.zone,
    reclaimable: heartbeat.spot,
    tenure: heartbeat.workerIncarnation,
    tick: heartbeat.sequence,
    epoch: heartbeat.fencingToken,
    warning_s: heartbeat.preemptionNoticeSeconds,
    tasks: heartbeat.tasks.map(({ taskName, attempt, phase, exitReason }) => ({
      task: taskName,
      try: attempt,
      phase: phase === 'checkpointing' ? 'saving' : phase,
      cause: exitReason && CAUSES[exitReason],
    })),
  };
}

const KNOWN_CAUSES: ReadonlySet<unknown> = new Set(Object.values(CAUSES));

/**
 * A heartbeat as recorded, without the task field that is not used, with null for absent optional fields, and with one
 * value for all unknown exit reasons.
 */
function normalized(taken: Body): Body {
  const tasks = (taken['tasks'] as Body[]).map(({ task, try: attempt, phase, cause }) => ({
    task,
    try: attempt,
    phase,
    cause: typeof cause === 'string' && !KNOWN_CAUSES.has(cause) ? CAUSES.other : (cause ?? null),
  }));
  return { ...taken, warning_s: taken['warning_s'] ?? null, tasks };
}

for (const [index, one] of MESSAGES.heartbeats.cases.entries())
  void test(`heartbeat ${String(index)}, ${one.note}: ${one.taken ? 'accepted' : 'rejected'}`, () => {
    const heartbeat = decodeHeartbeat(bodyOf(MESSAGES.heartbeats.base, one));
    const expected = one.taken && normalized(one.taken);
    assert.deepEqual(heartbeat && wireHeartbeat(heartbeat), expected);
  });

/** Recorded commands, converted to the model. */
function commandsOf(orders: Body[]): WorkerCommand[] {
  return orders.map(({ verb, task, try: attempt, drain_s: seconds }): WorkerCommand => {
    const command = { taskName: String(task), attempt: Number(attempt) };
    if (verb === 'launch') return { ...command, kind: 'start' };
    if (verb === 'reap') return { ...command, kind: 'acknowledge' };
    return { ...command, kind: 'stop', gracePeriodSeconds: Number(seconds) };
  });
}

void test('commands are encoded as they were recorded', () => {
  const requests = MESSAGES.exchanges.filter(({ path }) => path === '/commands');
  const verbs = new Set<unknown>();
  for (const { request = {} } of requests) {
    const orders = request['orders'] as Body[];
    for (const { verb } of orders) verbs.add(verb);
    const encoded = encodeCommandRequest({
      fencingToken: Number(request['epoch']),
      workerIncarnation: Number(request['tenure']),
      commands: commandsOf(orders),
    });
    assert.deepEqual(encoded, request);
  }
  assert.deepEqual([...verbs].sort(), ['halt', 'launch', 'reap']);
});

/** The outcome of a client's call, in the form of the fixture. */
async function outcomeOf(call: Promise<unknown>): Promise<Pick<ClientCase, 'taken' | 'noAnswer'>> {
  try {
    const taken = await call;
    return { taken: taken === undefined ? true : taken };
  } catch (error) {
    if (!(error instanceof NoAnswer)) throw error;
    return { noAnswer: true };
  }
}

function expectedOf({ taken, noAnswer }: ClientCase): Pick<ClientCase, 'taken' | 'noAnswer'> {
  return noAnswer ? { noAnswer } : { taken };
}

/** Removes undefined fields, as the fixture leaves them out. */
const withoutUndefined = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;

function wireMachineType(type: MachineType): unknown {
  return withoutUndefined({
    sku: type.name,
    cpus: type.cpus,
    cards: type.gpus,
    memory_gb: type.memoryGb,
    cache_gb: type.cacheGb,
    pull_gb_per_s: type.imagePullGbPerSecond,
    rate: type.pricePerHour,
    low_price: type.spotPricePerHour,
    ready_s: type.bootSeconds,
    sites: type.zones,
  });
}

function wireRental(rental: Rental): unknown {
  return {
    uid: rental.machineId,
    address: rental.address,
    flavor: rental.machineType,
    site: rental.zone,
    reclaimable: rental.spot,
    phase: rental.phase,
    held_s: rental.rentedSeconds,
  };
}

const REQUEST = { requestId: 'r-1', machineType: 'plain', zone: 'x', spot: false, count: 2 };

const CLOUD_CALLS: Readonly<Record<string, (client: CloudClient) => Promise<unknown>>> = {
  machineTypes: async (client) => [...(await client.machineTypes()).values()].map(wireMachineType),
  rentals: async (client) => (await client.rentals()).map(wireRental),
  rent: (client) => client.rent(REQUEST),
  delete: (client) => client.deleteMachines(['i-1']),
};

for (const [index, one] of MESSAGES.cloud.entries())
  void test(`cloud ${String(index)}, ${one.call}, ${one.note}`, async () => {
    const answer = (): Promise<Answer> =>
      Promise.resolve({ status: one.status, body: structuredClone(one.body) });
    const call = CLOUD_CALLS[one.call];
    assert.ok(call);
    assert.deepEqual(await outcomeOf(call(new CloudClient(answer, 1000))), expectedOf(one));
  });

void test('cloud: requests keep their wire form', async () => {
  const sent: Call[] = [];
  const client = new CloudClient((call) => {
    sent.push(call);
    return Promise.resolve({ status: 200, body: { boxes: [], more: false } });
  }, 1000);
  await client.rentals();
  await client.rent(REQUEST);
  await client.deleteMachines(['i-1', 'i-2']);
  assert.deepEqual(
    sent.map(({ method, path, body }) => [method, path, body]),
    [
      ['GET', '/rentals?since=&page=500', undefined],
      [
        'POST',
        '/rentals',
        { claim: 'r-1', flavor: 'plain', site: 'x', reclaimable: false, count: 2 },
      ],
      ['POST', '/rentals/delete', { boxes: ['i-1', 'i-2'] }],
    ],
  );
});

const wireItem = ({ key, value, modRevision }: Item): Body => ({ key, value, stamp: modRevision });

function wireOutcome(outcome: CommitOutcome): Body {
  if (outcome.kind === 'refused') return { ...outcome };
  const { revision, ...rest } = outcome;
  return { ...rest, generation: revision };
}

function wireChanges(changes: Changes | null): Body | null {
  if (!changes) return null;
  const events = changes.events.map(({ modRevision, ...event }) => ({
    ...event,
    stamp: modRevision,
  }));
  return { generation: changes.revision, events };
}

const TRANSACTION = {
  conditions: [
    { key: 'tv/x', modRevision: 3 },
    { key: 'tv/y', modRevision: 0 },
  ],
  writes: [
    { put: 'tv/x', value: { a: 1 } },
    { put: 'tv/z', value: {}, lease: 5 },
    { delete: 'tv/y' },
  ],
};

const STORE_CALLS: Readonly<Record<string, (client: StoreClient) => Promise<unknown>>> = {
  commit: async (client) => wireOutcome(await client.commit(TRANSACTION)),
  get: async (client) => {
    const { item, revision } = await client.get('tv/x');
    return { item: item && wireItem(item), generation: revision };
  },
  list: async (client) => {
    const { items, revision } = await client.list('tv/');
    return { items: items.map(wireItem), generation: revision };
  },
  changes: async (client) => wireChanges(await client.changes('tv/', 4, 250.4)),
  newLease: (client) => client.newLease(2500.4),
  extendLease: (client) => client.extendLease(5, 500),
};

/** A clock whose timers never fire, so a call that is about to be retried stays unanswered. */
const CLOCK_WITHOUT_TIMERS = { now: () => 0, wallClock: () => 0, after: () => () => undefined };

for (const [index, one] of MESSAGES.state.entries())
  void test(`state service ${String(index)}, ${one.call}, ${one.note}`, async () => {
    const sent: Call[] = [];
    const answer = (call: Call): Promise<Answer> => {
      sent.push(structuredClone(call));
      return Promise.resolve({ status: one.status, body: structuredClone(one.body) });
    };
    const client = new StoreClient({
      call: answer,
      watchCall: answer,
      clock: CLOCK_WITHOUT_TIMERS,
      log: pino({ level: 'silent' }),
      timeoutMs: 1000,
    });
    const call = STORE_CALLS[one.call];
    assert.ok(call);
    const unanswered = new Promise<Pick<ClientCase, 'noAnswer'>>((resolve) => {
      setImmediate(() => {
        resolve({ noAnswer: true });
      });
    });
    const outcome = await Promise.race([outcomeOf(call(client)), unanswered]);
    assert.deepEqual(outcome, expectedOf(one));
    assert.deepEqual(withoutUndefined(sent[0]), one.sent);
  });
