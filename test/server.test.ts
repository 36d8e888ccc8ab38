/** The HTTP server, its client, and the division of a process's sockets among kinds of connections. */
import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { httpCaller, NotSent } from '../src/wire/client.js';
import { makeServer } from '../src/wire/server.js';
import { divideSockets, WorkerConnections } from '../src/wire/worker-connections.js';

let server: Server;
let port = 0;
before(async () => {
  server = makeServer(
    [
      { method: 'POST', path: ['v2', 'runs'], handle: (_, body) => ({ status: 201, body }) },
      {
        method: 'POST',
        path: ['checkin'],
        isLongLived: true,
        handle: () => ({ status: 200, body: {} }),
      },
      {
        method: 'GET',
        path: ['v2', 'runs', '*'],
        handle: ([uid]) => ({ status: 200, body: { uid } }),
      },
    ],
    { maxSockets: 50, maxLongLived: 2, requestTimeoutMs: 400, onError: () => undefined },
  );
  await new Promise<void>((resolve) => server.listen(0, '0.0.0.0', resolve));
  port = (server.address() as AddressInfo).port;
});
after(() => {
  server.closeAllConnections();
  server.close();
});

/** Sends raw text and returns the first line of the response. `close` ends the sending side after the text. */
const firstResponseLine = (text: string, close = true): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => (received += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(received.split('\r\n', 1)[0] ?? '');
    });
    socket.write(text);
    if (close) socket.end();
  });

const post = (body: string, length = body.length): string =>
  `POST /v2/runs HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: ${String(length)}\r\n\r\n${body}`;

const REQUESTS: [string, string, boolean, string][] = [
  ['a body that is not CBOR', post('hello'), true, '400'],
  ['a body over 64 KiB', post('x'.repeat(70_000)), true, '413'],
  ['an unknown path', 'GET /nowhere HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', true, '404'],
  ['a bad escape', 'GET /v2/%zz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', true, '404'],
  ['a wrong method', 'PUT /v2/runs HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', true, '405'],
  ['no HTTP at all', 'who are you\r\n\r\n', true, '400'],
  ['a request that never ends', 'POST /v2/runs HTTP/1.1\r\nhost: a\r\n', false, '408'],
  ['a body that never ends', post('x', 5), false, '408'],
];
for (const [name, text, close, expectedStatus] of REQUESTS)
  void test(`server: ${name} gets ${expectedStatus}`, async () => {
    assert.match(await firstResponseLine(text, close), new RegExp(` ${expectedStatus} `));
  });

void test('server and client: a request and its answer pass through both', async () => {
  const call = httpCaller(`127.0.0.1:${String(port)}`, 2);
  const got = await call({ method: 'GET', path: '/v2/runs/j-1', timeoutMs: 2000 });
  assert.deepEqual(got, { status: 200, body: { uid: 'j-1' } });
});

// Each worker keeps a connection open, and there are hundreds of workers. Without a limit for them, users and health
// checks would find no free socket.
void test('server: workers beyond their share of the sockets get an answer, and their connection is closed', async () => {
  const open: Socket[] = [];
  const answers: string[] = [];
  for (let index = 0; index < 4; index++) {
    const socket = connect(port, '127.0.0.1');
    open.push(socket);
    const text = 'POST /checkin HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n';
    answers.push(
      await new Promise<string>((resolve) => {
        socket.once('data', (chunk) => {
          resolve(chunk.toString('latin1').toLowerCase());
        });
        socket.write(text);
      }),
    );
  }
  assert.deepEqual(
    answers.map((text) => text.startsWith('http/1.1 200')),
    [true, true, true, true],
  );
  assert.deepEqual(
    answers.map((text) => text.includes('connection: close')),
    [false, false, true, true],
  );
  for (const socket of open) socket.destroy();
});

for (const max of [16, 700, 1200, 1792, 2374])
  void test(`sockets: ${String(max)} are divided so that every kind of connection gets some`, () => {
    const { outbound, inbound, inboundLongLived } = divideSockets(max);
    assert.ok(outbound >= 1 && inboundLongLived >= 1 && inbound > inboundLongLived);
    assert.ok(outbound + inbound <= max * 0.96);
  });

void test('worker connections: one per server, a limited total, and the one idle for longest is closed for another', async () => {
  const connections = (): Promise<number> =>
    new Promise((resolve) => {
      server.getConnections((_, count) => {
        resolve(count);
      });
    });
  const before = await connections();
  const pool = new WorkerConnections(2);
  const call = { method: 'GET', path: '/v2/runs/j-1', timeoutMs: 2000 } as const;
  // Three addresses of the same server.
  const callers = ['127.0.0.1', '127.0.0.2', '127.0.0.3'].map((host) =>
    pool.callerFor(`${host}:${String(port)}`),
  );
  for (const caller of [...callers, ...callers]) await caller(call);
  assert.ok((await connections()) - before <= 2 + 1, 'one connection may still be closing');
  const busy = callers.slice(0, 2).map((caller) => caller(call));
  await assert.rejects(async () => callers[2]?.(call), NotSent);
  await Promise.all(busy);
});
