/**
 * Serves ordinary requests of one connection straight from its socket. Node's `http` makes several objects
 * and a parser pass per request, which at a few percent of a core is most of what a worker's report costs.
 * The first request that is not plainly ordinary hands the connection over to Node's `http` for good.
 */
import type { Socket } from 'node:net';
import { parseRequestHead, type RequestHead } from './request-head.js';

/** How a request ended: the bytes to send, and whether the connection closes after them. */
export interface Outgoing {
  bytes: Buffer;
  close: boolean;
}

/** How a connection's requests are served. */
export interface DirectConnectionOptions {
  /** Largest body that is served here; what is larger is Node's to refuse. */
  maxBodyBytes: number;
  serve(head: RequestHead, body: Buffer): Promise<Outgoing>;
  /** Takes the connection over, with the bytes that were read and not served. */
  handOver(socket: Socket, unread: Buffer): void;
  onClosed(connection: DirectConnection): void;
  now(): number;
}

/** A whole response that says no more than its status, and that the connection closes. */
export function closingResponse(status: string): string {
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}

const INCOMPLETE = closingResponse('400 Bad Request');
const HEAD_END = Buffer.from('\r\n\r\n');
const MAX_HEAD_BYTES = 8 * 1024;
/** A request in more pieces than this is left to Node, which does not copy them over and over. */
const MAX_PIECES = 4;
/** Answers that a client leaves unread before its connection is closed. */
const MAX_UNSENT_BYTES = 256 * 1024;

type ParsedRequest =
  { head: RequestHead; body: Buffer; rest: Buffer | null } | 'incomplete' | 'unusual';

/** One connection that has sent nothing but ordinary requests so far. */
export class DirectConnection {
  private unread: Buffer | null = null;
  private pieces = 0;
  private busy = false;
  private ended = false;
  private served = 0;
  private activeAt: number;
  /** Clients repeat their heads to the letter, but for the length of the body. */
  private lastText = '';
  private lastHead: RequestHead | null = null;

  constructor(
    private readonly socket: Socket,
    private readonly options: DirectConnectionOptions,
  ) {
    this.activeAt = options.now();
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('error', this.onError);
    socket.on('close', this.onClose);
  }

  /** Closes what has been idle for too long; a request that is too slow to arrive is left to Node's limits. */
  sweep(requestMs: number, idleMs: number): void {
    const quietMs = this.options.now() - this.activeAt;
    if (this.busy) return;
    if (this.unread) {
      if (quietMs > requestMs) this.handOver(this.unread);
    } else if (quietMs > (this.served === 0 ? requestMs : idleMs)) this.socket.destroy();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private readonly onData = (chunk: Buffer): void => {
    const bytes = this.unread ? Buffer.concat([this.unread, chunk]) : chunk;
    if (!this.busy) {
      this.receive(bytes);
      return;
    }
    // The next request before this one is answered: it waits, and nothing more is read meanwhile.
    this.unread = bytes;
    this.socket.pause();
  };

  private readonly onEnd = (): void => {
    this.ended = true;
    if (!this.busy) this.socket.end(this.unread ? INCOMPLETE : '');
  };

  private readonly onError = (): void => {
    this.socket.destroy();
  };

  private readonly onClose = (): void => {
    this.options.onClosed(this);
  };

  private receive(bytes: Buffer): void {
    const parse = this.read(bytes);
    if (parse === 'unusual') {
      this.handOver(bytes);
    } else if (parse === 'incomplete') {
      if (!this.unread) this.activeAt = this.options.now();
      this.unread = bytes;
      this.pieces++;
      if (this.pieces > MAX_PIECES) this.handOver(bytes);
    } else {
      this.unread = parse.rest;
      this.pieces = 0;
      this.busy = true;
      void this.answer(parse.head, parse.body);
    }
  }

  private read(bytes: Buffer): ParsedRequest {
    const end = bytes.indexOf(HEAD_END);
    if (end < 0) return bytes.length > MAX_HEAD_BYTES ? 'unusual' : 'incomplete';
    if (end > MAX_HEAD_BYTES) return 'unusual';
    const head = this.headOf(bytes.toString('latin1', 0, end));
    if (!head || head.bodyBytes > this.options.maxBodyBytes) return 'unusual';
    const from = end + HEAD_END.length;
    const to = from + head.bodyBytes;
    if (bytes.length < to) return 'incomplete';
    const rest = bytes.length > to ? bytes.subarray(to) : null;
    return { head, body: bytes.subarray(from, to), rest };
  }

  private headOf(text: string): RequestHead | null {
    if (text === this.lastText) return this.lastHead;
    this.lastHead = parseRequestHead(text);
    this.lastText = text;
    return this.lastHead;
  }

  private async answer(head: RequestHead, body: Buffer): Promise<void> {
    const { bytes, close } = await this.options.serve(head, body);
    this.busy = false;
    this.served++;
    this.activeAt = this.options.now();
    const { socket } = this;
    if (socket.destroyed) return;
    socket.write(bytes);
    if (close || this.ended) {
      socket.end();
      return;
    }
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      socket.destroy();
      return;
    }
    const { unread: held } = this;
    if (!held) return;
    this.unread = null;
    socket.resume();
    this.receive(held);
  }

  private handOver(unread: Buffer): void {
    const { socket } = this;
    socket.pause();
    socket.off('data', this.onData);
    socket.off('end', this.onEnd);
    socket.off('error', this.onError);
    socket.off('close', this.onClose);
    this.options.onClosed(this);
    if (this.ended) socket.end(INCOMPLETE);
    else this.options.handOver(socket, unread);
  }
}
