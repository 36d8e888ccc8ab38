/** Divides the sockets of a process among its uses, and keeps a bounded set of connections to workers. */
import { NotSent, send, splitAddress, type Caller } from './client.js';
import { ConnectionPool } from './connection-pool.js';

/** Share of a process's sockets for outbound connections to workers; each worker gets at most one. */
const OUTBOUND_SHARE = 0.25;
/** Share reserved for the few connections that must always get a socket: peers, cloud, state service, health checks. */
const RESERVED_SHARE = 0.05;
/** Share of the remaining sockets for long-lived connections from workers; the others are for users. */
const INBOUND_LONG_LIVED_SHARE = 0.8;

/** The division of the sockets that the settings allow. */
export interface SocketShares {
  /** Outbound connections to workers. */
  outbound: number;
  /** Inbound connections that the server accepts in total, and how many of them workers may keep open. */
  inbound: number;
  inboundLongLived: number;
}

/** Divides the sockets that a process may have among its uses. */
export function divideSockets(maxSockets: number): SocketShares {
  const outbound = Math.max(1, Math.floor(maxSockets * OUTBOUND_SHARE));
  const inbound = Math.max(2, Math.floor(maxSockets * (1 - RESERVED_SHARE)) - outbound);
  return {
    outbound,
    inbound,
    inboundLongLived: Math.max(1, Math.floor(inbound * INBOUND_LONG_LIVED_SHARE)),
  };
}

interface CachedConnection {
  pool: ConnectionPool;
  /** Number of requests in progress. */
  inFlight: number;
}

/**
 * Persistent connections to many workers: one socket per worker and at most `maxConnections` in total. When the limit
 * is reached, the least recently used idle connection is closed to make room. If none is idle, the request fails with
 * `NotSent`.
 */
export class WorkerConnections {
  /** Least recently used first. */
  private readonly connections = new Map<string, CachedConnection>();

  constructor(private readonly maxConnections: number) {}

  callerFor(address: string): Caller {
    return async (call) => {
      const connection = this.acquire(address);
      connection.inFlight++;
      try {
        return await send(connection.pool, address, call);
      } finally {
        connection.inFlight--;
      }
    };
  }

  private acquire(address: string): CachedConnection {
    const known = this.connections.get(address);
    this.connections.delete(address);
    if (!known && this.connections.size >= this.maxConnections) this.closeIdle();
    const connection = known ?? openConnection(address);
    this.connections.set(address, connection);
    return connection;
  }

  private closeIdle(): void {
    for (const [address, { pool, inFlight }] of this.connections) {
      if (inFlight > 0) continue;
      pool.close();
      this.connections.delete(address);
      return;
    }
    throw new NotSent('all connections to workers are in use');
  }
}

function openConnection(address: string): CachedConnection {
  const { host, port } = splitAddress(address);
  return { pool: new ConnectionPool(host, port, 1), inFlight: 0 };
}
