/** Messages between controllers keep their wire form, because other versions send and decode them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import {
  MalformedPeerRequest,
  UnknownPeerRequestType,
  UnknownRelayedRoute,
} from '../src/mesh/errors.js';
import type { PeerClient } from '../src/mesh/peer-connection.js';
import { peerRequestHandler } from '../src/mesh/peer-service.js';
import { Peers } from '../src/mesh/peers.js';
import {
  decodeAnswerFrame,
  decodeRequestFrame,
  encodeAnswerFrame,
  encodeRequestFrame,
  type AcknowledgementRequest,
} from '../src/protocol/peers.js';
import type { Body } from '../src/wire/codec.js';
import type { Route } from '../src/wire/server.js';
import { VirtualTime } from './fakes/time.js';

const WIRE_ACKNOWLEDGEMENT = {
  cancelled: ['j-1'],
  lost: { 'i-1': 12 },
  ageMs: 40,
  held: ['i-2'],
};

const ROUTES: Route[] = [
  {
    method: 'POST',
    path: ['v2', 'runs', '*', 'withdraw'],
    handle: ([jobId = ''], body) => ({ status: 202, body: { jobId, ...body }, retryAfterS: 3 }),
  },
  { method: 'GET', path: ['v2', 'runs', '*'], handle: () => ({ status: 200, body: {} }) },
];

const acknowledgementRequests: AcknowledgementRequest[] = [];
const handler = peerRequestHandler({
  acknowledge: (request) => {
    acknowledgementRequests.push(request);
    return {
      cancelledJobs: ['j-1'],
      lostMachines: new Map([['i-1', 12]]),
      replicaAgeMs: 40,
      cordonedMachines: ['i-2'],
    };
  },
  userRoutes: () => ROUTES,
});

void test('peer messages: a request for an acknowledgement and its answer keep their form', async () => {
  assert.deepEqual(await handler('testify', { host: 'a', head: 7 }), WIRE_ACKNOWLEDGEMENT);
  assert.deepEqual(acknowledgementRequests, [{ controller: 'a', headRevision: 7 }]);
});

void test('peer messages: lost machines are null before the store has been read', async () => {
  const unread = peerRequestHandler({
    acknowledge: () => ({
      cancelledJobs: [],
      lostMachines: null,
      replicaAgeMs: 1e9,
      cordonedMachines: [],
    }),
    userRoutes: () => ROUTES,
  });
  assert.deepEqual(await unread('testify', { host: 'a', head: 0 }), {
    cancelled: [],
    lost: null,
    ageMs: 1e9,
    held: [],
  });
});

void test("peer messages: a user's request and its reply", async () => {
  const request = { method: 'POST', path: ['v2', 'runs', 'j-1', 'withdraw'], body: { by: 'x' } };
  assert.deepEqual(await handler('user', request), {
    status: 202,
    body: { jobId: 'j-1', by: 'x' },
    retryAfterS: 3,
  });
  const poll = { method: 'GET', path: ['v2', 'runs', 'j-1'], body: {} };
  assert.deepEqual(await handler('user', poll), { status: 200, body: {} });
});

void test('peer messages: frames', () => {
  const wire = { id: 3, ask: 'testify', body: { host: 'a' } };
  const request = { requestId: 3, requestType: 'testify', body: { host: 'a' } };
  assert.deepEqual(encodeRequestFrame(request), wire);
  assert.deepEqual(decodeRequestFrame(wire), request);
  assert.equal(decodeRequestFrame({ id: 3, ask: 4, body: {} }), null);
  assert.equal(decodeRequestFrame({ id: 3, ask: 'testify', body: null }), null);
  assert.deepEqual(encodeAnswerFrame(3, { status: 200 }), { id: 3, body: { status: 200 } });
  assert.deepEqual(decodeAnswerFrame({ id: 3, body: { status: 200 } }), {
    requestId: 3,
    body: { status: 200 },
  });
  assert.deepEqual(decodeAnswerFrame({ id: 3 }), { requestId: 3, body: null });
});

const INVALID_REQUESTS: { name: string; requestType: string; body: Body; error: object }[] = [
  {
    name: 'an unknown request type',
    requestType: 'other',
    body: {},
    error: UnknownPeerRequestType,
  },
  {
    name: "a user's request without a path",
    requestType: 'user',
    body: { method: 'GET', body: {} },
    error: MalformedPeerRequest,
  },
  {
    name: "a user's request without a body",
    requestType: 'user',
    body: { method: 'GET', path: [] },
    error: MalformedPeerRequest,
  },
  {
    name: "a user's request to an unknown route",
    requestType: 'user',
    body: { method: 'GET', path: ['v2', 'other'], body: {} },
    error: UnknownRelayedRoute,
  },
];

for (const { name, requestType, body, error } of INVALID_REQUESTS)
  void test(`peer messages: ${name} fails with its own error`, async () => {
    await assert.rejects(handler(requestType, body), error);
  });

interface SentRequest {
  requestType: string;
  body: Body;
}

/** The `Peers` of a controller that has polled its only peer once, with this answer. */
async function peersAfterPoll(answer: Body): Promise<{
  peers: Peers;
  sent: SentRequest[];
  cancelled: string[];
}> {
  const time = new VirtualTime();
  const sent: SentRequest[] = [];
  const cancelled: string[] = [];
  const client: PeerClient = (requestType, body) => {
    sent.push({ requestType, body });
    return Promise.resolve(answer);
  };
  const peers = new Peers(
    { self: 'a', pollMs: 100, timeoutMs: 50, maxReplicaAgeMs: 1000 },
    {
      clients: new Map([['b', client]]),
      clock: time.clockOf(() => true, 1, 0),
      log: pino({ level: 'silent' }),
      local: { ownHeadRevision: () => 10, lacksCancellation: (jobId) => jobId === 'j-1' },
      onCancelled: (jobIds) => cancelled.push(...jobIds),
    },
  );
  void peers.run();
  await time.runUntil(50);
  peers.stop();
  return { peers, sent, cancelled };
}

void test('peers: an acknowledgement takes effect', async () => {
  const { peers, sent, cancelled } = await peersAfterPoll(WIRE_ACKNOWLEDGEMENT);
  assert.deepEqual(sent, [{ requestType: 'testify', body: { host: 'a', head: 10 } }]);
  assert.deepEqual(cancelled, ['j-1']);
  assert.equal(peers.isCancelled('j-1'), true);
  assert.equal(peers.hasLeftDomain('i-1'), true);
  assert.equal(peers.hasLeftDomain('i-2'), false);
  assert.deepEqual([...peers.cordonedMachines()], ['i-2']);
  assert.equal(peers.acknowledgedUntil(-5), 0, 'as of the time of the request');
});

void test('peers: a peer that has not read the store yet does not extend the acknowledged time', async () => {
  const { peers } = await peersAfterPoll({ ...WIRE_ACKNOWLEDGEMENT, lost: null });
  assert.equal(peers.acknowledgedUntil(-5), -5);
  assert.equal(peers.isCancelled('j-1'), true, 'its cancellations count nevertheless');
});

void test('peers: an answer that cannot be decoded is ignored', async () => {
  const { held, ...incomplete } = WIRE_ACKNOWLEDGEMENT;
  const { peers, cancelled } = await peersAfterPoll({ ...incomplete, cordoned: held });
  assert.deepEqual(cancelled, []);
  assert.equal(peers.acknowledgedUntil(-5), -5);
  assert.deepEqual([...peers.cordonedMachines()], []);
});

void test("peers: a user's request goes to a peer whose replica is fresh", async () => {
  const { peers, sent } = await peersAfterPoll(WIRE_ACKNOWLEDGEMENT);
  assert.equal(await peers.relayUserRequest('GET', ['v2', 'runs', 'j-1'], { by: 'x' }, 20), null);
  assert.deepEqual(sent.at(-1), {
    requestType: 'user',
    body: { method: 'GET', path: ['v2', 'runs', 'j-1'], body: { by: 'x' } },
  });
});
