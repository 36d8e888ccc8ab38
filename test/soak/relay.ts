/** A TCP relay on loopback that can drop, delay or hold traffic. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** How received bytes are treated: forwarded, dropped, or held until the mode is `pass` again. */
export type RelayMode = 'pass' | 'drop' | 'hold';

export interface Address {
  host: string;
  port: number;
}

/** Forwards all connections that it accepts to one server. */
export class Relay {
  private mode: RelayMode = 'pass';
  private delayMs = 0;
  private held: (() => void)[] = [];
  /** Number of chunks and connection ends dropped so far. */
  droppedChunks = 0;
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

  /** Sets the mode and delay for traffic from now on. In mode `pass`, held traffic is delivered in its order. */
  setMode(mode: RelayMode, delayMs = 0): void {
    this.mode = mode;
    this.delayMs = delayMs;
    if (mode !== 'pass') return;
    const { held } = this;
    this.held = [];
    for (const deliver of held) deliver();
  }

  /** Number of chunks and connection ends that are held. */
  get heldChunks(): number {
    return this.held.length;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(client: Socket): void {
    const upstream = connect({ ...this.target, noDelay: true });
    this.pipe(client, upstream);
    this.pipe(upstream, client);
  }

  private pipe(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('error', () => undefined);
    from.on('data', (bytes: Buffer) => {
      this.forward(() => {
        if (!to.destroyed) to.write(bytes);
      });
    });
    from.on('close', () => {
      this.sockets.delete(from);
      this.forward(() => {
        to.end();
      });
    });
  }

  private forward(deliver: () => void): void {
    if (this.mode === 'drop') {
      this.droppedChunks++;
      return;
    }
    if (this.mode === 'hold' || this.held.length > 0) this.held.push(deliver);
    else if (this.delayMs > 0) setTimeout(deliver, this.delayMs);
    else deliver();
  }
}
