/** A relay of TCP connections on loopback that can cut, delay or hold what passes. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** What happens to bytes that meet the relay: passed, swallowed, or held until it passes again. */
export type RelayMode = 'pass' | 'drop' | 'hold';

export interface Address {
  host: string;
  port: number;
}

/** One link from somebody to one server. */
export class Relay {
  private mode: RelayMode = 'pass';
  private delayMs = 0;
  private held: (() => void)[] = [];
  /** Pieces that were swallowed so far. */
  droppedPieces = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly target: Address) {
    this.server = createServer({ noDelay: true }, (client) => {
      this.accept(client);
    });
  }

  async listen(host: string, port = 0): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** From now on; what was held goes on in its order once bytes pass again. */
  set(mode: RelayMode, delayMs = 0): void {
    this.mode = mode;
    this.delayMs = delayMs;
    if (mode !== 'pass') return;
    const { held } = this;
    this.held = [];
    for (const pass of held) pass();
  }

  /** Pieces that wait until bytes pass again. */
  get heldPieces(): number {
    return this.held.length;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(client: Socket): void {
    const upstream = connect({ ...this.target, noDelay: true });
    this.join(client, upstream);
    this.join(upstream, client);
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('error', () => undefined);
    from.on('data', (bytes: Buffer) => {
      this.carry(() => {
        if (!to.destroyed) to.write(bytes);
      });
    });
    from.on('close', () => {
      this.sockets.delete(from);
      this.carry(() => {
        to.end();
      });
    });
  }

  private carry(pass: () => void): void {
    if (this.mode === 'drop') {
      this.droppedPieces++;
      return;
    }
    if (this.mode === 'hold' || this.held.length > 0) this.held.push(pass);
    else if (this.delayMs > 0) setTimeout(pass, this.delayMs);
    else pass();
  }
}
