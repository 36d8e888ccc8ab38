/** Groups machines into the batches that their records are stored by: pure functions. */
import type { MachineBatch, RentalOffer } from '../model/machine.js';
import { machineBatchBytes, machineBytes } from '../store/records/index.js';

/** A machine that is to be recorded. */
export interface UnrecordedMachine extends RentalOffer {
  machineId: string;
  address: string;
  /** Time of day at which it was first seen, in milliseconds. */
  firstSeenAt: number;
}

/** A batch that further machines of its kind may be added to. */
interface OpenBatch {
  batch: MachineBatch;
  bytes: number;
}

/** Batches of machines of one kind each, with room in each record to mark all of its machines as draining. */
export function groupIntoBatches(
  machines: readonly UnrecordedMachine[],
  maxBytes: number,
): MachineBatch[] {
  const batches: MachineBatch[] = [];
  const openByKind = new Map<string, OpenBatch>();
  for (const machine of machines) {
    const kind = `${machine.machineType} ${machine.zone} ${String(machine.spot)}`;
    if (addIfFits(openByKind.get(kind), machine, maxBytes)) continue;
    const batch = batchOf(machine);
    openByKind.set(kind, { batch, bytes: machineBatchBytes(batch) });
    batches.push(batch);
  }
  return batches;
}

function addIfFits(
  open: OpenBatch | undefined,
  { machineId, address }: UnrecordedMachine,
  maxBytes: number,
): boolean {
  if (!open) return false;
  const bytes = open.bytes + machineBytes(machineId, address);
  if (bytes >= maxBytes) return false;
  open.batch.addresses[machineId] = address;
  open.bytes = bytes;
  return true;
}

function batchOf(machine: UnrecordedMachine): MachineBatch {
  const { machineId, address, machineType, zone, spot, firstSeenAt } = machine;
  return {
    machineType,
    zone,
    spot,
    recordedAt: firstSeenAt,
    addresses: { [machineId]: address },
  };
}
