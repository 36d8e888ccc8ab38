/** What a peer of an earlier version asks and answers is understood, and what it could not have meant is not. */
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
import { answerOf } from './fakes/asking.js';
import { readMessages, type AcknowledgementCase } from './fakes/recorded-messages.js';
import { World } from './fakes/world.js';

/** By then the controller has started and asked its peer. */
const BEGUN_MS = 12_000;
/** By then the controller has heard nothing of the state service for long, and the peer is asked first. */
const STALE_MS = 17_000;

/** A controller among a state service that refuses it and a peer that acknowledges the same all the time. */
async function relayedTo({
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
  await world.time.runUntil(BEGUN_MS);
  world.store.refusedHosts.add('a');
  await world.time.runUntil(STALE_MS);
  const { status } = await answerOf(world, 'a', { method: 'GET', path: '/v2/runs/j-1' });
  world.kill('a', 1e9);
  return { asked, status };
}

for (const [index, one] of readMessages().acknowledgements.entries())
  void test(`acknowledgement ${String(index)}, ${one.note}: ${one.asked > 0 ? 'taken' : 'not taken'}`, async () => {
    assert.deepEqual(await relayedTo(one), { asked: one.asked, status: one.status });
  });

type Codec = (message: Body) => Body | null;

/** Question to what decodes and encodes its messages. */
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

for (const [question, { request, answer }] of Object.entries(CODECS))
  void test(`recorded exchanges of peers: ${question}: both messages keep their value`, () => {
    const exchanges = readMessages().exchanges.filter(
      ({ counterpart, path }) => counterpart === 'peers' && path === question,
    );
    assert.ok(exchanges.length >= 6);
    for (const exchange of exchanges) {
      assert.deepEqual(request(exchange.request ?? {}), exchange.request);
      assert.deepEqual(answer(exchange.answer), exchange.answer);
    }
  });
