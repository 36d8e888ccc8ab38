/** What one controller can tell another at once. */
import assert from 'node:assert/strict';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { connectPeer } from '../src/mesh/peer-connection.js';
import { meshServer } from '../src/mesh/server.js';
import { NoAnswer } from '../src/wire/client.js';

/** Machines that a peer holds back and has seen leave a domain, by the longest names in use. */
const CASES: { machines: number; isTold: boolean }[] = [
  { machines: 4000, isTold: true },
  { machines: 20_000, isTold: true },
  { machines: 40_000, isTold: false },
];

for (const { machines, isTold } of CASES)
  void test(`peers: ${String(machines)} machines by name are ${isTold ? 'told at once' : 'too many for one answer'}`, async () => {
    const names = Array.from({ length: machines }, (_, at) => String(at).padStart(64, 'm'));
    const lost = Object.fromEntries(names.map((name, at) => [name, 1e6 + at]));
    const server = meshServer(
      () => Promise.resolve({ held: names, lost }),
      4,
      () => undefined,
    );
    const sockets = new Set<Socket>();
    server.on('connection', (socket) => sockets.add(socket));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const ask = connectPeer(`127.0.0.1:${String((server.address() as AddressInfo).port)}`);
    try {
      const answer = ask('testify', {}, 20_000);
      if (isTold) assert.deepEqual(await answer, { held: names, lost });
      else await assert.rejects(answer, NoAnswer);
    } finally {
      server.close();
      for (const socket of sockets) socket.destroy();
    }
  });
