/** The machines that there are, derived from the machine batches that list them. */
import { getOrAdd, setOrDelete } from './maps.js';
import type { MachineBatchRecord, MachineRecord } from './records.js';

/** Names of removed machines kept in memory. */
const REMOVED_KEPT = 5000;

/**
 * A machine's record follows from the batches alone: should several list it, the one that is first by name counts,
 * whatever the order in which they became known.
 */
export class MachineIndex {
  readonly batches = new Map<string, MachineBatchRecord>();
  readonly machines = new Map<string, MachineRecord>();
  /** The last machines whose records were removed: they were given back. */
  readonly removed = new Set<string>();
  /** Machine -> names of the batches that list it; nearly always one. */
  private readonly listedIn = new Map<string, Set<string>>();

  /** Takes up changed batches by name, null for those that were deleted; the machines whose records changed. */
  update(batches: ReadonlyMap<string, MachineBatchRecord | null>): Set<string> {
    const affected = new Set<string>();
    for (const [name, after] of batches) {
      const before = this.batches.get(name);
      setOrDelete(this.batches, name, after);
      for (const machine of Object.keys(before?.b ?? {})) {
        this.unlist(machine, name);
        affected.add(machine);
      }
      for (const machine of Object.keys(after?.b ?? {})) {
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
export function recordOf(machine: string, name: string, batch: MachineBatchRecord): MachineRecord {
  const record: MachineRecord = {
    batch: name,
    address: batch.b[machine] ?? '',
    flavor: batch.f,
    site: batch.s,
    reclaimable: batch.r,
    at: batch.at,
  };
  const going = batch.g?.[machine];
  if (going !== undefined) record.drainReason = going;
  return record;
}

function sameRecord(one: MachineRecord, two: MachineRecord): boolean {
  return (
    one.batch === two.batch &&
    one.address === two.address &&
    one.drainReason === two.drainReason &&
    one.flavor === two.flavor &&
    one.site === two.site &&
    one.reclaimable === two.reclaimable &&
    one.at === two.at
  );
}
