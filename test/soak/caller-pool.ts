/** HTTP clients of the fakes, one for each pair of ends. */
import { httpCaller, type Caller } from '../../src/wire/client.js';
import type { Address } from './relay.js';

export class CallerPool {
  private readonly callers = new Map<string, Caller>();

  /** The client of this name, made when it is first asked for. */
  callerTo(name: string, { host, port }: Address, sockets: number): Caller {
    const known = this.callers.get(name);
    if (known) return known;
    const caller = httpCaller(`${host}:${String(port)}`, sockets);
    this.callers.set(name, caller);
    return caller;
  }
}
