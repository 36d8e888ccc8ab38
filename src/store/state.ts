/**
 * The replica read as records, with the indexes that the loops need. Longer than most modules, as it is the one
 * place through which all others read records; what is derived stands in modules of its own.
 */
import { getOrAdd, setOrDelete } from '../util/maps.js';
import type { Domain, DomainHead, FleetRecord, Liveness } from '../model/domain.js';
import type { AllocationsByMachine, JobRecord, JobState } from '../model/job.js';
import type { Machine, MachineBatch } from '../model/machine.js';
import type { ResourceAmount } from '../model/resources.js';
import {
  decodeAllocations,
  decodeDomainHead,
  decodeFencingToken,
  decodeFinalState,
  decodeFirstClaims,
  decodeFleet,
  decodeJob,
  decodeLiveness,
  decodeMachineBatch,
  decodeShard,
  decodeTakeoverList,
  keyParts,
  keys,
  type AllocationRecord,
  type ShardRecord,
  type TakeoverListRecord,
} from './records/index.js';
import type { MalformedRecord } from './records/schemas.js';
import type { Body } from '../wire/codec.js';
import { AllocationIndex, addTasks } from './allocation-index.js';
import type { Write, Condition } from './client.js';
import { FinalStates } from './final-states.js';
import { LossHistory } from './loss-history.js';
import { MachineIndex } from './machine-index.js';
import {
  OwnershipIndex,
  type Owner,
  type OwnerChange,
  type ShardChange,
} from './ownership-index.js';
import { RunParts } from './run-parts.js';
import { MalformedRecords } from './malformed-records.js';
import { Replica, type ChangedKeys } from './replica.js';

/** What has changed since the state was last whole. */
export interface StateChange {
  jobs: Set<string>;
  machines: Set<string>;
  /** Machines that changed hands or came under another term. */
  reassigned: Set<string>;
  /** Machines of which the tasks, or what is wanted of them, changed. */
  touched: Set<string>;
  /** A controller came, went or changed. */
  hosts: boolean;
  /** A record that cannot be read came, or one was mended. */
  malformed: boolean;
}

/** Changed records of one batch, by kind, as the indexes take them up. */
interface Batch {
  heads: Map<string, DomainHead | null>;
  shards: ShardChange[];
  machineBatches: Map<string, MachineBatch | null>;
  runs: Map<string, AllocationRecord | null>;
  jobs: Map<string, JobState | null>;
  isHostChange: boolean;
}

/**
 * Whatever is derived follows from the records that the replica holds, and not from the order in which they came:
 * each index takes up the final records of a batch, owners first, then what is recorded on their machines. Kept
 * beside that is only what no record says: final states seen, machines given back, machines that left a domain.
 */
export class State {
  readonly replica: Replica;
  readonly domains = new Map<string, Domain>();
  /** Host -> shards of its domain by key; parts of its takeover lists likewise. */
  readonly shards = new Map<string, Map<string, ShardRecord>>();
  readonly lists = new Map<string, Map<string, TakeoverListRecord>>();
  readonly liveness = new Map<string, Liveness>();
  readonly finalStates = new FinalStates();
  fleet: FleetRecord | undefined;
  fencingToken = 0;
  /** Counts transactions that gave machines their first holder. */
  firstClaims = 0;
  private ownership = new OwnershipIndex();
  private machineIndex = new MachineIndex();
  private allocations = this.newAllocations();
  private readonly lossHistory = new LossHistory();
  private readonly malformedRecords = new MalformedRecords();
  private readonly parts = new RunParts();

  /** `onChange` is told once all changes of a transaction are in, never of a state halfway. */
  constructor(private readonly onChange: (changed: StateChange) => void) {
    this.replica = new Replica(
      (changed) => {
        this.onChange(this.applyChanges(changed));
      },
      (key) => keyParts(key).kind === 'end',
    );
  }

  get jobs(): ReadonlyMap<string, JobRecord> {
    return this.allocations.jobs;
  }

  /** Machine -> jobs that may have tasks on it. */
  get jobsByMachine(): ReadonlyMap<string, ReadonlySet<string>> {
    return this.allocations.jobsOn;
  }

  /** Team -> what its tasks use, those in doubt counted. */
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

  /** Derives everything anew from the records, should an index have been found to differ from them. */
  rebuild(): void {
    this.ownership = new OwnershipIndex();
    this.machineIndex = new MachineIndex();
    this.allocations = this.newAllocations();
    this.domains.clear();
    this.shards.clear();
    this.onChange(this.applyChanges(new Set(this.replica.keys())));
  }

  private newAllocations(): AllocationIndex {
    return new AllocationIndex((machine) => this.ownerOf(machine)?.host);
  }

  ownerOf(box: string): Owner | undefined {
    return this.ownership.ownerOf(box);
  }

  /** Machines with their owners. */
  owners(): ReadonlyMap<string, Owner> {
    return this.ownership.all();
  }

  /** Machines that several shards list, against the rule of single owners. */
  machinesWithTwoOwners(): ReadonlySet<string> {
    return this.ownership.listedTwice();
  }

  /** Stored records that are not what their keys say; they count as absent, and nothing may rest on that. */
  malformed(): Iterable<MalformedRecord> {
    return this.malformedRecords.all();
  }

  /** The machines of a domain with their terms. */
  machinesOf(host: string): ReadonlyMap<string, number> {
    return this.ownership.machinesOf(host);
  }

  /** See `LossHistory.since`. */
  machinesLostSince(host: string, stamp: number): ReadonlyMap<string, number> | null {
    return this.lossHistory.since(host, stamp);
  }

  modRevisionOf(key: string): number {
    return this.replica.modRevisionOf(key);
  }

  /** The guard under which a record is still as this replica has it; absent ones included. */
  unchanged(key: string): Condition {
    return { key, modRevision: this.modRevisionOf(key) };
  }

  /** Each record that is written, guarded by its own stamp. */
  unchangedBefore(changes: Write[]): Condition[] {
    return changes.map((one) => this.unchanged('put' in one ? one.put : one.delete));
  }

  allocationsIn(key: string): AllocationRecord {
    return this.allocations.run(key);
  }

  /** The parts that record anything of a job, with what they record. */
  allocationPartsOf(uid: string): ReadonlyMap<string, AllocationsByMachine> {
    return this.allocations.partsOf(uid);
  }

  /** Controllers that record anything of what is on machines. */
  recordingHosts(): Iterable<string> {
    return this.parts.hosts();
  }

  /** Keys of all parts of a domain, and of the one that would come next: guarding them, nothing can be added unseen. */
  allocationKeys(host: string): string[] {
    return this.parts.keysOf(host);
  }

  /** What the teams' tasks on the machines of a domain use, those in doubt counted. */
  usageInDomain(host: string): ReadonlyMap<string, ResourceAmount> {
    return this.allocations.usedOn(host);
  }

  /** The same for any machines. */
  usageOnMachines(boxes: Iterable<string>): Map<string, ResourceAmount> {
    const sums = new Map<string, ResourceAmount>();
    for (const box of boxes)
      for (const uid of this.jobsByMachine.get(box) ?? []) {
        const job = this.jobs.get(uid);
        if (job) addTasks(sums, job.spec, (job.allocationsByMachine[box]?.length ?? 0) / 2);
      }
    return sums;
  }

  private applyChanges(changed: ChangedKeys): StateChange {
    const batch: Batch = {
      heads: new Map(),
      shards: [],
      machineBatches: new Map(),
      runs: new Map(),
      jobs: new Map(),
      isHostChange: false,
    };
    const hadUnread = this.malformedRecords.size > 0;
    for (const key of changed)
      this.sort(
        batch,
        key,
        this.malformedRecords.examine(key, this.replica.get(key)?.value ?? null),
      );
    this.takeHeads(batch.heads);
    const terms = new Map([...batch.heads].map(([host, head]) => [host, head?.fencingToken ?? 0]));
    const owners = this.ownership.update(terms, batch.shards);
    this.noteLosses(owners);
    this.allocations.ownersChanged(owners);
    const { jobs, machines } = this.allocations.update(batch.runs, batch.jobs);
    return {
      jobs,
      machines: this.machineIndex.update(batch.machineBatches),
      reassigned: new Set(owners.map(({ machine }) => machine)),
      touched: machines,
      hosts: batch.isHostChange,
      malformed: hadUnread || this.malformedRecords.size > 0,
    };
  }

  /** Files a changed record by its kind; those that nothing else depends on are taken up at once. */
  private sort(batch: Batch, key: string, after: Body | null): void {
    const { kind, name, part } = keyParts(key);
    switch (kind) {
      case 'dom':
        batch.isHostChange = true;
        batch.heads.set(name, after && decodeDomainHead(after));
        break;
      case 'own': {
        const shard = after && decodeShard(after);
        const shards = inner(this.shards, name);
        batch.shards.push({ host: name, key, before: shards.get(key) ?? null, after: shard });
        setOrDelete(shards, key, shard);
        break;
      }
      case 'lot':
        batch.machineBatches.set(name, after && decodeMachineBatch(after));
        break;
      case 'run':
        batch.runs.set(key, after && decodeAllocations(after));
        this.parts.note(name, part, after !== null);
        break;
      case 'job':
        batch.jobs.set(name, after && decodeJob(after));
        break;
      case 'live':
        batch.isHostChange = true;
        setOrDelete(this.liveness, name, after && decodeLiveness(after));
        break;
      case 'list':
        setOrDelete(inner(this.lists, name), key, after && decodeTakeoverList(after));
        break;
      case 'end':
        if (after) this.finalStates.remember(name, decodeFinalState(after));
        break;
      case 'term':
        this.fencingToken = after ? decodeFencingToken(after) : 0;
        break;
      case 'new':
        this.firstClaims = after ? decodeFirstClaims(after) : 0;
        break;
      case 'fleet':
        this.fleet = after ? decodeFleet(after) : undefined;
        break;
    }
  }

  private takeHeads(heads: ReadonlyMap<string, DomainHead | null>): void {
    for (const [host, head] of heads) {
      if (head) this.domains.set(host, { ...head, machines: this.machinesOf(host) });
      else this.domains.delete(host);
    }
  }

  private noteLosses(changes: readonly OwnerChange[]): void {
    for (const { machine, before, after } of changes)
      if (before && before.host !== after?.host)
        this.lossHistory.note(before.host, machine, this.modRevisionOf(keys.domain(before.host)));
    // Not before a whole reading is in: what left a domain while it was read was never seen here.
    for (const host of this.domains.keys())
      this.lossHistory.begin(host, this.modRevisionOf(keys.domain(host)));
  }
}

const inner = <T>(maps: Map<string, Map<string, T>>, name: string): Map<string, T> =>
  getOrAdd(maps, name, () => new Map<string, T>());
