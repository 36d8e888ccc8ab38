/** The cluster's state in this process: the read interface to the records of the replica and to all indexes. */
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
  parseKey,
  keys,
  type AllocationRecord,
  type ShardRecord,
  type TakeoverListRecord,
} from './records/index.js';
import type { MalformedRecord } from './records/schemas.js';
import { Replica, type ChangedKeys } from './replica.js';

/** The effects of one batch of changed records. */
export interface StateChange {
  jobs: Set<string>;
  machines: Set<string>;
  /** Machines whose owner or fencing token changed. */
  reassigned: Set<string>;
  /** Machines whose tasks changed, or whose tasks have another desired state: to continue or to stop. */
  machinesWithTaskChanges: Set<string>;
  /** Whether a controller's domain head or liveness record changed: it registered, started, died or changed. */
  controllersChanged: boolean;
  /** Whether there are malformed records, or there were any before this batch. */
  malformed: boolean;
}

/**
 * Every index depends only on the records in the replica, not on the order in which they arrived. Each applies the
 * final records of a batch: first the owners of machines, then the allocations on the machines. The only other state is
 * what no record contains: the final states seen, the machines returned to the cloud and the machines that left a
 * domain.
 */
export class State {
  readonly replica: Replica;
  readonly domains = new Map<string, Domain>();
  private readonly records = new RecordStore();
  private readonly lossHistory = new LossHistory();
  private ownership = new OwnershipIndex();
  private machineIndex = new MachineIndex();
  private allocations = this.newAllocationIndex();

  /** `onChange` is called once after all changes that belong together are applied, never in between. */
  constructor(private readonly onChange: (change: StateChange) => void) {
    this.replica = new Replica(
      (changed) => {
        this.onChange(this.applyChanges(changed));
      },
      (key) => parseKey(key).kind === 'end',
    );
  }

  /** Rebuilds all indexes from the records. Used when an index was found to differ from them. */
  rebuild(): void {
    this.ownership = new OwnershipIndex();
    this.machineIndex = new MachineIndex();
    this.allocations = this.newAllocationIndex();
    this.domains.clear();
    this.shards.clear();
    this.onChange(this.applyChanges(new Set(this.replica.keys())));
  }

  /** Jobs that have not ended, by id. */
  get jobs(): ReadonlyMap<string, JobRecord> {
    return this.allocations.jobs;
  }

  /** Jobs that may have tasks on a machine, by machine id. */
  get jobsByMachine(): ReadonlyMap<string, ReadonlySet<string>> {
    return this.allocations.jobsOn;
  }

  /** Resources used by the tasks of each team, including tasks whose outcome is unknown. */
  get usageByTeam(): ReadonlyMap<string, ResourceAmount> {
    return this.allocations.usageByTeam;
  }

  get machines(): ReadonlyMap<string, Machine> {
    return this.machineIndex.machines;
  }

  get machineBatches(): ReadonlyMap<string, MachineBatch> {
    return this.machineIndex.batches;
  }

  /** The machines whose records were removed most recently: they were returned to the cloud. */
  get removedMachines(): ReadonlySet<string> {
    return this.machineIndex.removed;
  }

  /** Shards of each domain, by host and key. */
  get shards(): Map<string, Map<string, ShardRecord>> {
    return this.records.shards;
  }

  /** Parts of the takeover lists of each domain, by host and key. */
  get takeoverLists(): ReadonlyMap<string, ReadonlyMap<string, TakeoverListRecord>> {
    return this.records.takeoverLists;
  }

  /** Liveness records by host. A controller has none if its lease has expired or it has released its domain. */
  get liveness(): ReadonlyMap<string, Liveness> {
    return this.records.liveness;
  }

  /** Cache of the final states seen last; older ones are read from the store. */
  get finalStates(): FinalStates {
    return this.records.finalStates;
  }

  get fleet(): FleetRecord | undefined {
    return this.records.fleet;
  }

  /** The last fencing token that was issued. */
  get fencingToken(): number {
    return this.records.fencingToken;
  }

  /** Number of transactions that have given machines their first owner. */
  get firstClaims(): number {
    return this.records.firstClaims;
  }

  ownerOf(machineId: string): Owner | undefined {
    return this.ownership.ownerOf(machineId);
  }

  /** All machines with their owners. */
  owners(): ReadonlyMap<string, Owner> {
    return this.ownership.all();
  }

  /** Machines that several shards list, although each machine must have a single owner. */
  machinesWithTwoOwners(): ReadonlySet<string> {
    return this.ownership.machinesListedTwice();
  }

  /**
   * Stored records that do not have the form that their keys require. They are treated as absent, but no decision may
   * be based on that absence.
   */
  malformedRecords(): Iterable<MalformedRecord> {
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

  /**
   * The condition that a key has not changed since the revision in this replica; an absent key must still be absent.
   */
  unchangedCondition(key: string): Condition {
    return { key, modRevision: this.modRevisionOf(key) };
  }

  /** The same condition for each key that is written. */
  unchangedConditions(writes: Write[]): Condition[] {
    return writes.map((write) =>
      this.unchangedCondition('put' in write ? write.put : write.delete),
    );
  }

  /** The allocation partition under a key; empty if there is none. */
  allocationsIn(key: string): AllocationRecord {
    return this.allocations.partition(key);
  }

  /** The keys of the allocation partitions that contain a job, with the job's allocations in each. */
  allocationPartitionsOf(jobId: string): ReadonlyMap<string, AllocationsByMachine> {
    return this.allocations.partitionsOf(jobId);
  }

  /** Controllers that have, or have had, allocation partitions. */
  hostsWithAllocationPartitions(): Iterable<string> {
    return this.records.allocationPartitions.hosts();
  }

  /** See `AllocationPartitions.keysOf`. */
  allocationPartitionKeys(host: string): string[] {
    return this.records.allocationPartitions.keysOf(host);
  }

  /** Resources used by the tasks of each team on the machines of a domain, including tasks whose outcome is unknown. */
  usageInDomain(host: string): ReadonlyMap<string, ResourceAmount> {
    return this.allocations.usageInDomain(host);
  }

  /** The same for the given machines. */
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
      machinesWithTaskChanges: machines,
      controllersChanged: changes.isControllerChange,
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
    this.recordLosses(changes);
    this.allocations.ownersChanged(changes);
    return changes;
  }

  private recordLosses(changes: readonly OwnerChange[]): void {
    for (const { machine, before, after } of changes)
      if (before && before.host !== after?.host)
        this.lossHistory.record(before.host, machine, this.headRevisionOf(before.host));
    // Histories begin after the losses are recorded: this process has not seen the machines that left a domain before
    // the first full read was complete.
    for (const host of this.domains.keys()) this.lossHistory.start(host, this.headRevisionOf(host));
  }

  private headRevisionOf(host: string): number {
    return this.modRevisionOf(keys.domain(host));
  }
}
