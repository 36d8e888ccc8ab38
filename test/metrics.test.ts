/** The internal address serves both peers and readers of the metrics on one port. */
import assert from 'node:assert/strict';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { connectPeer } from '../src/mesh/peer-connection.js';
import { meshServer } from '../src/mesh/server.js';
import { metricsHandler } from '../src/mesh/metrics-endpoint.js';
import { Metrics } from '../src/metrics.js';

const metrics = new Metrics();
metrics.setGaugeValues({
  incarnation: () => 3,
  fencingToken: () => 17,
  leaseSeconds: () => 0.5,
  revision: () => 420,
  replicaAgeSeconds: () => 0.25,
  machines: () => 2,
  quota: () => [{ team: 'red', kind: 'cpus', part: 8, used: 6 }],
});
metrics.commits.inc('work: done');
metrics.commits.inc('work: done');

async function withServer(run: (port: number) => Promise<void>): Promise<void> {
  const server = meshServer(
    (ask, body) => Promise.resolve({ ask, ...body }),
    10,
    metricsHandler(metrics),
  );
  const sockets = new Set<Socket>();
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    await run((server.address() as AddressInfo).port);
  } finally {
    server.close();
    // Open keep-alive connections would keep the test process from exiting.
    for (const socket of sockets) socket.destroy();
  }
}

void test('metrics: served as Prometheus text on the internal address', () =>
  withServer(async (port) => {
    const headers = { connection: 'close' };
    const answer = await fetch(`http://127.0.0.1:${String(port)}/metrics`, { headers });
    const text = await answer.text();
    assert.equal(answer.status, 200);
    for (const line of [
      'tackvane_incarnation 3',
      'tackvane_term 17',
      'tackvane_replica_generation 420',
      'tackvane_quota_part{team="red",kind="cpus"} 8',
      'tackvane_quota_used{team="red",kind="cpus"} 6',
      'tackvane_commits_total{outcome="work: done"} 2',
    ])
      assert.ok(text.split('\n').includes(line), line);
    const other = await fetch(`http://127.0.0.1:${String(port)}/other`, { headers });
    assert.equal(other.status, 404);
  }));

void test('metrics: peers are served on the same address, also if a frame arrives in pieces', () =>
  withServer(async (port) => {
    const client = connectPeer(`127.0.0.1:${String(port)}`);
    assert.deepEqual(await client('testify', { host: 'a' }, 2000), { ask: 'testify', host: 'a' });
    const socket = connect(port, '127.0.0.1');
    socket.write(Buffer.from([0]));
    await new Promise((resolve) => setTimeout(resolve, 50));
    socket.write(Buffer.from([0, 0, 1, 0xff]));
    await new Promise<void>((resolve) => socket.once('close', resolve));
  }));
