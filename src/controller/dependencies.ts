/** External dependencies of a controller. */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { PeerClient } from '../mesh/peer-connection.js';
import type { Caller } from '../wire/client.js';

/** Clock, connections and memory state; tests pass fakes. */
export interface Dependencies {
  clock: Clock;
  log: Log;
  store: Caller;
  /** The state service, for watches: these requests stay open for long, so they have sockets of their own. */
  storeWatch: Caller;
  cloud: Caller;
  /** Client for the worker at an address. */
  worker(address: string): Caller;
  /** Client for the controller at an internal address. */
  peer(address: string): PeerClient;
  /** Whether new jobs must be refused because memory is running out. */
  memoryIsShort(): boolean;
}
