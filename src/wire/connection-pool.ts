/** Persistent client connections to one HTTP server, each carrying one request at a time. */
import { connect, type Socket } from 'node:net';
import { toError } from '../errors.js';
import {
  TruncatedResponse,
  DEFAULT_BODY_BYTES,
  ResponseReader,
  type RawResponse,
} from './response-reader.js';

interface Exchange {
  request: Buffer;
  resolve(response: RawResponse): void;
  reject(error: Error): void;
}

/** A request that was given to the pool. */
export interface Pending {
  response: Promise<RawResponse>;
  /** Gives the request up; one that is under way takes its connection with it. */
  cancel(): void;
}

interface ConnectionEvents {
  /** Its request is answered, and it may carry another. */
  onFree(connection: Connection): void;
  /** It has been closed. */
  onGone(connection: Connection): void;
}

/** One socket and the request that it carries, if any. */
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
      this.events.onGone(this);
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
    // Nobody asked: whatever this is, the connection is of no more use.
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
      // An idle connection does not keep the process from ending.
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

/** As many connections as it takes, up to a limit; requests beyond that wait in order. */
export class ConnectionPool {
  private readonly open = new Set<Connection>();
  private readonly idle: Connection[] = [];
  private readonly waiting: Exchange[] = [];

  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly maxConnections: number,
    /** What a response may hold, in bytes. */
    private readonly maxBodyBytes = DEFAULT_BODY_BYTES,
  ) {}

  request(request: Buffer): Pending {
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

  /** Closes all connections; the requests that they carry fail. Meant for a pool that is idle. */
  close(): void {
    for (const connection of [...this.open]) connection.destroy();
  }

  private cancel(exchange: Exchange): void {
    const at = this.waiting.indexOf(exchange);
    if (at >= 0) this.waiting.splice(at, 1);
    for (const connection of this.open) if (connection.exchange === exchange) connection.destroy();
    exchange.reject(new TruncatedResponse('given up'));
  }

  private dispatch(): void {
    for (;;) {
      const connection = this.waiting.length > 0 ? this.acquire() : undefined;
      if (!connection) return;
      const exchange = this.waiting.shift();
      if (exchange) connection.send(exchange);
    }
  }

  /** The connection used last, which is the least likely to have been closed meanwhile; or a new one. */
  private acquire(): Connection | undefined {
    const idle = this.idle.pop();
    if (idle || this.open.size >= this.maxConnections) return idle;
    const server = { host: this.host, port: this.port };
    const fresh = new Connection(server, this.maxBodyBytes, {
      onFree: (connection) => {
        this.idle.push(connection);
        this.dispatch();
      },
      onGone: (connection) => {
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
