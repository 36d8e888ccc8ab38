/** HTTP clients used by the fakes, one for each pair of client and server. */
import { httpCaller, type Caller } from '../../src/wire/client.js';
import type { Address } from './relay.js';

export class CallerPool {
  private readonly callers = new Map<string, Caller>();

  /** Returns the client with this name; creates it on first use. */
  callerTo(name: string, { host, port }: Address, sockets: number): Caller {
    const existing = this.callers.get(name);
    if (existing) return existing;
    const caller = httpCaller(`${host}:${String(port)}`, sockets);
    this.callers.set(name, caller);
    return caller;
  }
}
