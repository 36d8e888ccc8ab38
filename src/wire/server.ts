/**
 * The HTTP server for a table of routes. Malformed or hostile input gets a 4xx response and never crashes the process.
 * Common requests are served by `DirectConnection`, all others by Node's `http`.
 */
import { createServer, STATUS_CODES, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { encode } from './codec.js';
import { closingResponse, DirectConnection, type EncodedResponse } from './direct-connection.js';
import { LongLivedConnections } from './long-lived-connections.js';
import { MAX_REQUEST_BYTES, reply, serveWithNode } from './node-handler.js';
import type { RequestHead } from './request-head.js';
import { handleRequest, routeRequest, type Reply, type Route } from './router.js';

export type { Reply, Route } from './router.js';

const MAX_HEAD_BYTES = 8 * 1024;
/** Time for which an idle connection is kept open between two requests. */
const IDLE_TIMEOUT_MS = 120_000;

/** Limits of a server. */
export interface ServerOptions {
  maxSockets: number;
  /** Maximum number of connections of long-lived routes that stay open. */
  maxLongLived: number;
  /** Time within which a client must send a whole request. */
  requestTimeoutMs: number;
  /** False lets Node's `http` serve all requests; tests use it to compare both ways. */
  servesDirectly?: boolean;
  /** Called with an error thrown by a route's handler; the client receives a 500 response. */
  onError(error: unknown): void;
}

/** The routes, options and connection limit that both ways of serving a request use. */
interface ServerContext {
  routes: readonly Route[];
  options: ServerOptions;
  longLived: LongLivedConnections;
}

/** Makes a server for these routes; it does not listen yet. */
export function makeServer(routes: readonly Route[], options: ServerOptions): Server {
  const longLived = new LongLivedConnections(options.maxLongLived);
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      requestTimeout: options.requestTimeoutMs,
      headersTimeout: options.requestTimeoutMs,
      connectionsCheckingInterval: options.requestTimeoutMs / 2,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      noDelay: true,
    },
    (request, response) => {
      serveWithNode(routes, longLived, request, response).catch((error: unknown) => {
        options.onError(error);
        reply(request, response, { status: 500, body: {} });
      });
    },
  );
  server.maxConnections = options.maxSockets;
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (!socket.writable) return;
    const isLate = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    socket.end(closingResponse(isLate ? '408 Request Timeout' : '400 Bad Request'));
  });
  if (options.servesDirectly !== false) serveDirectly(server, { routes, options, longLived });
  return server;
}

/** Lets `DirectConnection` serve new connections; Node's own listeners receive those that are handed over. */
function serveDirectly(server: Server, context: ServerContext): void {
  const nodeListeners = server.listeners('connection') as ((socket: Socket) => void)[];
  server.removeAllListeners('connection');
  const open = new Set<DirectConnection>();
  server.on('connection', (socket: Socket) => {
    const connection = new DirectConnection(socket, {
      maxBodyBytes: MAX_REQUEST_BYTES,
      serve: (head, body) => answerDirectly(context, socket, head, body),
      handOver: (taken, unread) => {
        taken.unshift(unread);
        for (const listener of nodeListeners) listener.call(server, taken);
        process.nextTick(() => taken.resume());
      },
      onClosed: (closed) => open.delete(closed),
      now: () => performance.now(),
    });
    open.add(connection);
  });
  checkTimeoutsPeriodically(server, open, context.options.requestTimeoutMs);
}

/** Checks the timeouts of all direct connections with one interval timer, instead of one timer per request. */
function checkTimeoutsPeriodically(
  server: Server,
  open: ReadonlySet<DirectConnection>,
  requestTimeoutMs: number,
): void {
  const timer = setInterval(() => {
    for (const connection of open) connection.checkTimeouts(requestTimeoutMs, IDLE_TIMEOUT_MS);
  }, requestTimeoutMs / 2);
  timer.unref();
  server.on('close', () => {
    clearInterval(timer);
  });
  const closeNodeConnections = server.closeAllConnections.bind(server);
  server.closeAllConnections = () => {
    closeNodeConnections();
    for (const connection of open) connection.destroy();
  };
}

async function answerDirectly(
  { routes, options, longLived }: ServerContext,
  socket: Socket,
  head: RequestHead,
  body: Buffer,
): Promise<EncodedResponse> {
  try {
    const match = routeRequest(routes, head.method, head.url);
    if ('status' in match) return encodeResponse(match, head.close);
    const close = head.close || (match.route.isLongLived === true && !longLived.tryAdmit(socket));
    return encodeResponse(await handleRequest(match, body), close);
  } catch (error) {
    options.onError(error);
    return encodeResponse({ status: 500, body: {} }, true);
  }
}

function encodeResponse({ status, body, retryAfterS }: Reply, close: boolean): EncodedResponse {
  const payload = encode(body);
  let head = `HTTP/1.1 ${String(status)} ${STATUS_CODES[status] ?? ''}\r\n`;
  head += `content-type: application/cbor\r\ncontent-length: ${String(payload.length)}\r\n`;
  if (retryAfterS !== undefined) head += `retry-after: ${String(retryAfterS)}\r\n`;
  head += close ? 'connection: close\r\n\r\n' : '\r\n';
  const bytes = Buffer.allocUnsafe(head.length + payload.length);
  bytes.write(head, 0, 'latin1');
  payload.copy(bytes, head.length);
  return { bytes, close };
}
