/** Builds the records of rented machines: batches within the size limit of a stored value. */
import type { MachineBatch, RentalRequest } from '../model/machine.js';
import { encodeMachineBatch, keys } from '../store/records/index.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';
import type { Body } from '../wire/codec.js';

/** Bytes that are reserved in a batch for one machine's address and drain reason. */
const ADDRESS_BYTES = 48;
/** Bytes that are reserved in a batch for its other fields. */
const BATCH_FIELDS_BYTES = ADDRESS_BYTES * 2;

/** The write of a new batch. */
export interface NewBatch {
  put: string;
  value: Body;
}

/** How batches are recorded. */
export interface BatchOptions {
  /** Size limit of one stored value, in bytes. */
  maxValueBytes: number;
  /** Wall-clock time, in milliseconds. */
  recordedAt: number;
}

/** The rented machines of a request, as batches that stay within the limit once all addresses are recorded. */
export function newBatches(
  { requestId, machineType, zone, spot }: RentalRequest,
  machineIds: readonly string[],
  { maxValueBytes, recordedAt }: BatchOptions,
): NewBatch[] {
  const machinesPerBatch = maxMachinesPerBatch(machineIds, maxValueBytes);
  const batches: NewBatch[] = [];
  for (let from = 0; from < machineIds.length; from += machinesPerBatch) {
    const inBatch = machineIds.slice(from, from + machinesPerBatch);
    const batch: MachineBatch = {
      machineType,
      zone,
      spot,
      recordedAt,
      addresses: Object.fromEntries(inBatch.map((machineId) => [machineId, ''])),
    };
    batches.push({
      put: keys.machineBatch(`${requestId}.${String(from)}`),
      value: encodeMachineBatch(batch),
    });
  }
  return batches;
}

function maxMachinesPerBatch(machineIds: readonly string[], maxValueBytes: number): number {
  const longestId = Math.max(1, ...machineIds.map((machineId) => machineId.length));
  const availableBytes = maxValueBytes * VALUE_FILL_RATIO - BATCH_FIELDS_BYTES;
  return Math.max(1, Math.floor(availableBytes / (longestId + ADDRESS_BYTES)));
}
