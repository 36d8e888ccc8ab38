/** The codec of message bodies. A body is a CBOR map; anything else is refused. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeSubmission } from '../src/protocol/users.js';
import { decodeHeartbeat } from '../src/protocol/workers.js';
import { decodeMap, encode } from '../src/wire/codec.js';
import { SeededRandom } from './fakes/time.js';

/** Values that encoding and decoding must not change. */
const ROUND_TRIPS = [
  { epoch: 4_294_967_296, stamp: Number.MAX_SAFE_INTEGER, small: 7 },
  { text: 'ä', list: [1, 2.5, null, true], map: { a: {} } },
];
for (const value of ROUND_TRIPS)
  void test(`codec: ${JSON.stringify(value)} is unchanged by encoding and decoding`, () => {
    assert.deepEqual(decodeMap(encode(value)), value);
  });

void test('codec: a whole number above 32 bits is encoded as an integer', () => {
  // Major type 0 with eight bytes, not a float.
  assert.equal(encode({ a: 4_294_967_296 }).at(-9), 0x1b);
});

const BAD_BODIES: [string, Buffer][] = [
  ['nothing', Buffer.alloc(0)],
  ['not CBOR', Buffer.from('hello there')],
  ['a list', encode([1])],
  ['a number', encode(5)],
  ['cut off', encode({ a: 'long enough to cut' }).subarray(0, 6)],
  ['a byte string as a value', Buffer.from([0xa1, 0x61, 0x61, 0x42, 1, 2])],
  ['nested too deep', encode(deep(40))],
];
function deep(levels: number): object {
  return levels === 0 ? {} : { a: deep(levels - 1) };
}
for (const [name, bytes] of BAD_BODIES)
  void test(`codec: ${name} is refused`, () => {
    assert.equal(decodeMap(bytes), null);
  });

void test('codec: decoding random bytes never throws', () => {
  const random = new SeededRandom(7);
  for (let round = 0; round < 3000; round++) {
    const bytes = Buffer.from(Array.from({ length: random.int(0, 40) }, () => random.int(0, 255)));
    const value = decodeMap(bytes);
    if (value) {
      decodeHeartbeat(value);
      decodeSubmission(value);
    }
  }
});
