/** The server on the internal address: frames for peers, and HTTP for reading the metrics. */
import { createServer, type Server, type Socket } from 'node:net';
import { decodeRequestFrame, encodeAnswerFrame } from '../protocol/peers.js';
import type { Body } from '../wire/codec.js';
import { encodeFrame, readFrames } from './frames.js';

/** Start of an HTTP request. No frame begins like this: read as a length, these bytes are far over the frame limit. */
const HTTP_GET_PREFIX = Buffer.from('GET ');

/** Answers a peer's request; if it fails, the connection is ended. */
export type PeerRequestHandler = (requestType: string, body: Body) => Promise<Body>;

/** Serves peers by `handler`; connections that begin with `GET ` are passed to `serveHttp`. */
export function meshServer(
  handler: PeerRequestHandler,
  maxConnections: number,
  serveHttp: (socket: Socket) => void,
): Server {
  const server = createServer({ noDelay: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (first: Buffer) => {
      socket.pause();
      socket.unshift(first);
      if (first.subarray(0, HTTP_GET_PREFIX.length).equals(HTTP_GET_PREFIX)) serveHttp(socket);
      else serveFrames(socket, handler);
      socket.resume();
    });
  });
  server.maxConnections = maxConnections;
  return server;
}

function serveFrames(socket: Socket, handler: PeerRequestHandler): void {
  readFrames(socket, (message) => {
    const request = decodeRequestFrame(message);
    if (!request) {
      socket.destroy();
      return;
    }
    handler(request.requestType, request.body).then(
      (answer) => {
        if (socket.destroyed) return;
        socket.write(encodeFrame(encodeAnswerFrame(request.requestId, answer)));
      },
      () => {
        socket.destroy();
      },
    );
  });
}
