/** Serves a fake over HTTP with CBOR bodies, as its protocol specifies. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { decodeMap, encode } from '../../src/wire/codec.js';
import type { Answer, Call } from '../../src/wire/client.js';

export async function serveFake(
  address: { host: string; port: number },
  handle: (call: Call) => Promise<Answer> | Answer,
): Promise<Server> {
  const server = createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    void readBody(request).then(async (bytes) => {
      const body = bytes.length > 0 ? decodeMap(bytes) : null;
      const call: Call = {
        method: request.method as Call['method'],
        path: request.url ?? '/',
        timeoutMs: 0,
        ...(body ? { body } : {}),
      };
      const answer = await handle(call);
      if (response.destroyed) return;
      const payload = encode(answer.body);
      response.writeHead(answer.status, {
        'content-type': 'application/cbor',
        'content-length': payload.length,
      });
      response.end(payload);
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });
  return server;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
