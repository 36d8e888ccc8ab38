/** Index of all machines, derived from the machine batches that list them. */
import type { Machine, MachineBatch } from '../model/machine.js';
import { getOrAdd, setOrDelete } from '../util/maps.js';

/** Maximum number of removed machines that are kept; beyond that the oldest are dropped. */
const MAX_REMOVED_MACHINES = 5000;

/**
 * The index depends only on the batches, not on the order in which they arrive. If several batches list a machine, the
 * one whose name sorts first is used.
 */
export class MachineIndex {
  readonly batches = new Map<string, MachineBatch>();
  readonly machines = new Map<string, Machine>();
  /** The machines whose records were removed most recently: they were returned to the cloud. */
  readonly removed = new Set<string>();
  /** Names of the batches that list a machine, by machine id; almost always one. */
  private readonly batchNames = new Map<string, Set<string>>();

  /** Applies changed batches by name; null stands for a deleted batch. Returns the machines that changed. */
  update(batches: ReadonlyMap<string, MachineBatch | null>): Set<string> {
    const affected = new Set<string>();
    for (const [name, after] of batches) {
      const before = this.batches.get(name);
      setOrDelete(this.batches, name, after);
      for (const machineId of Object.keys(before?.addresses ?? {})) {
        this.unlist(machineId, name);
        affected.add(machineId);
      }
      for (const machineId of Object.keys(after?.addresses ?? {})) {
        getOrAdd(this.batchNames, machineId, () => new Set<string>()).add(name);
        affected.add(machineId);
      }
    }
    return new Set([...affected].filter((machineId) => this.updateMachine(machineId)));
  }

  private unlist(machineId: string, name: string): void {
    const names = this.batchNames.get(machineId);
    names?.delete(name);
    if (names?.size === 0) this.batchNames.delete(machineId);
  }

  /** Updates a machine from the batches that list it. Returns whether it changed. */
  private updateMachine(machineId: string): boolean {
    const before = this.machines.get(machineId);
    const [name] = [...(this.batchNames.get(machineId) ?? [])].sort();
    const batch = name === undefined ? undefined : this.batches.get(name);
    if (name === undefined || !batch) {
      this.recordRemoved(machineId);
      return this.machines.delete(machineId);
    }
    const after = machineOf(machineId, name, batch);
    this.removed.delete(machineId);
    if (before && sameMachine(before, after)) return false;
    this.machines.set(machineId, after);
    return true;
  }

  private recordRemoved(machineId: string): void {
    this.removed.add(machineId);
    if (this.removed.size <= MAX_REMOVED_MACHINES) return;
    for (const oldest of this.removed) {
      this.removed.delete(oldest);
      return;
    }
  }
}

/** A machine with the data from its batch. */
function machineOf(machineId: string, batchName: string, batch: MachineBatch): Machine {
  const machine: Machine = {
    batch: batchName,
    address: batch.addresses[machineId] ?? '',
    machineType: batch.machineType,
    zone: batch.zone,
    spot: batch.spot,
    recordedAt: batch.recordedAt,
  };
  const drainReason = batch.drainReasons?.[machineId];
  if (drainReason !== undefined) machine.drainReason = drainReason;
  return machine;
}

function sameMachine(one: Machine, two: Machine): boolean {
  return (
    one.batch === two.batch &&
    one.address === two.address &&
    one.drainReason === two.drainReason &&
    one.machineType === two.machineType &&
    one.zone === two.zone &&
    one.spot === two.spot &&
    one.recordedAt === two.recordedAt
  );
}
