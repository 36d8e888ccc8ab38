import assert from 'node:assert/strict';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import type { Server } from 'node:http';
import { parseOperator } from '../src/config/operator.js';
import { ConfigError } from '../src/config/config-error.js';
import { parseSettings } from '../src/config/settings.js';
import { decodeSubmission, isJobId } from '../src/protocol/users.js';
import { decodeMap, encode } from '../src/wire/codec.js';
import { httpCaller, NotSent } from '../src/wire/client.js';
import { divideSockets, WorkerConnections } from '../src/wire/worker-connections.js';
import { makeServer } from '../src/wire/server.js';
import { decodeHeartbeat } from '../src/protocol/workers.js';
import { JOB, WIRE_JOB } from './fakes/world.js';
import { SeededRandom } from './fakes/time.js';

const ROUND = [
  { epoch: 4_294_967_296, stamp: Number.MAX_SAFE_INTEGER, small: 7 },
  { text: 'ä', list: [1, 2.5, null, true], map: { a: {} } },
];
for (const value of ROUND)
  void test(`codec: ${JSON.stringify(value)} comes back as it was`, () => {
    assert.deepEqual(decodeMap(encode(value)), value);
  });

void test('codec: a whole number above 32 bits leaves as an integer', () => {
  // Major type 0 with eight bytes, not a float.
  assert.equal(encode({ a: 4_294_967_296 }).at(-9), 0x1b);
});

const BAD_BODIES: [string, Buffer][] = [
  ['nothing', Buffer.alloc(0)],
  ['not CBOR', Buffer.from('hello there')],
  ['a list', encode([1])],
  ['a number', encode(5)],
  ['cut off', encode({ a: 'long enough to cut' }).subarray(0, 6)],
  ['a byte string inside', Buffer.from([0xa1, 0x61, 0x61, 0x42, 1, 2])],
  ['nested too deep', encode(deep(40))],
];
function deep(levels: number): object {
  return levels === 0 ? {} : { a: deep(levels - 1) };
}
for (const [name, bytes] of BAD_BODIES)
  void test(`codec: ${name} is refused`, () => {
    assert.equal(decodeMap(bytes), null);
  });

void test('codec: noise never throws', () => {
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

const GOOD = { uid: 'j-000412', ...WIRE_JOB };
const BAD_FIELDS: [string, unknown][] = [
  ['uid', 'x-1'],
  ['uid', 'j-' + '9'.repeat(200)],
  ['uid', 'j-1 2'],
  ['uid', 5],
  ['tasks', 0],
  ['tasks', 1.5],
  ['tasks', 100_001],
  ['tasks', '3'],
  ['cpus', -1],
  ['cpus', Number.NaN],
  ['cpus', Number.POSITIVE_INFINITY],
  ['memory_gb', undefined],
  ['image', ''],
  ['image', 'x'.repeat(500)],
  ['shape', 'ring'],
  ['rank', null],
  ['flavors', 'plain'],
  ['flavors', [1]],
  ['one_zone', 'yes'],
  ['due_s', -3],
];
void test('submission: a good one passes, with unknown fields left out', () => {
  const got = decodeSubmission({ ...GOOD, more: 1 });
  assert.ok('spec' in got);
  assert.deepEqual(got.spec, JOB);
});
for (const [field, value] of BAD_FIELDS)
  void test(`submission: ${field} = ${String(value).slice(0, 20)} is refused`, () => {
    const body = { ...GOOD, [field]: value };
    assert.ok(!isJobId(body.uid) || 'fault' in decodeSubmission(body));
  });

const TOML = `
host_name = "a"
zone = "x"
serve_on = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
new_field = 3
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
size = 1
zones = ["x"]
[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 20.0
gang_peer_s = 4.0
cancel_s = 30.0
[settings.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 5.0
list_lag_s = 8.0
[settings.quota]
cpu_share = 0.2
memory_mb = 100.0
max_sockets = 500
`;
void test('settings: unknown fields are ignored', () => {
  assert.equal(parseSettings(TOML).controller, 'a');
});
void test('settings: objectives of unknown kinds, or made up otherwise, are left out', () => {
  const aims = [
    'kind = "deadline"\nclass = "k"\nshare = 0.9\ntimes = 1.5',
    'kind = "mood"\nshare = "good"',
    'kind = "wait"\nwithin_s = "soon"',
    'colour = "red"',
  ];
  const text = aims.map((aim) => `[[settings.objectives]]\n${aim}\n`).join('');
  const { serviceLevelObjectives } = parseSettings(TOML + text);
  assert.deepEqual(serviceLevelObjectives, [
    { kind: 'deadline', jobClass: 'k', share: 0.9, deadlineMultiple: 1.5 },
  ]);
});
void test('settings: noise in a file is a fault with its line, never another error', () => {
  const random = new SeededRandom(11);
  const lines = TOML.split('\n');
  for (let round = 0; round < 400; round++) {
    const noisy = [...lines];
    const at = random.int(0, lines.length - 1);
    const line = lines[at] ?? '';
    const cut = random.int(0, line.length);
    noisy[at] = line.slice(0, cut) + String.fromCharCode(random.int(1, 255)) + line.slice(cut + 1);
    try {
      parseSettings(noisy.join('\n'));
    } catch (error) {
      assert.ok(error instanceof ConfigError && error.message.startsWith('settings: '), line);
    }
  }
});
const BAD_TOML: [string, string, string][] = [
  ['lease_s = 10.0', 'lease_s = 50.0', 'cancel_s'],
  ['lease_s = 10.0', 'lease_s = "x"', 'lease_s'],
  ['size = 1', 'size = 0', 'size'],
  ['serve_on = "127.0.0.1:1"', 'serve_on = "here"', 'serve_on'],
  ['host_name = "a"', '', 'host_name'],
  ['zone = "x"', 'zone = ', 'settings'],
  ['size = 1', 'size = 10', 'settings.state.txn_ops'],
  ['value_kb = 4.0', 'value_kb = 0.001', 'settings.state.value_kb'],
  ['memory_mb = 100.0', 'memory_mb = 20.0', 'settings.quota.memory_mb'],
  ['memory_mb = 100.0', 'memory_mb = nan', 'settings.quota.memory_mb'],
  ['cpu_share = 0.2', 'cpu_share = 0.0', 'settings.quota.cpu_share'],
  ['cpu_share = 0.2', 'cpu_share = -1.0', 'settings.quota.cpu_share'],
  ['max_sockets = 500', 'max_sockets = 3', 'settings.quota.max_sockets'],
];
for (const [from, to, named] of BAD_TOML)
  void test(`settings: ${to || `no ${from}`} is refused by name`, () => {
    assert.throws(
      () => parseSettings(TOML.replace(from, to)),
      (error) => error instanceof ConfigError && error.message.includes(named),
    );
  });
const INIS: [string, string | null][] = [
  ['', null],
  ['[failover]\nmissed_renewals = 4\n[fleet]\nrent = false', null],
  ['[failover]\nmissed_renewals = 0', 'failover.missed_renewals'],
  ['[fleet]\nrent = maybe', 'fleet.rent'],
  ['[fleet]\ncolour = red', 'fleet.colour'],
  ['stray = 1', 'stray'],
];
for (const [source, named] of INIS)
  void test(`operator: ${JSON.stringify(source)}`, () => {
    if (named === null) parseOperator(source);
    else
      assert.throws(
        () => parseOperator(source),
        (error) => error instanceof ConfigError && error.message.includes(named),
      );
  });

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

const raw = (text: string, close = true): Promise<string> =>
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
    assert.match(await raw(text, close), new RegExp(` ${want} `));
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
  for (let at = 0; at < 4; at++) {
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
    const { outbound: out, inbound: inbound, keptFromWorkers: fromWorkers } = divideSockets(max);
    assert.ok(out >= 1 && fromWorkers >= 1 && inbound > fromWorkers);
    assert.ok(out + inbound <= max * 0.96);
  });

void test('links: one a server and so many in all; the idle one longest unused makes room', async () => {
  const connections = (): Promise<number> =>
    new Promise((resolve) => {
      server.getConnections((_, count) => {
        resolve(count);
      });
    });
  const before = await connections();
  const links = new WorkerConnections(2);
  const call = { method: 'GET', path: '/v2/runs/j-1', timeoutMs: 2000 } as const;
  // Three names of one server.
  const to = ['127.0.0.1', '127.0.0.2', '127.0.0.3'].map((host) =>
    links.callerFor(`${host}:${String(port)}`),
  );
  for (const caller of [...to, ...to]) await caller(call);
  assert.ok((await connections()) - before <= 2 + 1, 'one may be closing');
  const [one, two, three] = to;
  const busy = [one?.(call), two?.(call)];
  await assert.rejects(async () => three?.(call), NotSent);
  await Promise.all(busy);
});
