/* eslint-disable */
// CBOR over HTTP/1.1 for the stand-ins: a server and a client.
import http from 'node:http';
import { Decoder, Encoder } from 'cbor-x';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Integers of more than 32 bits are decoded as BigInt; all of them here are below 2^53. */
function plain(value) {
  if (typeof value === 'bigint') return Number(value);
  if (typeof value !== 'object' || value === null) return value;
  for (const key of Object.keys(value)) value[key] = plain(value[key]);
  return value;
}

export const encode = (value) => encoder.encode(value);
export const decode = (bytes) => (bytes.length === 0 ? {} : plain(decoder.decode(bytes)));

/** Serves `handle({method, path, body, bytes})`. A result of null means: never answered. */
export async function serve(handle, port = 0) {
  const sockets = new Set();
  const server = http.createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    const chunks = [];
    request.on('error', () => undefined);
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', async () => {
      const bytes = Buffer.concat(chunks);
      let body;
      try {
        body = decode(bytes);
      } catch {
        response.writeHead(400, { 'content-length': 0 });
        response.end();
        return;
      }
      const call = { method: request.method, path: request.url, body, bytes };
      const answer = await handle(call);
      if (answer === null || response.destroyed) return;
      const payload = encode(answer.body ?? {});
      const headers = { 'content-type': 'application/cbor', 'content-length': payload.length };
      response.writeHead(answer.status, headers);
      response.end(payload);
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** A client that keeps connections open. Rejects if there is no answer in time. */
export class Client {
  constructor(maxSockets = 4) {
    this.agent = new http.Agent({ keepAlive: true, maxSockets });
  }

  call(address, { method = 'GET', path, body, timeoutMs = 2000 }) {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? null : encode(body);
      const headers = payload
        ? { 'content-type': 'application/cbor', 'content-length': payload.length }
        : {};
      const request = http.request(
        { host, port, method, path, agent: this.agent, headers },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', fail);
          response.on('end', () => {
            clearTimeout(timer);
            try {
              resolve({ status: response.statusCode, body: decode(Buffer.concat(chunks)) });
            } catch (error) {
              reject(error);
            }
          });
        },
      );
      const fail = (error) => {
        clearTimeout(timer);
        request.destroy();
        reject(error);
      };
      const timer = setTimeout(() => fail(new Error('no answer in time')), timeoutMs);
      request.on('error', fail);
      request.end(payload ?? undefined);
    });
  }

  close() {
    this.agent.destroy();
  }
}
