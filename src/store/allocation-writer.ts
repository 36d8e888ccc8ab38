/** Writes changes of allocations to the partitions that store them. */
import {
  allocationBytes,
  concatAllocations,
  forEachAllocation,
  intersectAllocations,
  machinesOfEither,
  NUMBERS_PER_ALLOCATION,
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
  parseKey,
  keys,
  type AllocationRecord,
} from './records/index.js';
import type { State } from './state.js';
import { VALUE_FILL_RATIO, type TransactionLimits } from './transaction-limits.js';
import type { TransactionStep } from './transaction-step.js';
import { bytesOf, jsonBytes } from './value-size.js';

/** Bytes of the punctuation around a name in a record: quotes, colon, comma and braces. */
const PUNCTUATION_BYTES = 6;

/** Allocations to add for one job on one machine. */
interface Addition {
  machineId: string;
  allocations: PackedAllocations;
}

/**
 * Adds allocations to the partitions of this controller's domain only, but removes them from the partitions of any
 * domain.
 */
export class AllocationWriter {
  /** Key prefix of the partitions of this controller's domain. */
  private readonly ownPrefix: string;

  constructor(
    private readonly state: State,
    private readonly host: string,
    private readonly limits: TransactionLimits,
    private readonly pending: PendingWrites,
  ) {
    this.ownPrefix = allocationsPrefix(host);
  }

  /** An allocation partition with the changes accepted so far, and with those of `step` if it is given. */
  partition(key: string, step?: TransactionStep): AllocationRecord {
    const edited = step?.partition(key);
    if (edited) return edited;
    const pending = this.pending.get(key);
    return pending ? decodeAllocations(pending) : this.state.allocationsIn(key);
  }

  /** Writes the difference between two states of a job's allocations. Returns false if not all of it fits. */
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
      if (subtractAllocations(former, next).length > 0)
        this.removeExcept(jobId, machineId, next, step);
      const added = subtractAllocations(next, former);
      if (added.length > 0) additions.push({ machineId, allocations: added });
    }
    return additions.length === 0 || this.add(jobId, additions, step);
  }

  /**
   * Moves a job's allocations on a machine from a partition of another domain to this controller's partitions. Returns
   * false if they do not fit.
   */
  moveToOwn(key: string, jobId: string, addition: Addition, step: TransactionStep): boolean {
    if (!this.add(jobId, [addition], step)) return false;
    setAllocations(this.edit(key, step), jobId, addition.machineId, []);
    return true;
  }

  /** Removes a job's allocations on a machine, except those in `kept`, from all partitions that contain any. */
  private removeExcept(
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

  /**
   * Keys of the partitions that contain a job, and of those of this controller's partitions that this transaction
   * changes: they may contain the job too.
   */
  private partitionKeysOf(jobId: string, step: TransactionStep): Set<string> {
    const partitionKeys = new Set(this.state.allocationPartitionsOf(jobId).keys());
    for (const key of [...this.pending.keys(), ...step.values.keys()])
      if (this.isOwnPartition(key)) partitionKeys.add(key);
    return partitionKeys;
  }

  /**
   * Adds allocations machine by machine: first to those of this controller's partitions that already contain the job,
   * then to others with room. What may be added depends on the content of all of them, so there is a condition on each.
   * A commit of this controller that is missing from the replica (made by an earlier incarnation, or not answered) then
   * makes this transaction fail.
   */
  private add(jobId: string, additions: readonly Addition[], step: TransactionStep): boolean {
    const { maxWrites } = this.limits;
    for (const condition of allocationConditions(this.state, this.host, maxWrites))
      this.pending.require(condition);
    const namesJob = (key: string): boolean => jobId in this.partition(key, step);
    const candidates = this.ownPartitionKeys();
    const inOrder = [...candidates.filter(namesJob), ...candidates.filter((key) => !namesJob(key))];
    let left = additions;
    for (const key of inOrder) {
      left = this.fill(key, jobId, left, step);
      if (left.length === 0) return this.putHeadIfLarge(step);
    }
    return false;
  }

  /**
   * Adds as many of the additions as a partition has room for, and returns the others. Only an addition that is too
   * large for an empty partition is split.
   */
  private fill(
    key: string,
    jobId: string,
    additions: readonly Addition[],
    step: TransactionStep,
  ): readonly Addition[] {
    const maxBytes = this.limits.maxValueBytes * VALUE_FILL_RATIO;
    const jobBytes = jobId.length + PUNCTUATION_BYTES;
    let roomBytes = maxBytes - this.bytesOfPartition(key, step);
    if (!(jobId in this.partition(key, step))) roomBytes -= jobBytes;
    for (const [index, addition] of additions.entries()) {
      const { machineId, allocations } = addition;
      const machineBytes = bytesOf(machineId) + PUNCTUATION_BYTES;
      const bytes = machineBytes + bytesOf(allocations);
      if (bytes > roomBytes) {
        const rest = additions.slice(index);
        if (bytes <= maxBytes - jobBytes) return rest;
        return this.fillPart(key, jobId, rest, { roomBytes: roomBytes - machineBytes, step });
      }
      roomBytes -= bytes;
      this.append(key, jobId, addition, step);
    }
    return [];
  }

  /** Adds as much of the first addition as fits into the room, and returns its rest and the others. */
  private fillPart(
    key: string,
    jobId: string,
    [first, ...others]: readonly Addition[],
    { roomBytes, step }: { roomBytes: number; step: TransactionStep },
  ): readonly Addition[] {
    if (!first) return others;
    const { machineId, allocations } = first;
    const fittingLength = fittingPrefixLength(allocations, roomBytes);
    if (fittingLength > 0)
      this.append(
        key,
        jobId,
        { machineId, allocations: allocations.slice(0, fittingLength) },
        step,
      );
    return [{ machineId, allocations: allocations.slice(fittingLength) }, ...others];
  }

  private append(key: string, jobId: string, addition: Addition, step: TransactionStep): void {
    const { machineId, allocations } = addition;
    const partition = this.edit(key, step);
    const others = partition[jobId]?.[machineId] ?? [];
    setAllocations(partition, jobId, machineId, concatAllocations(others, allocations));
  }

  /**
   * Keys of this controller's partitions that allocations may be added to: the existing ones, and as many new ones as
   * this transaction could create.
   */
  private ownPartitionKeys(): string[] {
    const { maxWrites } = this.limits;
    const own = [...this.state.allocationPartitionKeys(this.host)];
    const maxCount = Math.max(maxPartitionConditions(maxWrites), own.length + maxWrites);
    for (let part = own.length; part < maxCount; part++)
      own.push(keys.allocations(this.host, part));
    return own;
  }

  /**
   * Writes the domain's head if the domain is large or becomes so: transactions that depend on the allocations of a
   * large domain have a condition on its head alone. Returns false if the domain has no head.
   */
  private putHeadIfLarge(step: TransactionStep): boolean {
    const { maxWrites } = this.limits;
    if (!this.makesDomainLarge(step) && !isLargeDomain(this.state, this.host, maxWrites))
      return true;
    const domain = this.state.domains.get(this.host);
    if (!domain) return false;
    step.put(keys.domain(this.host), encodeDomainHead(domain));
    return true;
  }

  private makesDomainLarge(step: TransactionStep): boolean {
    const maxConditions = maxPartitionConditions(this.limits.maxWrites);
    return [...step.values.keys()].some(
      (key) => this.isOwnPartition(key) && parseKey(key).part >= maxConditions,
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

/** Length of the longest beginning of a list of allocations whose JSON form has at most this many bytes. */
function fittingPrefixLength(allocations: PackedAllocations, maxBytes: number): number {
  let bytes = 0;
  let length = 0;
  forEachAllocation(allocations, (task, attempt) => {
    bytes += allocationBytes(task, attempt);
    if (bytes <= maxBytes) length += NUMBERS_PER_ALLOCATION;
  });
  return length;
}

/** Replaces a job's allocations on a machine in a partition that is being edited. */
function setAllocations(
  partition: AllocationRecord,
  jobId: string,
  machineId: string,
  allocations: PackedAllocations,
): void {
  const byMachine = without(partition[jobId] ?? {}, machineId);
  if (allocations.length > 0) byMachine[machineId] = allocations;
  if (Object.keys(byMachine).length > 0) partition[jobId] = byMachine;
  // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- the partition is a copy made for this step
  else delete partition[jobId];
}
