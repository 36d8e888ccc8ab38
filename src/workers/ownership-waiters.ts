/** Lets requests wait until a machine has an owner. */
import { getOrAdd } from '../util/maps.js';

/** Pending promises by machine id, resolved when the machine has an owner. */
export class OwnershipWaiters {
  private readonly resolvers = new Map<string, (() => void)[]>();

  /** Resolves once the machine has an owner. */
  wait(machineId: string): Promise<void> {
    return new Promise((resolve) => {
      getOrAdd(this.resolvers, machineId, () => []).push(resolve);
    });
  }

  /** Resolves all promises for a machine; called once it has an owner. */
  resolve(machineId: string): void {
    for (const resolve of this.resolvers.get(machineId) ?? []) resolve();
    this.resolvers.delete(machineId);
  }
}
