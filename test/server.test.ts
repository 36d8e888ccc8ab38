/** The server, its client, and how connections share the sockets. */
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
    { maxSockets: 50, maxLongLived: 2, requestMs: 400, onError: () => undefined },
  );
  await new Promise<void>((resolve) => server.listen(0, '0.0.0.0', resolve));
  port = (server.address() as AddressInfo).port;
});
after(() => {
  server.closeAllConnections();
  server.close();
});

/** Sends a text as it is; the first line that comes back. */
const firstLineFor = (text: string, close = true): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let got = '';
    socket.on('data', (chunk) => (got += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(got.split('\r\n', 1)[0] ?? '');
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
for (const [name, text, close, want] of REQUESTS)
  void test(`server: ${name} gets ${want}`, async () => {
    assert.match(await firstLineFor(text, close), new RegExp(` ${want} `));
  });

void test('server and client understand each other', async () => {
  const call = httpCaller(`127.0.0.1:${String(port)}`, 2);
  const got = await call({ method: 'GET', path: '/v2/runs/j-1', timeoutMs: 2000 });
  assert.deepEqual(got, { status: 200, body: { uid: 'j-1' } });
});

// Hundreds of workers keep a connection each: users and health checks must not be pushed out by them.
void test('server: workers beyond their part of the sockets are served, and not kept', async () => {
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
  void test(`sockets: ${String(max)} are divided so that all kinds have theirs`, () => {
    const { outbound, inbound, keptFromWorkers } = divideSockets(max);
    assert.ok(outbound >= 1 && keptFromWorkers >= 1 && inbound > keptFromWorkers);
    assert.ok(outbound + inbound <= max * 0.96);
  });

void test('links: one a server and so many in all; the idle one longest unused makes room', async () => {
  const connections = (): Promise<number> =>
    new Promise((resolve) => {
      server.getConnections((_, count) => {
        resolve(count);
      });
    });
  const before = await connections();
  const pool = new WorkerConnections(2);
  const call = { method: 'GET', path: '/v2/runs/j-1', timeoutMs: 2000 } as const;
  // Three names of one server.
  const callers = ['127.0.0.1', '127.0.0.2', '127.0.0.3'].map((host) =>
    pool.callerFor(`${host}:${String(port)}`),
  );
  for (const caller of [...callers, ...callers]) await caller(call);
  assert.ok((await connections()) - before <= 2 + 1, 'one may be closing');
  const busy = callers.slice(0, 2).map((caller) => caller(call));
  await assert.rejects(async () => callers[2]?.(call), NotSent);
  await Promise.all(busy);
});
