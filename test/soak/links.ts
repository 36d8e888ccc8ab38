/** The servers of the fakes and the relays through which everybody reaches everybody. */
import type { Server } from 'node:http';
import type { Answer, Call } from '../../src/wire/client.js';
import { serveFake } from './fake-server.js';
import { Relay, type Address, type RelayMode } from './relay.js';

/** What a relay carries. */
export type LinkKind = 'store' | 'cloud' | 'mesh' | 'heartbeat' | 'command';

/** A link from somebody to somebody, by their names. */
export interface Link {
  kind: LinkKind;
  from: string;
  to: string;
}

export class Links {
  private readonly relays: (Link & { relay: Relay })[] = [];
  private readonly servers: Server[] = [];

  /** Serves a fake at an address; port 0: any that is free. */
  async serve(
    { host, port }: Address,
    handle: (call: Call) => Promise<Answer> | Answer,
  ): Promise<Address> {
    const server = await serveFake({ host, port }, handle);
    this.servers.push(server);
    const bound = server.address();
    return { host, port: typeof bound === 'object' && bound ? bound.port : port };
  }

  /** Opens a relay at `listen` that passes on to `target`; where it listens. */
  async relay(link: Link, target: Address, { host, port }: Address): Promise<Address> {
    const relay = new Relay(target);
    this.relays.push({ ...link, relay });
    return { host, port: await relay.listen(host, port) };
  }

  /** Sets how all relays of a kind behave that concern somebody, or all of them. */
  set(kind: LinkKind, concerned: string | null, mode: RelayMode, delayMs = 0): void {
    for (const link of this.relays)
      if (
        link.kind === kind &&
        (concerned === null || link.from === concerned || link.to === concerned)
      )
        link.relay.set(mode, delayMs);
  }

  close(): void {
    for (const { relay } of this.relays) relay.close();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}
