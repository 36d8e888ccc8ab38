/** Caches the callers of workers. */
import type { Caller } from '../wire/client.js';

interface CachedCaller {
  address: string;
  caller: Caller;
}

/** Keeps one caller per machine until its address changes. */
export class WorkerCallers {
  private readonly callers = new Map<string, CachedCaller>();

  constructor(private readonly callerFor: (address: string) => Caller) {}

  callerTo(machineId: string, address: string): Caller {
    const cached = this.callers.get(machineId);
    if (cached?.address === address) return cached.caller;
    const caller = this.callerFor(address);
    this.callers.set(machineId, { address, caller });
    return caller;
  }

  delete(machineId: string): void {
    this.callers.delete(machineId);
  }
}
