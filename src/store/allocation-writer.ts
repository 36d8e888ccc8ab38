/** Writes changes of allocations into the partitions in which they are stored. */
import {
  concatAllocations,
  intersectAllocations,
  machinesOfEither,
  subtractAllocations,
  type PackedAllocations,
} from '../model/allocations.js';
import type { AllocationsByMachine } from '../model/job.js';
import { without } from '../util/records.js';
import {
  allocationConditions,
  isLargeDomain,
  maxPartitionConditions,
} from './allocation-conditions.js';
import type { PendingWrites } from './pending-writes.js';
import {
  allocationsPrefix,
  decodeAllocations,
  encodeDomainHead,
  keyParts,
  keys,
  type AllocationRecord,
} from './records/index.js';
import type { State } from './state.js';
import { VALUE_FILL_RATIO, type TransactionLimits } from './transaction-limits.js';
import type { TransactionStep } from './transaction-step.js';
import { bytesOf, jsonBytes } from './value-size.js';

/** Bytes of the punctuation around a name in a record: quotes, colon, comma and braces. */
const PUNCTUATION_BYTES = 6;

/** Allocations of one job that are to be added on a machine. */
interface Addition {
  machineId: string;
  allocations: PackedAllocations;
}

/** Adds to the partitions of the own domain only; removes allocations wherever they are stored. */
export class AllocationWriter {
  /** What the keys of the own partitions begin with. */
  private readonly ownPrefix: string;

  constructor(
    private readonly state: State,
    private readonly host: string,
    private readonly limits: TransactionLimits,
    private readonly pending: PendingWrites,
  ) {
    this.ownPrefix = allocationsPrefix(host);
  }

  /** An allocation partition with the changes accepted so far, and those of a step if one is given. */
  partition(key: string, step?: TransactionStep): AllocationRecord {
    const edited = step?.partition(key);
    if (edited) return edited;
    const pending = this.pending.get(key);
    return pending ? decodeAllocations(pending) : this.state.allocationsIn(key);
  }

  /** Writes the difference between two states of a job's allocations; false if not all of it fits. */
  replace(
    jobId: string,
    before: AllocationsByMachine,
    after: AllocationsByMachine,
    step: TransactionStep,
  ): boolean {
    const additions: Addition[] = [];
    for (const machineId of machinesOfEither(before, after)) {
      const former = before[machineId] ?? [];
      const next = after[machineId] ?? [];
      if (former === next) continue;
      if (subtractAllocations(former, next).length > 0) this.retain(jobId, machineId, next, step);
      const added = subtractAllocations(next, former);
      if (added.length > 0) additions.push({ machineId, allocations: added });
    }
    return additions.length === 0 || this.add(jobId, additions, step);
  }

  /** Moves what a partition of another domain holds of a job on a machine into the own ones; false if it does not fit. */
  moveToOwn(key: string, jobId: string, addition: Addition, step: TransactionStep): boolean {
    if (!this.add(jobId, [addition], step)) return false;
    setAllocations(this.edit(key, step), jobId, addition.machineId, []);
    return true;
  }

  /** Removes a job's allocations on a machine but for those to keep, from all partitions that hold any. */
  private retain(
    jobId: string,
    machineId: string,
    kept: PackedAllocations,
    step: TransactionStep,
  ): void {
    for (const key of this.partitionKeysOf(jobId, step)) {
      const allocations = this.partition(key, step)[jobId]?.[machineId];
      if (!allocations) continue;
      const left = intersectAllocations(allocations, kept);
      if (left.length < allocations.length)
        setAllocations(this.edit(key, step), jobId, machineId, left);
    }
  }

  /** Keys of the partitions that name a job, and of the own ones that this transaction changes and that may name it. */
  private partitionKeysOf(jobId: string, step: TransactionStep): Set<string> {
    const partitionKeys = new Set(this.state.allocationPartitionsOf(jobId).keys());
    for (const key of [...this.pending.keys(), ...step.values.keys()])
      if (this.isOwnPartition(key)) partitionKeys.add(key);
    return partitionKeys;
  }

  /**
   * Adds allocations to the own partitions that name the job already, then to others with room, machine by machine.
   * What may be added follows from what all own partitions hold, so there is a condition on each: an own commit that
   * this process does not know of, of an earlier incarnation or without an answer, makes this transaction fail.
   */
  private add(jobId: string, additions: readonly Addition[], step: TransactionStep): boolean {
    const { maxWrites } = this.limits;
    for (const condition of allocationConditions(this.state, this.host, maxWrites))
      this.pending.require(condition);
    const namesJob = (key: string): boolean => jobId in this.partition(key, step);
    const candidates = this.ownPartitionKeys();
    const inOrder = [...candidates.filter(namesJob), ...candidates.filter((key) => !namesJob(key))];
    let next = 0;
    for (const key of inOrder) {
      next = this.fill(key, jobId, { additions, next }, step);
      if (next === additions.length) return this.putHeadIfLarge(step);
    }
    return false;
  }

  /** Adds as many of the additions, from `next` on, as a partition has room for; returns the first that is left. */
  private fill(
    key: string,
    jobId: string,
    { additions, next }: { additions: readonly Addition[]; next: number },
    step: TransactionStep,
  ): number {
    let room = this.limits.maxValueBytes * VALUE_FILL_RATIO - this.bytesOfPartition(key, step);
    if (!(jobId in this.partition(key, step))) room -= jobId.length + PUNCTUATION_BYTES;
    let index = next;
    for (; index < additions.length; index++) {
      const addition = additions[index];
      if (!addition) break;
      const { machineId, allocations } = addition;
      room -= bytesOf(machineId) + bytesOf(allocations) + PUNCTUATION_BYTES;
      if (room < 0) break;
      const partition = this.edit(key, step);
      const others = partition[jobId]?.[machineId] ?? [];
      setAllocations(partition, jobId, machineId, concatAllocations(others, allocations));
    }
    return index;
  }

  /** Own partitions that may be added to: those there are, and as many more as this transaction could create. */
  private ownPartitionKeys(): string[] {
    const { maxWrites } = this.limits;
    const own = [...this.state.allocationKeys(this.host)];
    const most = Math.max(maxPartitionConditions(maxWrites), own.length + maxWrites);
    for (let part = own.length; part < most; part++) own.push(keys.allocations(this.host, part));
    return own;
  }

  /** Transactions that rest on a large domain's allocations have a condition on its head alone; false if it has none. */
  private putHeadIfLarge(step: TransactionStep): boolean {
    const { maxWrites } = this.limits;
    if (!this.makesLarge(step) && !isLargeDomain(this.state, this.host, maxWrites)) return true;
    const domain = this.state.domains.get(this.host);
    if (!domain) return false;
    step.put(keys.domain(this.host), encodeDomainHead(domain));
    return true;
  }

  private makesLarge(step: TransactionStep): boolean {
    const mostConditions = maxPartitionConditions(this.limits.maxWrites);
    return [...step.values.keys()].some(
      (key) => this.isOwnPartition(key) && keyParts(key).part >= mostConditions,
    );
  }

  private isOwnPartition(key: string): boolean {
    return key.startsWith(this.ownPrefix);
  }

  private edit(key: string, step: TransactionStep): AllocationRecord {
    return step.editPartition(key, this.partition(key, step));
  }

  private bytesOfPartition(key: string, step: TransactionStep): number {
    const edited = step.partition(key);
    return edited ? jsonBytes(edited) : bytesOf(this.partition(key));
  }
}

/** Replaces a job's allocations on a machine, in a partition that is being changed. */
function setAllocations(
  partition: AllocationRecord,
  jobId: string,
  machineId: string,
  allocations: PackedAllocations,
): void {
  const byMachine = without(partition[jobId] ?? {}, machineId);
  if (allocations.length > 0) byMachine[machineId] = allocations;
  if (Object.keys(byMachine).length > 0) partition[jobId] = byMachine;
  // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- a copy made for this step
  else delete partition[jobId];
}
