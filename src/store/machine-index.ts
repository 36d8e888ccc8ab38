/** The machines that there are, derived from the machine batches that list them. */
import { getOrAdd, setOrDelete } from '../util/maps.js';
import type { Machine, MachineBatch } from '../model/machine.js';

/** Names of removed machines kept in memory. */
const REMOVED_KEPT = 5000;

/**
 * A machine's record follows from the batches alone: should several list it, the one that is first by name counts,
 * whatever the order in which they became known.
 */
export class MachineIndex {
  readonly batches = new Map<string, MachineBatch>();
  readonly machines = new Map<string, Machine>();
  /** The last machines whose records were removed: they were given back. */
  readonly removed = new Set<string>();
  /** Machine -> names of the batches that list it; nearly always one. */
  private readonly listedIn = new Map<string, Set<string>>();

  /** Takes up changed batches by name, null for those that were deleted; the machines whose records changed. */
  update(batches: ReadonlyMap<string, MachineBatch | null>): Set<string> {
    const affected = new Set<string>();
    for (const [name, after] of batches) {
      const before = this.batches.get(name);
      setOrDelete(this.batches, name, after);
      for (const machine of Object.keys(before?.addresses ?? {})) {
        this.unlist(machine, name);
        affected.add(machine);
      }
      for (const machine of Object.keys(after?.addresses ?? {})) {
        getOrAdd(this.listedIn, machine, () => new Set<string>()).add(name);
        affected.add(machine);
      }
    }
    return new Set([...affected].filter((machine) => this.settle(machine)));
  }

  private unlist(machine: string, name: string): void {
    const names = this.listedIn.get(machine);
    names?.delete(name);
    if (names?.size === 0) this.listedIn.delete(machine);
  }

  /** Brings a machine's record in line with the batches; whether it changed. */
  private settle(machine: string): boolean {
    const before = this.machines.get(machine);
    const [name] = [...(this.listedIn.get(machine) ?? [])].sort();
    const batch = name === undefined ? undefined : this.batches.get(name);
    if (name === undefined || !batch) {
      this.noteRemoved(machine);
      return this.machines.delete(machine);
    }
    const after = recordOf(machine, name, batch);
    this.removed.delete(machine);
    if (before && sameRecord(before, after)) return false;
    this.machines.set(machine, after);
    return true;
  }

  private noteRemoved(machine: string): void {
    this.removed.add(machine);
    if (this.removed.size <= REMOVED_KEPT) return;
    for (const oldest of this.removed) {
      this.removed.delete(oldest);
      break;
    }
  }
}

/** A machine as its batch tells. */
export function recordOf(machine: string, name: string, batch: MachineBatch): Machine {
  const record: Machine = {
    batch: name,
    address: batch.addresses[machine] ?? '',
    machineType: batch.machineType,
    zone: batch.zone,
    spot: batch.spot,
    recordedAt: batch.recordedAt,
  };
  const going = batch.drainReasons?.[machine];
  if (going !== undefined) record.drainReason = going;
  return record;
}

function sameRecord(one: Machine, two: Machine): boolean {
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
