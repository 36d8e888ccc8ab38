/** Requests that wait until a machine has an owner. */
import { getOrAdd } from '../util/maps.js';

/** Promises by machine, which its ownership resolves. */
export class OwnershipWaiters {
  private readonly resolvers = new Map<string, (() => void)[]>();

  /** Resolves once the machine has an owner. */
  wait(machineId: string): Promise<void> {
    return new Promise((resolve) => {
      getOrAdd(this.resolvers, machineId, () => []).push(resolve);
    });
  }

  /** The machine has an owner now. */
  resolve(machineId: string): void {
    for (const resolve of this.resolvers.get(machineId) ?? []) resolve();
    this.resolvers.delete(machineId);
  }
}
