/** The connection to one peer. */
import { connect, type Socket } from 'node:net';
import { decodeAnswerFrame, encodeRequestFrame, type PeerAnswerFrame } from '../protocol/peers.js';
import { NoAnswer, splitAddress } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import { encodeFrame, readFrames } from './frames.js';

/** Asks a peer; fails with `NoAnswer` when none comes in time. */
export type PeerClient = (question: string, body: Body, timeoutMs: number) => Promise<Body>;

/** A client for the peer at an address; it connects when it is first asked. */
export function connectPeer(address: string): PeerClient {
  const connection = new PeerConnection(address);
  return (question, body, timeoutMs) => connection.request(question, body, timeoutMs);
}

/** A request that waits for its answer. */
interface PendingRequest {
  resolve: (body: Body) => void;
  reject: (error: NoAnswer) => void;
  timer: NodeJS.Timeout;
}

/** One kept connection, made anew when it breaks or when an answer stays out. */
class PeerConnection {
  private socket: Socket | null = null;
  private nextRequestId = 1;
  private readonly pending = new Map<number, PendingRequest>();

  constructor(private readonly address: string) {}

  request(question: string, body: Body, timeoutMs: number): Promise<Body> {
    return new Promise((resolve, reject) => {
      const requestId = this.nextRequestId++;
      const socket = this.connectedSocket();
      const timer = setTimeout(() => {
        this.pending.delete(requestId);
        // It may be a dead connection through a cut: the next request gets a new one.
        socket.destroy();
        this.discard(socket);
        reject(this.noAnswer('no answer in time'));
      }, timeoutMs);
      this.pending.set(requestId, { resolve, reject, timer });
      socket.write(encodeFrame(encodeRequestFrame({ requestId, question, body })));
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

  /** A connection has broken: whatever was asked by it stays without an answer. */
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
