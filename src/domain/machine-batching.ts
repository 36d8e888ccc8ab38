/** Groups machines into the batches in which their records are stored: pure functions. */
import type { MachineBatch, RentalOffer } from '../model/machine.js';
import { machineBatchBytes, machineBytes } from '../store/records/index.js';

/** A machine that has no record yet. */
export interface UnrecordedMachine extends RentalOffer {
  machineId: string;
  address: string;
  /** Wall-clock time at which it was first seen, in milliseconds. */
  firstSeenAt: number;
}

/** A batch to which more machines of its kind may be added. */
interface OpenBatch {
  batch: MachineBatch;
  bytes: number;
}

/**
 * Groups machines into batches of one kind each: same machine type, zone and spot flag. Each record has enough space left
 * to mark all of its machines as draining.
 */
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
