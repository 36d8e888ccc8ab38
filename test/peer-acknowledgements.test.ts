/** Requests and answers of peers of an earlier version are decoded, and malformed acknowledgements are rejected. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodeAcknowledgement,
  decodeAcknowledgementRequest,
  decodeRelayedReply,
  decodeRelayedRequest,
  encodeAcknowledgement,
  encodeAcknowledgementRequest,
  encodeRelayedReply,
  encodeRelayedRequest,
} from '../src/protocol/peers.js';
import type { Answer, Call } from '../src/wire/client.js';
import type { Body } from '../src/wire/codec.js';
import { requestAndWait } from './fakes/user-requests.js';
import { readMessages, type AcknowledgementCase } from './fakes/recorded-messages.js';
import { World } from './fakes/world.js';

/** At this time the controller has started and has polled its peer. */
const STARTED_MS = 12_000;
/** At this time the controller's replica is so old that it relays users' requests to the peer first. */
const STALE_MS = 17_000;

/**
 * Runs a controller that the state service refuses, with a peer that always answers with the same acknowledgement. Returns
 * how many requests were relayed to the peer, and the status of the user's answer.
 */
async function relayWith({
  body,
}: AcknowledgementCase): Promise<Pick<AcknowledgementCase, 'asked' | 'status'>> {
  const world = new World(4, { hosts: ['a', 'b'] });
  world.kill('b', 1e9);
  let asked = 0;
  world.net.serve('b:2', (call: Call): Answer => {
    if (call.path !== 'user') return { status: 200, body: structuredClone(body) };
    asked++;
    return { status: 200, body: { status: 404, body: { error: 'no such job' } } };
  });
  await world.time.runUntil(STARTED_MS);
  world.store.refusedHosts.add('a');
  await world.time.runUntil(STALE_MS);
  const { status } = await requestAndWait(world, 'a', { method: 'GET', path: '/v2/runs/j-1' });
  world.kill('a', 1e9);
  return { asked, status };
}

for (const [index, one] of readMessages().acknowledgements.entries())
  void test(`acknowledgement ${String(index)}, ${one.note}: ${one.asked > 0 ? 'accepted' : 'rejected'}`, async () => {
    assert.deepEqual(await relayWith(one), { asked: one.asked, status: one.status });
  });

type Codec = (message: Body) => Body | null;

/** Request type -> functions that decode a message and encode the result. */
const CODECS: Readonly<Record<string, { request: Codec; answer: Codec }>> = {
  testify: {
    request: (message) => encodeAcknowledgementRequest(decodeAcknowledgementRequest(message)),
    answer: (message) => {
      const decoded = decodeAcknowledgement(message);
      return decoded && encodeAcknowledgement(decoded);
    },
  },
  user: {
    request: (message) => {
      const decoded = decodeRelayedRequest(message);
      return decoded && encodeRelayedRequest(decoded);
    },
    answer: (message) => {
      const decoded = decodeRelayedReply(message);
      return decoded && encodeRelayedReply(decoded);
    },
  },
};

for (const [requestType, { request, answer }] of Object.entries(CODECS))
  void test(`recorded exchanges of peers: ${requestType}: request and answer keep their value when decoded and encoded`, () => {
    const exchanges = readMessages().exchanges.filter(
      ({ counterpart, path }) => counterpart === 'peers' && path === requestType,
    );
    assert.ok(exchanges.length >= 6);
    for (const exchange of exchanges) {
      assert.deepEqual(request(exchange.request ?? {}), exchange.request);
      assert.deepEqual(answer(exchange.answer), exchange.answer);
    }
  });
