/** Requests that Node's `http` serves: all that are not plainly ordinary. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { encode } from './codec.js';
import type { LongLivedConnections } from './long-lived-connections.js';
import { handleRequest, routeRequest, type Reply, type Route } from './router.js';

/** What a request's body may hold. */
export const MAX_REQUEST_BYTES = 64 * 1024;

/** A request's body, or why there is none: it is too large, or the connection ended before it did. */
type RequestBody = Buffer | 'too large' | 'truncated';

/** Answers one request. */
export async function serveWithNode(
  routes: readonly Route[],
  longLived: LongLivedConnections,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const match = routeRequest(routes, request.method ?? '', request.url ?? '');
  if ('status' in match) {
    reply(request, response, match);
    return;
  }
  const body = await readBody(request);
  if (body === 'truncated') return;
  if (body === 'too large') {
    reply(request, response, { status: 413, body: { error: 'body over 64 KiB' } });
    return;
  }
  const closes = match.route.isLongLived === true && !longLived.admits(request.socket);
  reply(request, response, await handleRequest(match, body), closes);
}

/** Sends a reply, unless one has been sent already. */
export function reply(
  request: IncomingMessage,
  response: ServerResponse,
  { status, body, retryAfterS }: Reply,
  closes = false,
): void {
  if (response.headersSent || response.destroyed) return;
  const payload = encode(body);
  const headers: string[] = ['content-type', 'application/cbor'];
  headers.push('content-length', String(payload.length));
  if (retryAfterS !== undefined) headers.push('retry-after', String(retryAfterS));
  // A body that was not read to its end would be taken for the next request.
  if (closes || !request.complete) headers.push('connection', 'close');
  response.writeHead(status, headers);
  response.end(payload);
}

function readBody(request: IncomingMessage): Promise<RequestBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_REQUEST_BYTES) {
        chunks.length = 0;
        resolve('too large');
      } else chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(Buffer.concat(chunks));
    });
    request.on('error', () => {
      resolve('truncated');
    });
    request.on('close', () => {
      resolve('truncated');
    });
  });
}
