/** Compares the indexes of a state with its records. The expected entries come from one pass over all records. */
import { allocatedTasksOn, allocationCount } from '../model/allocations.js';
import type { JobState } from '../model/job.js';
import type { MachineBatch } from '../model/machine.js';
import { NO_RESOURCES, RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import { getOrAdd } from '../util/maps.js';
import { addUsage } from './allocation-index.js';
import type { Owner } from './ownership-index.js';
import {
  decodeAllocations,
  decodeDomainHead,
  decodeJob,
  decodeMachineBatch,
  decodeShard,
  parseKey,
  keys,
  type AllocationRecord,
  type ShardRecord,
} from './records/index.js';
import type { State } from './state.js';

/** An entry of an index that differs from the records. */
export interface IndexDifference {
  index: 'owners' | 'machines' | 'allocations' | 'usage';
  /** Key of the record that the entry differs from; empty if it is not a single record. */
  key: string;
  /** Revision at which that record was last modified; 0 if it does not exist. */
  modRevision: number;
  /** Revision up to which the replica is complete. */
  revision: number;
  /** The machine or team that the entry is about. */
  what: string;
  indexed: unknown;
  recorded: unknown;
}

/** The state according to the records, collected in one pass. */
class RecordedState {
  readonly owners = new Map<string, Owner>();
  /** Name of the batch that defines a machine, by machine id. */
  readonly batchByMachine = new Map<string, string>();
  /** Resources used by the tasks of each team on the machines of a domain, by host and team. */
  readonly usage = new Map<string, Map<string, ResourceAmount>>();
  /** Number of tasks that may be on a machine, by machine id. */
  readonly taskCounts = new Map<string, number>();
  private readonly headTokens = new Map<string, number>();
  private readonly jobs = new Map<string, JobState>();

  constructor(state: State) {
    const shards: { host: string; key: string; shard: ShardRecord }[] = [];
    const partitions: AllocationRecord[] = [];
    const malformed = new Set([...state.malformedRecords()].map(({ key }) => key));
    for (const [key, { value }] of state.replica.records()) {
      if (malformed.has(key)) continue;
      const { kind, name } = parseKey(key);
      if (kind === 'dom') this.headTokens.set(name, decodeDomainHead(value).fencingToken);
      else if (kind === 'own') shards.push({ host: name, key, shard: decodeShard(value) });
      else if (kind === 'job') this.jobs.set(name, decodeJob(value));
      else if (kind === 'run') partitions.push(decodeAllocations(value));
      else if (kind === 'lot') this.addBatch(name, decodeMachineBatch(value));
    }
    for (const { host, key, shard } of shards) this.addShard(host, key, shard);
    for (const partition of partitions) this.addAllocations(partition);
  }

  private addBatch(name: string, { addresses }: MachineBatch): void {
    for (const machineId of Object.keys(addresses)) {
      const other = this.batchByMachine.get(machineId);
      if (other === undefined || name < other) this.batchByMachine.set(machineId, name);
    }
  }

  private addShard(host: string, key: string, shard: ShardRecord): void {
    for (const [listedToken, machineIds] of Object.entries(shard)) {
      const fencingToken = Math.max(Number(listedToken), this.headTokens.get(host) ?? 0);
      for (const machineId of machineIds)
        this.addClaim(machineId, { host, fencingToken, shard: key });
    }
  }

  private addClaim(machineId: string, claim: Owner): void {
    const other = this.owners.get(machineId);
    const isLower =
      other &&
      (other.fencingToken > claim.fencingToken ||
        (other.fencingToken === claim.fencingToken && other.shard > claim.shard));
    if (!isLower) this.owners.set(machineId, claim);
  }

  private addAllocations(partition: AllocationRecord): void {
    for (const [jobId, allocationsByMachine] of Object.entries(partition)) {
      const job = this.jobs.get(jobId);
      if (!job) continue;
      for (const [machineId, allocations] of Object.entries(allocationsByMachine))
        this.addTasks(machineId, job, allocationCount(allocations));
    }
  }

  private addTasks(machineId: string, job: JobState, tasks: number): void {
    this.taskCounts.set(machineId, (this.taskCounts.get(machineId) ?? 0) + tasks);
    const host = this.owners.get(machineId)?.host;
    if (host === undefined) return;
    const sums = getOrAdd(this.usage, host, () => new Map<string, ResourceAmount>());
    addUsage(sums, job.spec, tasks);
  }
}

/** All differences between the indexes and the records. Any difference is a bug in this program. */
export function auditIndexes(state: State): IndexDifference[] {
  return new IndexAudit(state).run();
}

/** One comparison of all indexes with the records. */
class IndexAudit {
  private readonly recorded: RecordedState;
  private readonly differences: IndexDifference[] = [];

  constructor(private readonly state: State) {
    this.recorded = new RecordedState(state);
  }

  run(): IndexDifference[] {
    this.compareOwners();
    this.compareMachines();
    this.compareAllocations();
    this.compareUsage();
    return this.differences;
  }

  private compareOwners(): void {
    const { state, recorded } = this;
    for (const machineId of unionOfKeys(recorded.owners, state.owners())) {
      const indexedOwner = state.ownerOf(machineId);
      const owner = recorded.owners.get(machineId);
      if (sameOwner(indexedOwner, owner) && this.isInDomainOf(machineId, owner)) continue;
      const key = owner?.shard ?? indexedOwner?.shard ?? '';
      this.addDifference({
        index: 'owners',
        key,
        what: machineId,
        indexed: indexedOwner,
        recorded: owner,
      });
    }
  }

  private isInDomainOf(machineId: string, owner: Owner | undefined): boolean {
    if (!owner) return true;
    return this.state.machinesOf(owner.host).get(machineId) === owner.fencingToken;
  }

  private compareMachines(): void {
    const { state, recorded } = this;
    for (const machineId of unionOfKeys(recorded.batchByMachine, state.machines)) {
      const indexedBatch = state.machines.get(machineId)?.batch;
      const batch = recorded.batchByMachine.get(machineId);
      if (indexedBatch === batch) continue;
      const key = keys.machineBatch(batch ?? indexedBatch ?? '');
      this.addDifference({
        index: 'machines',
        key,
        what: machineId,
        indexed: indexedBatch,
        recorded: batch,
      });
    }
  }

  private compareAllocations(): void {
    const { state, recorded } = this;
    for (const machineId of unionOfKeys(recorded.taskCounts, state.jobsByMachine)) {
      const indexedCount = taskCountOn(state, machineId);
      const count = recorded.taskCounts.get(machineId) ?? 0;
      if (indexedCount === count) continue;
      const found = { key: '', what: machineId, indexed: indexedCount, recorded: count };
      this.addDifference({ index: 'allocations', ...found });
    }
  }

  private compareUsage(): void {
    const { state, recorded } = this;
    for (const host of unionOfKeys(recorded.usage, state.domains)) {
      const indexedSums = state.usageInDomain(host);
      const sums = recorded.usage.get(host) ?? new Map<string, ResourceAmount>();
      for (const team of unionOfKeys(sums, indexedSums)) {
        const indexed = indexedSums.get(team);
        const used = sums.get(team);
        if (sameAmount(indexed ?? NO_RESOURCES, used ?? NO_RESOURCES)) continue;
        const key = keys.domain(host);
        this.addDifference({ index: 'usage', key, what: team, indexed, recorded: used });
      }
    }
  }

  private addDifference(difference: Omit<IndexDifference, 'modRevision' | 'revision'>): void {
    const { index, key, what, indexed, recorded } = difference;
    this.differences.push({
      index,
      key,
      modRevision: this.state.modRevisionOf(key),
      revision: this.state.replica.revision,
      what,
      indexed: indexed ?? null,
      recorded: recorded ?? null,
    });
  }
}

function taskCountOn(state: State, machineId: string): number {
  let count = 0;
  for (const jobId of state.jobsByMachine.get(machineId) ?? []) {
    const job = state.jobs.get(jobId);
    if (job) count += allocatedTasksOn(job, machineId);
  }
  return count;
}

function sameOwner(one: Owner | undefined, two: Owner | undefined): boolean {
  return one?.shard === two?.shard && one?.fencingToken === two?.fencingToken;
}

function sameAmount(one: ResourceAmount, two: ResourceAmount): boolean {
  return (
    Math.abs(one.cpus - two.cpus) < RESOURCE_EPSILON &&
    Math.abs(one.gpus - two.gpus) < RESOURCE_EPSILON
  );
}

function unionOfKeys(
  one: ReadonlyMap<string, unknown>,
  two: ReadonlyMap<string, unknown>,
): Set<string> {
  return new Set([...one.keys(), ...two.keys()]);
}
