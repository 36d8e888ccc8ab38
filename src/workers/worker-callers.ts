/** How the workers of the machines are called. */
import type { Caller } from '../wire/client.js';

interface KnownCaller {
  address: string;
  caller: Caller;
}

/** Keeps one caller a machine, for as long as its address stays the same. */
export class WorkerCallers {
  private readonly callers = new Map<string, KnownCaller>();

  constructor(private readonly callerFor: (address: string) => Caller) {}

  callerTo(machineId: string, address: string): Caller {
    const known = this.callers.get(machineId);
    if (known?.address === address) return known.caller;
    const caller = this.callerFor(address);
    this.callers.set(machineId, { address, caller });
    return caller;
  }

  delete(machineId: string): void {
    this.callers.delete(machineId);
  }
}
