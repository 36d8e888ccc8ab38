/** The cluster's state as this process knows it: the read interface to the replica's records and to all indexes. */
import { allocatedTasksOn } from '../model/allocations.js';
import type { Domain, DomainHead, FleetRecord, Liveness } from '../model/domain.js';
import type { AllocationsByMachine, JobRecord } from '../model/job.js';
import type { Machine, MachineBatch } from '../model/machine.js';
import type { ResourceAmount } from '../model/resources.js';
import { AllocationIndex, addUsage } from './allocation-index.js';
import type { Condition, Write } from './client.js';
import type { FinalStates } from './final-states.js';
import { LossHistory } from './loss-history.js';
import { MachineIndex } from './machine-index.js';
import { OwnershipIndex, type Owner, type OwnerChange } from './ownership-index.js';
import { RecordStore, type RecordChanges } from './record-store.js';
import {
  keyParts,
  keys,
  type AllocationRecord,
  type ShardRecord,
  type TakeoverListRecord,
} from './records/index.js';
import type { MalformedRecord } from './records/schemas.js';
import { Replica, type ChangedKeys } from './replica.js';

/** What one batch of changed records has changed. */
export interface StateChange {
  jobs: Set<string>;
  machines: Set<string>;
  /** Machines whose owner or fencing token changed. */
  reassigned: Set<string>;
  /** Machines whose tasks changed, or whose tasks are to go on or stop in another way. */
  touched: Set<string>;
  /** A controller registered, came alive, died or changed. */
  hosts: boolean;
  /** There are malformed records, or there were until now. */
  malformed: boolean;
}

/**
 * Every index follows from the records that the replica holds, and not from the order in which these arrived: each
 * applies the final records of a batch, owners first, then what is recorded on their machines. Beside that is kept only
 * what no record says: final states seen, machines given back, machines that left a domain.
 */
export class State {
  readonly replica: Replica;
  readonly domains = new Map<string, Domain>();
  private readonly records = new RecordStore();
  private readonly lossHistory = new LossHistory();
  private ownership = new OwnershipIndex();
  private machineIndex = new MachineIndex();
  private allocations = this.newAllocationIndex();

  /** `onChange` is called once all changes that belong together are applied, never in between. */
  constructor(private readonly onChange: (change: StateChange) => void) {
    this.replica = new Replica(
      (changed) => {
        this.onChange(this.applyChanges(changed));
      },
      (key) => keyParts(key).kind === 'end',
    );
  }

  /** Derives all indexes anew from the records, should one have been found to differ from them. */
  rebuild(): void {
    this.ownership = new OwnershipIndex();
    this.machineIndex = new MachineIndex();
    this.allocations = this.newAllocationIndex();
    this.domains.clear();
    this.shards.clear();
    this.onChange(this.applyChanges(new Set(this.replica.keys())));
  }

  /** Jobs that are not over, by id. */
  get jobs(): ReadonlyMap<string, JobRecord> {
    return this.allocations.jobs;
  }

  /** Machine to the jobs that may have tasks on it. */
  get jobsByMachine(): ReadonlyMap<string, ReadonlySet<string>> {
    return this.allocations.jobsOn;
  }

  /** Team to what its tasks use, those of unknown outcome included. */
  get usage(): ReadonlyMap<string, ResourceAmount> {
    return this.allocations.usage;
  }

  get machines(): ReadonlyMap<string, Machine> {
    return this.machineIndex.machines;
  }

  get machineBatches(): ReadonlyMap<string, MachineBatch> {
    return this.machineIndex.batches;
  }

  /** The last machines whose records were removed: they were given back. */
  get removedMachines(): ReadonlySet<string> {
    return this.machineIndex.removed;
  }

  /** Host to the shards of its domain, by key. */
  get shards(): Map<string, Map<string, ShardRecord>> {
    return this.records.shards;
  }

  /** Host to the parts of its takeover lists, by key. */
  get takeoverLists(): ReadonlyMap<string, ReadonlyMap<string, TakeoverListRecord>> {
    return this.records.takeoverLists;
  }

  /** The controllers whose leases are renewed. */
  get liveness(): ReadonlyMap<string, Liveness> {
    return this.records.liveness;
  }

  /** The last final states seen; older ones are asked of the store. */
  get finalStates(): FinalStates {
    return this.records.finalStates;
  }

  get fleet(): FleetRecord | undefined {
    return this.records.fleet;
  }

  /** The last fencing token given out. */
  get fencingToken(): number {
    return this.records.fencingToken;
  }

  /** How many transactions have given machines their first owner. */
  get firstClaims(): number {
    return this.records.firstClaims;
  }

  ownerOf(machineId: string): Owner | undefined {
    return this.ownership.ownerOf(machineId);
  }

  /** Machines with their owners. */
  owners(): ReadonlyMap<string, Owner> {
    return this.ownership.all();
  }

  /** Machines that several shards list, though each must have a single owner. */
  machinesWithTwoOwners(): ReadonlySet<string> {
    return this.ownership.machinesListedTwice();
  }

  /** Stored records that are not what their keys say; they count as absent, and no decision may rest on that. */
  malformed(): Iterable<MalformedRecord> {
    return this.records.malformed.all();
  }

  /** The machines of a domain with their fencing tokens. */
  machinesOf(host: string): ReadonlyMap<string, number> {
    return this.ownership.machinesOf(host);
  }

  /** See `LossHistory.since`. */
  machinesLostSince(host: string, headRevision: number): ReadonlyMap<string, number> | null {
    return this.lossHistory.since(host, headRevision);
  }

  /** Revision at which a key was last modified; 0 if it does not exist. */
  modRevisionOf(key: string): number {
    return this.replica.modRevisionOf(key);
  }

  /** The condition that a record, or its absence, is still as this replica has it. */
  unchanged(key: string): Condition {
    return { key, modRevision: this.modRevisionOf(key) };
  }

  /** The conditions that all keys written are still as this replica has them. */
  unchangedBefore(writes: Write[]): Condition[] {
    return writes.map((write) => this.unchanged('put' in write ? write.put : write.delete));
  }

  /** The allocation partition under a key; empty if there is none. */
  allocationsIn(key: string): AllocationRecord {
    return this.allocations.partition(key);
  }

  /** The allocation partitions that name a job, by key, and what each holds of it. */
  allocationPartitionsOf(jobId: string): ReadonlyMap<string, AllocationsByMachine> {
    return this.allocations.partitionsOf(jobId);
  }

  /** Controllers that have, or have had, allocation partitions. */
  recordingHosts(): Iterable<string> {
    return this.records.allocationPartitions.hosts();
  }

  /** See `AllocationPartitions.keysOf`. */
  allocationKeys(host: string): string[] {
    return this.records.allocationPartitions.keysOf(host);
  }

  /** Team to what its tasks use on the machines of a domain, those of unknown outcome included. */
  usageInDomain(host: string): ReadonlyMap<string, ResourceAmount> {
    return this.allocations.usageInDomain(host);
  }

  /** The same for any machines. */
  usageOnMachines(machineIds: Iterable<string>): Map<string, ResourceAmount> {
    const sums = new Map<string, ResourceAmount>();
    for (const machineId of machineIds)
      for (const jobId of this.jobsByMachine.get(machineId) ?? []) {
        const job = this.jobs.get(jobId);
        if (job) addUsage(sums, job.spec, allocatedTasksOn(job, machineId));
      }
    return sums;
  }

  private newAllocationIndex(): AllocationIndex {
    return new AllocationIndex((machineId) => this.ownerOf(machineId)?.host);
  }

  private applyChanges(changed: ChangedKeys): StateChange {
    const hadMalformed = this.records.malformed.size > 0;
    const changes = this.records.apply(changed, (key) => this.replica.get(key)?.value ?? null);
    this.updateDomains(changes.domainHeads);
    const ownerChanges = this.updateOwners(changes);
    const { jobs, machines } = this.allocations.update(changes.allocationPartitions, changes.jobs);
    return {
      jobs,
      machines: this.machineIndex.update(changes.machineBatches),
      reassigned: new Set(ownerChanges.map(({ machine }) => machine)),
      touched: machines,
      hosts: changes.isControllerChange,
      malformed: hadMalformed || this.records.malformed.size > 0,
    };
  }

  private updateDomains(heads: ReadonlyMap<string, DomainHead | null>): void {
    for (const [host, head] of heads) {
      if (head) this.domains.set(host, { ...head, machines: this.machinesOf(host) });
      else this.domains.delete(host);
    }
  }

  private updateOwners({ domainHeads, shards }: RecordChanges): OwnerChange[] {
    const headTokens = new Map<string, number>();
    for (const [host, head] of domainHeads) headTokens.set(host, head?.fencingToken ?? 0);
    const changes = this.ownership.update(headTokens, shards);
    this.noteLosses(changes);
    this.allocations.ownersChanged(changes);
    return changes;
  }

  private noteLosses(changes: readonly OwnerChange[]): void {
    for (const { machine, before, after } of changes)
      if (before && before.host !== after?.host)
        this.lossHistory.note(before.host, machine, this.headRevisionOf(before.host));
    // Only now: this process has not seen what left a domain before the first full reading was complete.
    for (const host of this.domains.keys()) this.lossHistory.begin(host, this.headRevisionOf(host));
  }

  private headRevisionOf(host: string): number {
    return this.modRevisionOf(keys.domain(host));
  }
}
