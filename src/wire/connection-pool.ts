/** Persistent client connections to one HTTP server, each carrying one request at a time. */
import { connect, type Socket } from 'node:net';
import { toError } from '../errors.js';
import {
  TruncatedResponse,
  DEFAULT_MAX_BODY_BYTES,
  ResponseReader,
  type RawResponse,
} from './response-reader.js';

interface Exchange {
  request: Buffer;
  resolve(response: RawResponse): void;
  reject(error: Error): void;
}

/** A request that the pool has accepted. */
export interface PendingRequest {
  response: Promise<RawResponse>;
  /** Cancels the request; if it has already been sent, its connection is closed. */
  cancel(): void;
}

interface ConnectionEvents {
  /** The request was answered, and the connection may be used for another one. */
  onFree(connection: Connection): void;
  /** The connection was closed. */
  onClosed(connection: Connection): void;
}

/** One socket and the request in progress on it, if any. */
class Connection {
  private readonly socket: Socket;
  private reader: ResponseReader;
  exchange: Exchange | null = null;

  constructor(
    server: { host: string; port: number },
    private readonly maxBodyBytes: number,
    private readonly events: ConnectionEvents,
  ) {
    this.reader = new ResponseReader(maxBodyBytes);
    this.socket = connect({ ...server, noDelay: true });
    this.socket.on('data', (piece) => {
      this.receive(() => this.reader.push(piece));
    });
    this.socket.on('end', () => {
      if (this.exchange) this.receive(() => this.reader.end());
      this.socket.destroy();
    });
    this.socket.on('error', (error) => {
      this.fail(error);
    });
    this.socket.on('close', () => {
      this.fail(new TruncatedResponse('connection closed'));
      this.events.onClosed(this);
    });
  }

  send(exchange: Exchange): void {
    this.exchange = exchange;
    this.reader = new ResponseReader(this.maxBodyBytes);
    this.socket.ref();
    this.socket.write(exchange.request);
  }

  destroy(): void {
    this.socket.destroy();
  }

  private receive(read: () => RawResponse | null): void {
    const { exchange } = this;
    // Data without a request in progress is a protocol error; the connection can't be used any more.
    if (!exchange) {
      this.socket.destroy();
      return;
    }
    let response: RawResponse | null;
    try {
      response = read();
    } catch (error) {
      this.fail(toError(error));
      return;
    }
    if (!response) return;
    this.exchange = null;
    if (response.reusable) {
      // An idle connection must not keep the process running.
      this.socket.unref();
      this.events.onFree(this);
    } else this.socket.destroy();
    exchange.resolve(response);
  }

  private fail(error: Error): void {
    const { exchange } = this;
    this.exchange = null;
    exchange?.reject(error);
    this.socket.destroy();
  }
}

/** Opens connections on demand up to a limit; further requests wait in a first-in, first-out queue. */
export class ConnectionPool {
  private readonly open = new Set<Connection>();
  private readonly idle: Connection[] = [];
  private readonly waiting: Exchange[] = [];

  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly maxConnections: number,
    /** Maximum size of a response body. */
    private readonly maxBodyBytes = DEFAULT_MAX_BODY_BYTES,
  ) {}

  request(request: Buffer): PendingRequest {
    let exchange: Exchange | null = null;
    const response = new Promise<RawResponse>((resolve, reject) => {
      exchange = { request, resolve, reject };
      this.waiting.push(exchange);
      this.dispatch();
    });
    return {
      response,
      cancel: () => {
        if (exchange) this.cancel(exchange);
      },
    };
  }

  /** Closes all connections; requests in progress fail. Intended for a pool that is idle. */
  close(): void {
    for (const connection of [...this.open]) connection.destroy();
  }

  private cancel(exchange: Exchange): void {
    const index = this.waiting.indexOf(exchange);
    if (index >= 0) this.waiting.splice(index, 1);
    for (const connection of this.open) if (connection.exchange === exchange) connection.destroy();
    exchange.reject(new TruncatedResponse('request cancelled'));
  }

  private dispatch(): void {
    for (;;) {
      const connection = this.waiting.length > 0 ? this.acquire() : undefined;
      if (!connection) return;
      const exchange = this.waiting.shift();
      if (exchange) connection.send(exchange);
    }
  }

  /**
   * Returns the most recently used idle connection, which is the least likely to have been closed by the server, or a
   * new connection. Returns undefined if the limit is reached and none is idle.
   */
  private acquire(): Connection | undefined {
    const idle = this.idle.pop();
    if (idle || this.open.size >= this.maxConnections) return idle;
    const server = { host: this.host, port: this.port };
    const fresh = new Connection(server, this.maxBodyBytes, {
      onFree: (connection) => {
        this.idle.push(connection);
        this.dispatch();
      },
      onClosed: (connection) => {
        this.remove(connection);
      },
    });
    this.open.add(fresh);
    return fresh;
  }
  private remove(connection: Connection): void {
    this.open.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    this.dispatch();
  }
}
