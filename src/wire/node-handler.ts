/** Serves requests with Node's `http`: all that `DirectConnection` does not serve itself. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { encode } from './codec.js';
import type { LongLivedConnections } from './long-lived-connections.js';
import { handleRequest, routeRequest, type Reply, type Route } from './router.js';

/** Maximum size of a request body. */
export const MAX_REQUEST_BYTES = 64 * 1024;

/**
 * A request's body, or the reason why there is none: it is too large, or the connection ended before it was complete.
 */
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
  const closeAfterReply = match.route.isLongLived === true && !longLived.tryAdmit(request.socket);
  reply(request, response, await handleRequest(match, body), closeAfterReply);
}

/** Sends a reply, unless one has been sent already. */
export function reply(
  request: IncomingMessage,
  response: ServerResponse,
  { status, body, retryAfterS }: Reply,
  closeAfterReply = false,
): void {
  if (response.headersSent || response.destroyed) return;
  const payload = encode(body);
  const headers: string[] = ['content-type', 'application/cbor'];
  headers.push('content-length', String(payload.length));
  if (retryAfterS !== undefined) headers.push('retry-after', String(retryAfterS));
  // The unread rest of a request body would be parsed as the next request, so the connection closes.
  if (closeAfterReply || !request.complete) headers.push('connection', 'close');
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
