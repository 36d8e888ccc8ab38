/** How the sockets of a process are divided, and the bounded set of connections to workers. */
import { NotSent, send, splitAddress, type Caller } from './client.js';
import { ConnectionPool } from './connection-pool.js';

/** Share of a process's sockets for the links that it opens to workers; one each, and no more than this. */
const OUTBOUND_SHARE = 0.25;
/** Share for links that are few and must never lack one: peers, cloud and state service, health checks. */
const RESERVED_SHARE = 0.05;
/** Share of what is left for connections from workers that are kept open; users have the rest. */
const KEPT_FROM_WORKERS_SHARE = 0.8;

/** How the sockets that the settings allow are divided. */
export interface SocketShares {
  /** Links to workers. */
  outbound: number;
  /** Connections that the server takes in all, and how many of them workers may keep. */
  inbound: number;
  keptFromWorkers: number;
}

/** Divides the sockets that a process may have among its uses. */
export function divideSockets(maxSockets: number): SocketShares {
  const out = Math.max(1, Math.floor(maxSockets * OUTBOUND_SHARE));
  const rest = Math.max(2, Math.floor(maxSockets * (1 - RESERVED_SHARE)) - out);
  return {
    outbound: out,
    inbound: rest,
    keptFromWorkers: Math.max(1, Math.floor(rest * KEPT_FROM_WORKERS_SHARE)),
  };
}

interface CachedConnection {
  pool: ConnectionPool;
  /** Requests under way. */
  inFlight: number;
}

/**
 * Kept links to many servers, one socket each and so many in all: the one idle for longest makes room for
 * another. With none idle, a request is not sent, and says so.
 */
export class WorkerConnections {
  /** Least recently used first. */
  private readonly connections = new Map<string, CachedConnection>();

  constructor(private readonly maxConnections: number) {}

  callerFor(address: string): Caller {
    return async (call) => {
      const link = this.acquire(address);
      link.inFlight++;
      try {
        return await send(link.pool, address, call);
      } finally {
        link.inFlight--;
      }
    };
  }

  private acquire(address: string): CachedConnection {
    const known = this.connections.get(address);
    this.connections.delete(address);
    if (!known && this.connections.size >= this.maxConnections) this.closeIdle();
    const link = known ?? openConnection(address);
    this.connections.set(address, link);
    return link;
  }

  private closeIdle(): void {
    for (const [address, { pool, inFlight: busy }] of this.connections) {
      if (busy > 0) continue;
      pool.close();
      this.connections.delete(address);
      return;
    }
    throw new NotSent('all links are busy');
  }
}

function openConnection(address: string): CachedConnection {
  const { host, port } = splitAddress(address);
  return { pool: new ConnectionPool(host, port, 1), inFlight: 0 };
}
