/**
 * The HTTP server over a table of routes. Hostile input ends here: a 4xx, never a crash. Ordinary requests are served
 * by `DirectConnection`, all others by Node's `http`.
 */
import { createServer, STATUS_CODES, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { encode } from './codec.js';
import { closingResponse, DirectConnection, type Outgoing } from './direct-connection.js';
import { LongLivedConnections } from './long-lived-connections.js';
import { MAX_REQUEST_BYTES, reply, serveWithNode } from './node-handler.js';
import type { RequestHead } from './request-head.js';
import { handleRequest, routeRequest, type Reply, type Route } from './router.js';

export type { Reply, Route } from './router.js';

const MAX_HEAD_BYTES = 8 * 1024;
/** How long a connection is kept open between two requests. */
const IDLE_MS = 120_000;

/** Limits of a server. */
export interface ServerOptions {
  maxSockets: number;
  /** Connections of long-lived routes that stay open. */
  maxLongLived: number;
  /** Time that a client has for the whole of one request. */
  requestMs: number;
  /** False: Node's `http` serves everything, for comparison. */
  servesDirectly?: boolean;
  /** Told of an error in a route's handler; the client is answered with 500. */
  onError(error: unknown): void;
}

/** What both ways of serving a request need. */
interface ServerContext {
  routes: readonly Route[];
  options: ServerOptions;
  longLived: LongLivedConnections;
}

/** A server that answers these routes; it does not listen yet. */
export function makeServer(routes: readonly Route[], options: ServerOptions): Server {
  const longLived = new LongLivedConnections(options.maxLongLived);
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      requestTimeout: options.requestMs,
      headersTimeout: options.requestMs,
      connectionsCheckingInterval: options.requestMs / 2,
      keepAliveTimeout: IDLE_MS,
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

/** Puts the direct path before Node's own listeners for connections. */
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
  closeIdleRegularly(server, open, context.options.requestMs);
}

/** One sweep serves all direct connections, in place of a timer for each request. */
function closeIdleRegularly(
  server: Server,
  open: ReadonlySet<DirectConnection>,
  requestMs: number,
): void {
  const sweep = setInterval(() => {
    for (const connection of open) connection.sweep(requestMs, IDLE_MS);
  }, requestMs / 2);
  sweep.unref();
  server.on('close', () => {
    clearInterval(sweep);
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
): Promise<Outgoing> {
  try {
    const match = routeRequest(routes, head.method, head.url);
    if ('status' in match) return outgoing(match, head.close);
    const close = head.close || (match.route.isLongLived === true && !longLived.admits(socket));
    return outgoing(await handleRequest(match, body), close);
  } catch (error) {
    options.onError(error);
    return outgoing({ status: 500, body: {} }, true);
  }
}

function outgoing({ status, body, retryAfterS }: Reply, close: boolean): Outgoing {
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
