/** What a controller needs of the world around it. */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { PeerClient } from '../mesh/peer-connection.js';
import type { Caller } from '../wire/client.js';

/** Clocks, connections and memory; tests hand in fakes. */
export interface Dependencies {
  clock: Clock;
  log: Log;
  store: Caller;
  /** The state service again: watches hang for long, so they have sockets of their own. */
  storeWatch: Caller;
  cloud: Caller;
  /** The worker at an address. */
  worker(address: string): Caller;
  /** The controller at an internal address. */
  peer(address: string): PeerClient;
  /** Whether new jobs must be refused because memory runs out. */
  memoryIsShort(): boolean;
}
