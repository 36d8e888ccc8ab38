/** Builds transactions that change jobs and the allocations on this controller's machines. */
import { machinesOfEither } from '../model/allocations.js';
import type { JobRecord } from '../model/job.js';
import type { Body } from '../wire/codec.js';
import { AllocationWriter } from './allocation-writer.js';
import type { Condition, Transaction } from './client.js';
import { PendingWrites } from './pending-writes.js';
import { encodeJob, keys } from './records/index.js';
import type { State } from './state.js';
import type { TransactionLimits } from './transaction-limits.js';
import { TransactionStep } from './transaction-step.js';

/**
 * A transaction that is being built, with as many changes as fit. Changes that are prepared later are based on those
 * that were accepted before.
 */
export class TransactionBuilder {
  private readonly pending: PendingWrites;
  private readonly allocations: AllocationWriter;
  private readonly jobs = new Map<string, JobRecord>();
  /** Machines whose tasks this transaction changes. */
  readonly changedMachines = new Set<string>();

  /** `host` is the name of this controller. */
  constructor(
    private readonly state: State,
    host: string,
    limits: TransactionLimits,
  ) {
    this.pending = new PendingWrites(state, limits);
    this.allocations = new AllocationWriter(state, host, limits, this.pending);
  }

  /** A job with the changes accepted so far. */
  job(jobId: string): JobRecord | undefined {
    return this.jobs.get(jobId) ?? this.state.jobs.get(jobId);
  }

  /** Number of records that this transaction writes. */
  get size(): number {
    return this.pending.size;
  }

  /** Adds a condition, replacing an earlier one on the same key. */
  require(condition: Condition): void {
    this.pending.require(condition);
  }

  /** Accepts a job's next state. Returns false, and writes nothing, if it does not fit or if there is no such job. */
  set(jobId: string, next: JobRecord): boolean {
    const before = this.job(jobId);
    if (!before) return false;
    const step = new TransactionStep();
    if (!sameJobState(before, next)) step.put(keys.job(jobId), encodeJob(next));
    const former = before.allocationsByMachine;
    const after = next.allocationsByMachine;
    if (!this.allocations.replace(jobId, former, after, step)) return false;
    if (!this.pending.accept(step.values)) return false;
    this.jobs.set(jobId, next);
    for (const machineId of machinesOfEither(former, after))
      if (former[machineId] !== after[machineId]) this.changedMachines.add(machineId);
    return true;
  }

  /**
   * Moves the allocations on this controller's machines from another domain's partition to its own partitions. Returns
   * false if not all fit. Those that fit are moved anyway, so the rest can follow in another transaction.
   */
  adopt(key: string, isOwnMachine: (machineId: string) => boolean): boolean {
    for (const [jobId, byMachine] of Object.entries(this.allocations.partition(key)))
      for (const [machineId, allocations] of Object.entries(byMachine)) {
        if (!isOwnMachine(machineId)) continue;
        const step = new TransactionStep();
        if (!this.allocations.moveToOwn(key, jobId, { machineId, allocations }, step)) return false;
        if (!this.pending.accept(step.values)) return false;
      }
    return true;
  }

  build(): Transaction {
    return this.pending.toTransaction();
  }
}

/**
 * Whether two states of a job are equal except for the allocations. Most of their fields are identical objects, so
 * identity is checked before the JSON forms are compared.
 */
function sameJobState(one: JobRecord, two: JobRecord): boolean {
  const before: Body = { ...one };
  const after: Body = { ...two };
  for (const field of new Set([...Object.keys(before), ...Object.keys(after)])) {
    if (field === 'allocationsByMachine' || before[field] === after[field]) continue;
    if (JSON.stringify(before[field]) !== JSON.stringify(after[field])) return false;
  }
  return true;
}
