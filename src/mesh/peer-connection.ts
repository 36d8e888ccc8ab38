/** The connection to one peer. */
import { connect, type Socket } from 'node:net';
import { decodeAnswerFrame, encodeRequestFrame, type PeerAnswerFrame } from '../protocol/peers.js';
import { NoAnswer, splitAddress } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import { encodeFrame, readFrames } from './frames.js';

/** Sends a request to a peer; fails with `NoAnswer` if the answer does not arrive in time. */
export type PeerClient = (requestType: string, body: Body, timeoutMs: number) => Promise<Body>;

/** A client for the peer at an address; it connects on its first request. */
export function connectPeer(address: string): PeerClient {
  const connection = new PeerConnection(address);
  return (requestType, body, timeoutMs) => connection.request(requestType, body, timeoutMs);
}

/** A request waiting for its answer. */
interface PendingRequest {
  resolve: (body: Body) => void;
  reject: (error: NoAnswer) => void;
  timer: NodeJS.Timeout;
}

/** A persistent connection, replaced when it breaks or when an answer does not arrive in time. */
class PeerConnection {
  private socket: Socket | null = null;
  private nextRequestId = 1;
  private readonly pending = new Map<number, PendingRequest>();

  constructor(private readonly address: string) {}

  request(requestType: string, body: Body, timeoutMs: number): Promise<Body> {
    return new Promise((resolve, reject) => {
      const requestId = this.nextRequestId++;
      const socket = this.connectedSocket();
      const timer = setTimeout(() => {
        this.pending.delete(requestId);
        // A network partition may have left the connection dead, so the next request opens a new one.
        socket.destroy();
        this.discard(socket);
        reject(this.noAnswer('no answer in time'));
      }, timeoutMs);
      this.pending.set(requestId, { resolve, reject, timer });
      socket.write(encodeFrame(encodeRequestFrame({ requestId, requestType, body })));
    });
  }

  private connectedSocket(): Socket {
    if (this.socket) return this.socket;
    const { host, port } = splitAddress(this.address);
    const socket = connect({ host, port, noDelay: true });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.discard(socket);
    });
    readFrames(socket, (message) => {
      this.settle(decodeAnswerFrame(message));
    });
    this.socket = socket;
    return socket;
  }

  private settle({ requestId, body }: PeerAnswerFrame): void {
    const request = this.pending.get(requestId);
    if (!request) return;
    this.pending.delete(requestId);
    clearTimeout(request.timer);
    if (body) request.resolve(body);
    else request.reject(this.noAnswer('malformed answer'));
  }

  /** Drops a broken connection, and fails all requests that were sent on it. */
  private discard(broken: Socket): void {
    if (this.socket !== broken) return;
    this.socket = null;
    for (const { reject, timer } of this.pending.values()) {
      clearTimeout(timer);
      reject(this.noAnswer('connection lost'));
    }
    this.pending.clear();
  }

  private noAnswer(reason: string): NoAnswer {
    return new NoAnswer(`peer ${this.address}: ${reason}`);
  }
}
