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

/** One socket and the request that it carries, if any. */
class Connection {
  private readonly socket: Socket;
  private reader: ResponseReader;
  exchange: Exchange | null = null;

  constructor(
    host: string,
    port: number,
    private readonly maxBodyBytes: number,
    private readonly onFree: (connection: Connection) => void,
    private readonly onGone: (connection: Connection) => void,
  ) {
    this.reader = new ResponseReader(maxBodyBytes);
    this.socket = connect({ host, port, noDelay: true });
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
      this.onGone(this);
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
      this.onFree(this);
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
    const fresh = new Connection(
      this.host,
      this.port,
      this.maxBodyBytes,
      (free) => {
        this.idle.push(free);
        this.dispatch();
      },
      (gone) => {
        this.open.delete(gone);
        const at = this.idle.indexOf(gone);
        if (at >= 0) this.idle.splice(at, 1);
        this.dispatch();
      },
    );
    this.open.add(fresh);
    return fresh;
  }
}
