/** The HTTP server over a table of routes. Hostile input ends here: a 4xx, never a crash. */
import {
  createServer,
  STATUS_CODES,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { decodeMap, encode, type Body } from './codec.js';
import { closingResponse, DirectConnection, type Outgoing } from './direct-connection.js';
import type { RequestHead } from './request-head.js';

export interface Reply {
  status: number;
  body: Body;
  /** When to come back, for a reply that asks for a retry. */
  retryAfterS?: number;
}

export interface Route {
  method: 'GET' | 'POST';
  /** Path segments; `*` takes any one segment. */
  path: string[];
  /** Many and lasting: beyond `maxKept` connections that ask for it, each is closed once it is answered. */
  kept?: true;
  handle(args: string[], body: Body): Promise<Reply> | Reply;
}

const MAX_BODY_BYTES = 64 * 1024;
/** How long a connection between two requests is kept open. */
const IDLE_MS = 120_000;

export interface Limits {
  maxSockets: number;
  /** Connections of `kept` routes that stay open. */
  maxKept: number;
  /** Time that a client has for the whole of one request. */
  requestMs: number;
  /** False: Node's `http` serves everything, for comparison. */
  direct?: boolean;
  onError(error: unknown): void;
}

/** One server: ordinary requests are served by `DirectConnection`, all others by Node's `http`. */
export function makeServer(routes: Route[], limits: Limits): Server {
  const kept = new KeptConnections(limits.maxKept);
  const server = createServer(
    {
      maxHeaderSize: 8 * 1024,
      requestTimeout: limits.requestMs,
      headersTimeout: limits.requestMs,
      connectionsCheckingInterval: limits.requestMs / 2,
      keepAliveTimeout: IDLE_MS,
      noDelay: true,
    },
    (req, res) => {
      serveByNode(routes, req, res, kept).catch((error: unknown) => {
        limits.onError(error);
        answerByNode(req, res, { status: 500, body: {} });
      });
    },
  );
  server.maxConnections = limits.maxSockets;
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (!socket.writable) return;
    const status =
      error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request';
    socket.end(closingResponse(status));
  });
  if (limits.direct !== false) serveDirectly(server, routes, limits, kept);
  return server;
}

/** Puts the direct path before Node's own listener for connections. */
function serveDirectly(
  server: Server,
  routes: Route[],
  limits: Limits,
  kept: KeptConnections,
): void {
  const byNode = server.listeners('connection') as ((socket: Socket) => void)[];
  server.removeAllListeners('connection');
  const open = new Set<DirectConnection>();
  server.on('connection', (socket: Socket) => {
    const connection = new DirectConnection(socket, {
      maxBodyBytes: MAX_BODY_BYTES,
      serve: (head, body) => serveDirect(routes, head, body, socket, limits, kept),
      handOver: (taken, unread) => {
        taken.unshift(unread);
        for (const listen of byNode) listen.call(server, taken);
        process.nextTick(() => taken.resume());
      },
      onClosed: (closed) => open.delete(closed),
      now: () => performance.now(),
    });
    open.add(connection);
  });
  const sweep = setInterval(() => {
    for (const connection of open) connection.sweep(limits.requestMs, IDLE_MS);
  }, limits.requestMs / 2);
  sweep.unref();
  server.on('close', () => {
    clearInterval(sweep);
  });
  const closeAll = server.closeAllConnections.bind(server);
  server.closeAllConnections = () => {
    closeAll();
    for (const connection of open) connection.destroy();
  };
}

async function serveDirect(
  routes: Route[],
  head: RequestHead,
  bytes: Buffer,
  socket: Socket,
  limits: Limits,
  kept: KeptConnections,
): Promise<Outgoing> {
  try {
    const found = findTarget(routes, head.method, head.url);
    if ('status' in found) return outgoing(found, head.close);
    const close = head.close || (found.route.kept === true && !kept.admits(socket));
    const reply = await handle(found, bytes);
    return outgoing(reply, close);
  } catch (error) {
    limits.onError(error);
    return outgoing({ status: 500, body: {} }, true);
  }
}

function outgoing(reply: Reply, close: boolean): Outgoing {
  const payload = encode(reply.body);
  let head = `HTTP/1.1 ${String(reply.status)} ${STATUS_CODES[reply.status] ?? ''}\r\n`;
  head += `content-type: application/cbor\r\ncontent-length: ${String(payload.length)}\r\n`;
  if (reply.retryAfterS !== undefined) head += `retry-after: ${String(reply.retryAfterS)}\r\n`;
  head += close ? 'connection: close\r\n\r\n' : '\r\n';
  const bytes = Buffer.allocUnsafe(head.length + payload.length);
  bytes.write(head, 0, 'latin1');
  payload.copy(bytes, head.length);
  return { bytes, close };
}

/** Connections that may stay open although there are many of their kind. */
class KeptConnections {
  private readonly sockets = new Set<Socket>();

  constructor(private readonly most: number) {}

  admits(socket: Socket): boolean {
    if (this.sockets.has(socket)) return true;
    if (this.sockets.size >= this.most) return false;
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    return true;
  }
}

interface Target {
  route: Route;
  args: string[];
}

/** The route that a request is for, or the reply to one that is for none. */
function findTarget(routes: Route[], method: string, url: string): Target | Reply {
  const segments = splitPath(url);
  if (!segments || !routes.some((route) => fits(route.path, segments)))
    return { status: 404, body: { error: 'no such path' } };
  return (
    findRoute(routes, method, segments) ?? {
      status: 405,
      body: { error: 'method not allowed here' },
    }
  );
}

function handle({ route, args }: Target, bytes: Buffer): Promise<Reply> | Reply {
  const body = bytes.length === 0 ? {} : decodeMap(bytes);
  if (body === null) return { status: 400, body: { error: 'body is not a CBOR map' } };
  return route.handle(args, body);
}

async function serveByNode(
  routes: Route[],
  req: IncomingMessage,
  res: ServerResponse,
  kept: KeptConnections,
): Promise<void> {
  const found = findTarget(routes, req.method ?? '', req.url ?? '');
  if ('status' in found) {
    answerByNode(req, res, found);
    return;
  }
  const bytes = await readBody(req);
  if (bytes === 'cut') return;
  if (bytes === 'large') {
    answerByNode(req, res, { status: 413, body: { error: 'body over 64 KiB' } });
    return;
  }
  const closing = found.route.kept === true && !kept.admits(req.socket);
  answerByNode(req, res, await handle(found, bytes), closing);
}

function splitPath(url: string): string[] | null {
  const path = url.split('?', 1)[0] ?? '';
  try {
    return path.split('/').slice(1).map(decodeURIComponent);
  } catch {
    return null;
  }
}

function fits(pattern: string[], segments: string[]): boolean {
  return (
    pattern.length === segments.length &&
    pattern.every((part, at) => part === '*' || part === segments[at])
  );
}

/** The route for a path, with what its `*` stand for. */
export function findRoute(routes: Route[], method: string, segments: string[]): Target | null {
  const route = routes.find((entry) => entry.method === method && fits(entry.path, segments));
  return route ? { route, args: segments.filter((_, at) => route.path[at] === '*') } : null;
}

/** The inverse: a route's path with its `*` filled in. */
export function fillPath(pattern: string[], args: string[]): string[] {
  const left = [...args];
  return pattern.map((part) => (part === '*' ? (left.shift() ?? '') : part));
}

function readBody(req: IncomingMessage): Promise<Buffer | 'large' | 'cut'> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) {
        chunks.length = 0;
        resolve('large');
      } else chunks.push(chunk);
    });
    req.on('end', () => {
      resolve(Buffer.concat(chunks));
    });
    req.on('error', () => {
      resolve('cut');
    });
    req.on('close', () => {
      resolve('cut');
    });
  });
}

function answerByNode(
  req: IncomingMessage,
  res: ServerResponse,
  reply: Reply,
  closing = false,
): void {
  if (res.headersSent || res.destroyed) return;
  const payload = encode(reply.body);
  const headers: string[] = ['content-type', 'application/cbor'];
  headers.push('content-length', String(payload.length));
  if (reply.retryAfterS !== undefined) headers.push('retry-after', String(reply.retryAfterS));
  // A body that was not read to its end would be taken for the next request.
  if (closing || !req.complete) headers.push('connection', 'close');
  res.writeHead(reply.status, headers);
  res.end(payload);
}
