/** Parsing of request heads and responses, received at once or in pieces. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { parseRequestHead } from '../src/wire/request-head.js';
import {
  MalformedResponse,
  ResponseReader,
  ResponseTooLarge,
  TruncatedResponse,
} from '../src/wire/response-reader.js';
import { SeededRandom } from './fakes/time.js';

const HEADS: [string, string, object | null][] = [
  [
    'a GET',
    'GET /up HTTP/1.1\r\nhost: a',
    { method: 'GET', url: '/up', bodyBytes: 0, close: false },
  ],
  [
    'a POST that closes',
    'POST /checkin HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\nConnection: Close',
    { method: 'POST', url: '/checkin', bodyBytes: 12, close: true },
  ],
  ['no host', 'GET /up HTTP/1.1\r\naccept: */*', null],
  ['another method', 'PUT /up HTTP/1.1\r\nhost: a', null],
  ['HTTP/1.0', 'GET /up HTTP/1.0\r\nhost: a', null],
  ['an absolute URL', 'GET http://a/up HTTP/1.1\r\nhost: a', null],
  [
    'two content-length headers',
    'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1',
    null,
  ],
  ['a signed content length', 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: +1', null],
  ['chunked transfer encoding', 'POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked', null],
  ['an expect header', 'POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue', null],
  ['an upgrade', 'GET /up HTTP/1.1\r\nhost: a\r\nconnection: upgrade', null],
  ['a folded line', 'GET /up HTTP/1.1\r\nhost: a\r\n b', null],
  ['a bare line feed', 'GET /up HTTP/1.1\r\nhost: a\nx: b', null],
  ['a space before the colon', 'GET /up HTTP/1.1\r\nhost : a', null],
];
for (const [name, text, want] of HEADS)
  void test(`request head: ${name}`, () => {
    assert.deepEqual(parseRequestHead(text), want);
  });

const OK = 'HTTP/1.1 200 OK\r\n';
const RESPONSES: [string, string, { status: number; body: string; reusable: boolean } | null][] = [
  [
    'a content length',
    `${OK}content-length: 3\r\n\r\nabc`,
    { status: 200, body: 'abc', reusable: true },
  ],
  ['no body', 'HTTP/1.1 204 No Content\r\n\r\n', { status: 204, body: '', reusable: true }],
  [
    'a connection: close header',
    `${OK}Connection: close\r\nContent-Length: 1\r\n\r\na`,
    { status: 200, body: 'a', reusable: false },
  ],
  [
    'HTTP/1.0',
    'HTTP/1.0 200 OK\r\ncontent-length: 1\r\n\r\na',
    { status: 200, body: 'a', reusable: false },
  ],
  [
    'chunks and a trailer',
    `${OK}Transfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nt: 1\r\n\r\n`,
    { status: 200, body: 'abc0123456789', reusable: true },
  ],
  [
    'an interim response',
    `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${OK}content-length: 2\r\n\r\nok`,
    { status: 200, body: 'ok', reusable: true },
  ],
  [
    'a body that lasts until the connection closes',
    `${OK}\r\nabc`,
    { status: 200, body: 'abc', reusable: false },
  ],
  ['a body cut off', `${OK}content-length: 9\r\n\r\nabc`, null],
  ['a chunk cut off', `${OK}transfer-encoding: chunked\r\n\r\n5\r\nab`, null],
];
for (const [name, text, want] of RESPONSES)
  void test(`response: ${name}, split at random positions`, () => {
    const random = new SeededRandom(3);
    for (let round = 0; round < 50; round++) {
      const reader = new ResponseReader();
      let got = null;
      for (let start = 0; start < text.length;) {
        const end = round === 0 ? text.length : start + random.int(1, 20);
        got = reader.push(Buffer.from(text.slice(start, end))) ?? got;
        start = end;
      }
      if (want === null) {
        assert.throws(() => reader.end(), TruncatedResponse);
        continue;
      }
      got ??= reader.end();
      assert.deepEqual({ ...got, body: got.body.toString() }, want);
    }
  });

const MALFORMED = [
  'who are you\r\n\r\n',
  `${OK}transfer-encoding: chunked\r\n\r\nxyz\r\n`,
  `${OK}${'a'.repeat(20_000)}`,
];
for (const text of MALFORMED)
  void test(`response: ${JSON.stringify(text.slice(0, 60))} is refused`, () => {
    assert.throws(() => new ResponseReader().push(Buffer.from(text)), MalformedResponse);
  });

const LARGE_BODY = 'x'.repeat(32_000);
const LARGE: [string, string][] = [
  ['a content length', `${OK}content-length: 32000\r\n\r\n${LARGE_BODY}`],
  ['chunks', `${OK}transfer-encoding: chunked\r\n\r\n7d00\r\n${LARGE_BODY}\r\n0\r\n\r\n`],
];
for (const [name, text] of LARGE)
  void test(`response: ${name}: a body over the limit of the reader is reported as too large`, () => {
    const bytes = Buffer.from(text);
    assert.equal(new ResponseReader(64_000).push(bytes)?.body.length, LARGE_BODY.length);
    assert.throws(() => new ResponseReader(1000).push(bytes), ResponseTooLarge);
  });

// When each piece made the reader parse the body from its beginning, a body of 16 MB caused 2 GB of copies.
void test('response: the bytes copied for chunks grow linearly with the number of chunks, not quadratically', () => {
  const chunk = Buffer.from(`400\r\n${'x'.repeat(1024)}\r\n`);
  const read = (chunks: number): number => {
    const reader = new ResponseReader();
    reader.push(Buffer.from(`${OK}transfer-encoding: chunked\r\n\r\n`));
    let copied = 0;
    const concat = Buffer.concat.bind(Buffer);
    const watched = mock.method(Buffer, 'concat', (list: readonly Uint8Array[]) => {
      const all = concat(list);
      copied += all.length;
      return all;
    });
    try {
      for (let count = 0; count < chunks; count++) assert.equal(reader.push(chunk), null);
    } finally {
      watched.mock.restore();
    }
    assert.equal(reader.push(Buffer.from('0\r\n\r\n'))?.body.length, chunks * 1024);
    return copied;
  };
  assert.ok(read(2000) <= read(200) * 10 + 2000);
});
