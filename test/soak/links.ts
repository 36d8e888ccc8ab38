/** The servers of the fakes, and the relays that connect controllers, workers and the external services. */
import type { Server } from 'node:http';
import type { Answer, Call } from '../../src/wire/client.js';
import { serveFake } from './fake-server.js';
import { Relay, type Address, type RelayMode } from './relay.js';

/** Type of traffic of a relay; `mesh` is the traffic between controllers. */
export type LinkKind = 'store' | 'cloud' | 'mesh' | 'heartbeat' | 'command';

/** A link between two processes, identified by the names of its client and its server. */
export interface Link {
  kind: LinkKind;
  from: string;
  to: string;
}

export class Links {
  private readonly relays: (Link & { relay: Relay })[] = [];
  private readonly servers: Server[] = [];

  /** Serves a fake at an address and returns the bound address; port 0 selects a free port. */
  async serve(
    { host, port }: Address,
    handle: (call: Call) => Promise<Answer> | Answer,
  ): Promise<Address> {
    const server = await serveFake({ host, port }, handle);
    this.servers.push(server);
    const bound = server.address();
    return { host, port: typeof bound === 'object' && bound ? bound.port : port };
  }

  /** Opens a relay that forwards to `target`, and returns the address it listens on; port 0 selects a free port. */
  async openRelay(link: Link, target: Address, { host, port }: Address): Promise<Address> {
    const relay = new Relay(target);
    this.relays.push({ ...link, relay });
    return { host, port: await relay.listen(host, port) };
  }

  /** Sets the mode and delay of the relays of a kind that begin or end at `endpoint`; null selects all of the kind. */
  setMode(kind: LinkKind, endpoint: string | null, mode: RelayMode, delayMs = 0): void {
    for (const link of this.relays)
      if (
        link.kind === kind &&
        (endpoint === null || link.from === endpoint || link.to === endpoint)
      )
        link.relay.setMode(mode, delayMs);
  }

  close(): void {
    for (const { relay } of this.relays) relay.close();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}
