/* eslint-disable */
// HTTP/1.1 with CBOR bodies: a small server and a small client, for the stand-ins of these cases.
import http from 'node:http';
import net from 'node:net';
import { Decoder, Encoder } from 'cbor-x';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

export const encode = (value) => encoder.encode(wide(value));

/** The encoder would write integers of more than 32 bits as floats. */
function wide(value) {
  if (typeof value === 'number')
    return Number.isSafeInteger(value) && Math.abs(value) > 0xffffffff ? BigInt(value) : value;
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return value.map(wide);
  return Object.fromEntries(Object.entries(value).map(([key, entry]) => [key, wide(entry)]));
}
export const decode = (bytes) => (bytes.length === 0 ? {} : plain(decoder.decode(bytes)));

/** Integers of more than 32 bits arrive as BigInt; all that the stand-ins meet are safe integers. */
function plain(value) {
  if (typeof value === 'bigint') return Number(value);
  if (typeof value !== 'object' || value === null) return value;
  for (const key of Object.keys(value)) value[key] = plain(value[key]);
  return value;
}

/** Serves `handle({method, path, query, body})`, which returns `{status, body}`, `null` for no answer, or a promise. */
export function serve(handle, port = 0, host = '127.0.0.1') {
  const server = http.createServer((request, response) => {
    const pieces = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', (piece) => pieces.push(piece));
    request.on('end', async () => {
      const url = new URL(request.url, 'http://stand-in');
      let body;
      try {
        body = decode(Buffer.concat(pieces));
      } catch {
        body = null;
      }
      let answer;
      try {
        answer =
          body === null
            ? { status: 400, body: {} }
            : await handle({
                method: request.method,
                path: url.pathname,
                query: url.searchParams,
                body,
              });
      } catch (error) {
        console.error(error);
        answer = { status: 500, body: {} };
      }
      if (answer === null || response.destroyed) return;
      const bytes = encode(answer.body);
      response.writeHead(answer.status, {
        'content-type': 'application/cbor',
        'content-length': bytes.length,
      });
      response.end(bytes);
    });
  });
  server.keepAliveTimeout = 600_000;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  server.on('clientError', (_, socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

export const portOf = (server) => server.address().port;

/** A client with persistent connections. `call` rejects if there is no answer in time. */
export class Client {
  constructor(maxSockets = 8) {
    this.agent = new http.Agent({ keepAlive: true, maxSockets });
  }

  call(address, method, path, body, timeoutMs) {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      const bytes = body === undefined ? null : encode(body);
      const headers = bytes
        ? { 'content-type': 'application/cbor', 'content-length': bytes.length }
        : {};
      const request = http.request(
        { host, port: Number(port), method, path, headers, agent: this.agent },
        (response) => {
          const pieces = [];
          response.on('data', (piece) => pieces.push(piece));
          response.on('error', fail);
          response.on('end', () => {
            clearTimeout(timer);
            try {
              resolve({ status: response.statusCode, body: decode(Buffer.concat(pieces)) });
            } catch (error) {
              reject(error);
            }
          });
        },
      );
      const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
      function fail(error) {
        clearTimeout(timer);
        reject(error);
      }
      request.on('error', fail);
      request.end(bytes ?? undefined);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/** Ports that were free a moment ago, below those that the system gives to outgoing connections. */
export async function freePorts(count) {
  const ports = new Set();
  for (let tries = 0; ports.size < count && tries < 1000; tries++) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    if (!ports.has(port) && (await isFree(port))) ports.add(port);
  }
  return [...ports];
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
