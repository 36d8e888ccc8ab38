/** The server on the internal address: peers by frames, and over HTTP whoever reads the metrics. */
import { createServer, type Server, type Socket } from 'node:net';
import { decodeRequestFrame, encodeAnswerFrame } from '../protocol/peers.js';
import type { Body } from '../wire/codec.js';
import { encodeFrame, readFrames } from './frames.js';

/** No frame begins like that: it would be far over the limit. */
const HTTP_START = Buffer.from('GET ');

/** Answers a peer's question; when it fails, the connection is ended. */
export type PeerRequestHandler = (question: string, body: Body) => Promise<Body>;

/** Serves peers by `handler`, and on connections that begin with `GET ` whatever `serveHttp` answers. */
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
      if (first.subarray(0, HTTP_START.length).equals(HTTP_START)) serveHttp(socket);
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
    handler(request.question, request.body).then(
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
