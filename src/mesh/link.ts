import { connect, createServer, type Server, type Socket } from 'node:net';
import { decodeMap, encode, type Body } from '../wire/codec.js';
import { NoAnswer, splitAddress } from '../wire/client.js';

/** Frames between controllers: four bytes of length, then a CBOR map. */
const HEADER = 4;
/** What a peer may say at once: some 20,000 machines held back and lost, by names of 64 characters and their stamps. */
const MAX_FRAME = 4 * 1024 * 1024;
const HTTP_START = Buffer.from('GET ');

export type Serve = (ask: string, body: Body) => Promise<Body>;
/** Asks a peer; throws NoAnswer when there is none in time. */
export type PeerRequest = (ask: string, body: Body, timeoutMs: number) => Promise<Body>;

function frame(body: Body): Buffer {
  const payload = encode(body);
  const header = Buffer.alloc(HEADER);
  header.writeUInt32BE(payload.length);
  return Buffer.concat([header, payload]);
}

/** Calls `take` for each whole frame; a malformed or oversized one ends the connection. */
function readFrames(socket: Socket, take: (body: Body) => void): void {
  let held: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
    while (held.length >= HEADER) {
      const length = held.readUInt32BE(0);
      if (length > MAX_FRAME) {
        socket.destroy();
        return;
      }
      if (held.length < HEADER + length) return;
      const body = decodeMap(held.subarray(HEADER, HEADER + length));
      held = held.subarray(HEADER + length);
      if (!body) {
        socket.destroy();
        return;
      }
      take(body);
    }
  });
}

/**
 * Serves peers, and over HTTP, on connections that begin with `GET `, whatever `http` answers. No frame begins
 * like that: it would be far over the limit.
 */
export function meshServer(
  serve: Serve,
  maxConnections: number,
  http: (socket: Socket) => void,
): Server {
  const server = createServer({ noDelay: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (first: Buffer) => {
      socket.pause();
      socket.unshift(first);
      if (first.subarray(0, HTTP_START.length).equals(HTTP_START)) http(socket);
      else serveFrames(socket, serve);
      socket.resume();
    });
  });
  server.maxConnections = maxConnections;
  return server;
}

function serveFrames(socket: Socket, serve: Serve): void {
  readFrames(socket, ({ id, ask, body }) => {
    if (typeof ask !== 'string' || typeof body !== 'object' || body === null) {
      socket.destroy();
      return;
    }
    serve(ask, body as Body).then(
      (answer) => {
        if (!socket.destroyed) socket.write(frame({ id, body: answer }));
      },
      () => {
        socket.destroy();
      },
    );
  });
}

/** One kept connection to a peer, made anew when it breaks or when an answer stays out. */
export function meshLink(address: string): PeerRequest {
  const { host, port } = splitAddress(address);
  let socket: Socket | null = null;
  let nextId = 1;
  const open = new Map<number, { resolve(body: Body): void; reject(error: Error): void }>();
  const drop = (broken: Socket): void => {
    if (socket !== broken) return;
    socket = null;
    for (const one of open.values()) one.reject(new NoAnswer(`peer ${address}: connection lost`));
    open.clear();
  };
  const link = (): Socket => {
    if (socket) return socket;
    const fresh = connect({ host, port, noDelay: true });
    fresh.on('error', () => undefined);
    fresh.on('close', () => {
      drop(fresh);
    });
    readFrames(fresh, ({ id, body }) => {
      const one = open.get(Number(id));
      open.delete(Number(id));
      if (typeof body === 'object' && body !== null) one?.resolve(body as Body);
      else one?.reject(new NoAnswer(`peer ${address}: malformed answer`));
    });
    socket = fresh;
    return fresh;
  };
  return (ask, body, timeoutMs) =>
    new Promise((resolve, reject) => {
      const id = nextId++;
      const used = link();
      const timer = setTimeout(() => {
        open.delete(id);
        // It may be a dead connection through a cut: the next request gets a new one.
        used.destroy();
        drop(used);
        reject(new NoAnswer(`peer ${address}: no answer in time`));
      }, timeoutMs);
      const settled =
        <T>(then: (value: T) => void) =>
        (value: T): void => {
          clearTimeout(timer);
          then(value);
        };
      open.set(id, { resolve: settled(resolve), reject: settled(reject) });
      used.write(frame({ id, ask, body }));
    });
}
