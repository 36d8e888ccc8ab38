/** How the sockets of a process are divided, and the bounded set of connections to workers. */
import { NotSent, send, splitAddress, type Caller } from './client.js';
import { ConnectionPool } from './connection-pool.js';

/** Share of a process's sockets for the links that it opens to workers; one each, and no more than this. */
const OUTBOUND = 0.25;
/** Share for links that are few and must never lack one: peers, cloud and state service, health checks. */
const RESERVED = 0.05;
/** Share of what is left for connections from workers that are kept open; users have the rest. */
const FROM_WORKERS = 0.8;

/** How the sockets that the settings allow are divided. */
export interface Sockets {
  /** Links to workers. */
  out: number;
  /** Connections that the server takes in all, and how many of them workers may keep. */
  in: number;
  fromWorkers: number;
}

export function divide(maxSockets: number): Sockets {
  const out = Math.max(1, Math.floor(maxSockets * OUTBOUND));
  const rest = Math.max(2, Math.floor(maxSockets * (1 - RESERVED)) - out);
  return { out, in: rest, fromWorkers: Math.max(1, Math.floor(rest * FROM_WORKERS)) };
}

interface Link {
  pool: ConnectionPool;
  /** Requests under way. */
  busy: number;
}

/**
 * Kept links to many servers, one socket each and so many in all: the one idle for longest makes room for
 * another. With none idle, a request is not sent, and says so.
 */
export class Links {
  /** Least recently used first. */
  private readonly open = new Map<string, Link>();

  constructor(private readonly most: number) {}

  to(address: string): Caller {
    return async (call) => {
      const link = this.take(address);
      link.busy++;
      try {
        return await send(link.pool, address, call);
      } finally {
        link.busy--;
      }
    };
  }

  private take(address: string): Link {
    const known = this.open.get(address);
    this.open.delete(address);
    if (!known && this.open.size >= this.most) this.closeIdle();
    const link = known ?? newLink(address);
    this.open.set(address, link);
    return link;
  }

  private closeIdle(): void {
    for (const [address, { pool, busy }] of this.open) {
      if (busy > 0) continue;
      pool.close();
      this.open.delete(address);
      return;
    }
    throw new NotSent('all links are busy');
  }
}

function newLink(address: string): Link {
  const { host, port } = splitAddress(address);
  return { pool: new ConnectionPool(host, port, 1), busy: 0 };
}
