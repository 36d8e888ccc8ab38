/** How much one controller can send another in a single answer. */
import assert from 'node:assert/strict';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { connectPeer } from '../src/mesh/peer-connection.js';
import { meshServer } from '../src/mesh/server.js';
import { NoAnswer } from '../src/wire/client.js';

/** Number of machines that a peer has cordoned and has seen leave its domain, with the longest names in use. */
const CASES: { machines: number; fitsInOneAnswer: boolean }[] = [
  { machines: 4000, fitsInOneAnswer: true },
  { machines: 20_000, fitsInOneAnswer: true },
  { machines: 40_000, fitsInOneAnswer: false },
];

for (const { machines, fitsInOneAnswer } of CASES)
  void test(`peers: ${String(machines)} machine names ${fitsInOneAnswer ? 'fit into one answer' : 'are too many for one answer'}`, async () => {
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
    const client = connectPeer(`127.0.0.1:${String((server.address() as AddressInfo).port)}`);
    try {
      const answer = client('testify', {}, 20_000);
      if (fitsInOneAnswer) assert.deepEqual(await answer, { held: names, lost });
      else await assert.rejects(answer, NoAnswer);
    } finally {
      server.close();
      for (const socket of sockets) socket.destroy();
    }
  });
