/** Bounds the connections that stay open although there are many of their kind. */
import type { Socket } from 'node:net';

/** The connections that have been let stay open. */
export class LongLivedConnections {
  private readonly sockets = new Set<Socket>();

  constructor(private readonly maxConnections: number) {}

  /** Whether the connection may stay open after its request is answered. */
  admits(socket: Socket): boolean {
    if (this.sockets.has(socket)) return true;
    if (this.sockets.size >= this.maxConnections) return false;
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    return true;
  }
}
