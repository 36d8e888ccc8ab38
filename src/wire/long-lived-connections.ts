/** Limits how many connections of long-lived routes stay open (see `Route.isLongLived`). */
import type { Socket } from 'node:net';

/** The connections that are allowed to stay open, up to a limit. */
export class LongLivedConnections {
  private readonly sockets = new Set<Socket>();

  constructor(private readonly maxConnections: number) {}

  /**
   * Returns whether the connection may stay open after its request is answered; one that may is counted until it
   * closes.
   */
  tryAdmit(socket: Socket): boolean {
    if (this.sockets.has(socket)) return true;
    if (this.sockets.size >= this.maxConnections) return false;
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    return true;
  }
}
