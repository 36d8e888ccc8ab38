/**
 * Serves common requests of one connection directly from its socket. Node's `http` creates several objects and runs its
 * parser for each request; for a process with a few percent of a core, that is most of the cost of a worker's report.
 * At the first request that `parseRequestHead` does not accept, or that exceeds a limit here, the connection is handed
 * over to Node's `http`, which serves it until it closes.
 */
import type { Socket } from 'node:net';
import { parseRequestHead, type RequestHead } from './request-head.js';

/** The bytes of a response, and whether the connection closes after them. */
export interface EncodedResponse {
  bytes: Buffer;
  close: boolean;
}

/** How a connection's requests are served. */
export interface DirectConnectionOptions {
  /** Largest request body that is served here; Node's `http` handles and refuses larger ones. */
  maxBodyBytes: number;
  serve(head: RequestHead, body: Buffer): Promise<EncodedResponse>;
  /** Takes over the connection with the bytes that were received but not served. */
  handOver(socket: Socket, unread: Buffer): void;
  onClosed(connection: DirectConnection): void;
  now(): number;
}

/** Returns a complete response with an empty body, after which the connection closes. */
export function closingResponse(status: string): string {
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}

const INCOMPLETE_REQUEST_RESPONSE = closingResponse('400 Bad Request');
const HEAD_END = Buffer.from('\r\n\r\n');
const MAX_HEAD_BYTES = 8 * 1024;
/**
 * A request that arrives in more pieces than this is left to Node, which does not copy all earlier pieces for each new
 * one.
 */
const MAX_PIECES = 4;
/** Bytes of unread responses beyond which a client's connection is closed. */
const MAX_UNSENT_BYTES = 256 * 1024;

type ParsedRequest =
  { head: RequestHead; body: Buffer; rest: Buffer | null } | 'incomplete' | 'unusual';

/** One connection that has sent only common requests so far. */
export class DirectConnection {
  private unread: Buffer | null = null;
  private pieces = 0;
  private busy = false;
  private clientEnded = false;
  private servedRequests = 0;
  private lastActiveAt: number;
  /**
   * Clients usually repeat their request heads exactly, except for the body length, so the last one is cached with its
   * parse result.
   */
  private lastHeadText = '';
  private lastHead: RequestHead | null = null;

  constructor(
    private readonly socket: Socket,
    private readonly options: DirectConnectionOptions,
  ) {
    this.lastActiveAt = options.now();
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('error', this.onError);
    socket.on('close', this.onClose);
  }

  /**
   * Closes the connection if it has been idle for too long. A request that arrives too slowly is handed over to Node,
   * which applies its own timeouts.
   */
  checkTimeouts(requestTimeoutMs: number, idleTimeoutMs: number): void {
    const inactiveMs = this.options.now() - this.lastActiveAt;
    if (this.busy) return;
    if (this.unread) {
      if (inactiveMs > requestTimeoutMs) this.handOver(this.unread);
    } else if (inactiveMs > (this.servedRequests === 0 ? requestTimeoutMs : idleTimeoutMs))
      this.socket.destroy();
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
    // The client sent its next request before this one was answered: keep it and stop reading from the socket.
    this.unread = bytes;
    this.socket.pause();
  };

  private readonly onEnd = (): void => {
    this.clientEnded = true;
    if (!this.busy) this.socket.end(this.unread ? INCOMPLETE_REQUEST_RESPONSE : '');
  };

  private readonly onError = (): void => {
    this.socket.destroy();
  };

  private readonly onClose = (): void => {
    this.options.onClosed(this);
  };

  private receive(bytes: Buffer): void {
    const parsed = this.parseRequest(bytes);
    if (parsed === 'unusual') {
      this.handOver(bytes);
    } else if (parsed === 'incomplete') {
      if (!this.unread) this.lastActiveAt = this.options.now();
      this.unread = bytes;
      this.pieces++;
      if (this.pieces > MAX_PIECES) this.handOver(bytes);
    } else {
      this.unread = parsed.rest;
      this.pieces = 0;
      this.busy = true;
      void this.answer(parsed.head, parsed.body);
    }
  }

  private parseRequest(bytes: Buffer): ParsedRequest {
    const end = bytes.indexOf(HEAD_END);
    if (end < 0) return bytes.length > MAX_HEAD_BYTES ? 'unusual' : 'incomplete';
    if (end > MAX_HEAD_BYTES) return 'unusual';
    const head = this.parseHead(bytes.toString('latin1', 0, end));
    if (!head || head.bodyBytes > this.options.maxBodyBytes) return 'unusual';
    const from = end + HEAD_END.length;
    const to = from + head.bodyBytes;
    if (bytes.length < to) return 'incomplete';
    const rest = bytes.length > to ? bytes.subarray(to) : null;
    return { head, body: bytes.subarray(from, to), rest };
  }

  private parseHead(text: string): RequestHead | null {
    if (text === this.lastHeadText) return this.lastHead;
    this.lastHead = parseRequestHead(text);
    this.lastHeadText = text;
    return this.lastHead;
  }

  private async answer(head: RequestHead, body: Buffer): Promise<void> {
    const { bytes, close } = await this.options.serve(head, body);
    this.busy = false;
    this.servedRequests++;
    this.lastActiveAt = this.options.now();
    const { socket } = this;
    if (socket.destroyed) return;
    socket.write(bytes);
    if (close || this.clientEnded) {
      socket.end();
      return;
    }
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      socket.destroy();
      return;
    }
    const { unread: pendingBytes } = this;
    if (!pendingBytes) return;
    this.unread = null;
    socket.resume();
    this.receive(pendingBytes);
  }

  private handOver(unread: Buffer): void {
    const { socket } = this;
    socket.pause();
    socket.off('data', this.onData);
    socket.off('end', this.onEnd);
    socket.off('error', this.onError);
    socket.off('close', this.onClose);
    this.options.onClosed(this);
    if (this.clientEnded) socket.end(INCOMPLETE_REQUEST_RESPONSE);
    else this.options.handOver(socket, unread);
  }
}
