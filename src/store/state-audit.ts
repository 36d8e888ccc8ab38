/** Compares what a state has derived with the records that it holds, by a plain walk over all of them. */
import type { JobState } from '../model/job.js';
import type { MachineBatch } from '../model/machine.js';
import type { ResourceAmount } from '../model/resources.js';
import {
  type AllocationRecord,
  decodeAllocations,
  decodeDomainHead,
  decodeJob,
  decodeMachineBatch,
  decodeShard,
  keyParts,
  type ShardRecord,
} from './records/index.js';
import { addTasks } from './allocation-index.js';
import type { State } from './state.js';

/** Sums that are added to and taken from may be off by this. */
const EPSILON = 1e-6;

/** Something that an index says otherwise than the records. */
export interface IndexDifference {
  index: 'owners' | 'machines' | 'allocations' | 'usage';
  /** The record that says it otherwise, as far as it is one. */
  key: string;
  /** Stamp of that record, 0 if there is none. */
  modRevision: number;
  /** How far the replica is. */
  revision: number;
  what: string;
  indexed: unknown;
  recorded: unknown;
}

/** What the records say, gathered in one walk. */
class Recorded {
  readonly owners = new Map<string, { host: string; term: number; shard: string }>();
  readonly batchOf = new Map<string, string>();
  readonly usage = new Map<string, Map<string, ResourceAmount>>();
  readonly tasks = new Map<string, number>();
  private readonly heads = new Map<string, number>();
  private readonly jobs = new Map<string, JobState>();
  private readonly runs: AllocationRecord[] = [];

  constructor(state: State) {
    const shards: [string, string, ShardRecord][] = [];
    const unsound = new Set([...state.malformed()].map(({ key }) => key));
    for (const [key, { value }] of state.replica.records()) {
      if (unsound.has(key)) continue;
      const { kind, name } = keyParts(key);
      if (kind === 'dom') this.heads.set(name, decodeDomainHead(value).fencingToken);
      else if (kind === 'own') shards.push([name, key, decodeShard(value)]);
      else if (kind === 'job') this.jobs.set(name, decodeJob(value));
      else if (kind === 'run') this.runs.push(decodeAllocations(value));
      else if (kind === 'lot') this.list(name, decodeMachineBatch(value));
    }
    for (const [host, key, shard] of shards) this.claim(host, key, shard);
    for (const run of this.runs) this.use(run);
  }

  private list(batch: string, { addresses: b }: MachineBatch): void {
    for (const machine of Object.keys(b)) {
      const other = this.batchOf.get(machine);
      if (other === undefined || batch < other) this.batchOf.set(machine, batch);
    }
  }

  private claim(host: string, shard: string, record: ShardRecord): void {
    for (const [listed, machines] of Object.entries(record))
      for (const machine of machines) {
        const term = Math.max(Number(listed), this.heads.get(host) ?? 0);
        const other = this.owners.get(machine);
        const isWeaker =
          other && (other.term > term || (other.term === term && other.shard > shard));
        if (!isWeaker) this.owners.set(machine, { host, term, shard });
      }
  }

  private use(run: AllocationRecord): void {
    for (const [uid, runs] of Object.entries(run)) {
      const job = this.jobs.get(uid);
      if (!job) continue;
      for (const [machine, pairs] of Object.entries(runs)) {
        const tasks = pairs.length / 2;
        this.tasks.set(machine, (this.tasks.get(machine) ?? 0) + tasks);
        const host = this.owners.get(machine)?.host;
        if (host === undefined) continue;
        let sums = this.usage.get(host);
        if (!sums) this.usage.set(host, (sums = new Map()));
        addTasks(sums, job.spec, tasks);
      }
    }
  }
}

/** All differences between the indexes and the records; none, unless there is a fault in this program. */
export function auditIndexes(state: State): IndexDifference[] {
  const recorded = new Recorded(state);
  const differences: IndexDifference[] = [];
  const note = (
    index: IndexDifference['index'],
    key: string,
    what: string,
    indexed: unknown,
    said: unknown,
  ): void => {
    const { revision: generation } = state.replica;
    differences.push({
      index,
      key,
      modRevision: state.modRevisionOf(key),
      revision: generation,
      what,
      indexed: indexed ?? null,
      recorded: said ?? null,
    });
  };
  for (const machine of union(recorded.owners, state.owners())) {
    const indexed = state.ownerOf(machine);
    const said = recorded.owners.get(machine);
    const isSame = indexed?.shard === said?.shard && indexed?.fencingToken === said?.term;
    const isInDomain = !said || state.machinesOf(said.host).get(machine) === said.term;
    if (!isSame || !isInDomain)
      note('owners', said?.shard ?? indexed?.shard ?? '', machine, indexed, said);
  }
  for (const machine of union(recorded.batchOf, state.machines)) {
    const indexed = state.machines.get(machine)?.batch;
    const said = recorded.batchOf.get(machine);
    if (indexed !== said)
      note('machines', `tv/lot/${said ?? indexed ?? ''}`, machine, indexed, said);
  }
  for (const machine of union(recorded.tasks, state.jobsByMachine)) {
    const said = recorded.tasks.get(machine) ?? 0;
    const indexed = tasksOn(state, machine);
    if (indexed !== said) note('allocations', '', machine, indexed, said);
  }
  for (const host of union(recorded.usage, state.domains))
    compareUse(state, host, recorded.usage.get(host) ?? new Map<string, ResourceAmount>(), note);
  return differences;
}

function tasksOn(state: State, machine: string): number {
  let tasks = 0;
  for (const uid of state.jobsByMachine.get(machine) ?? [])
    tasks += (state.jobs.get(uid)?.allocationsByMachine[machine]?.length ?? 0) / 2;
  return tasks;
}

function compareUse(
  state: State,
  host: string,
  said: ReadonlyMap<string, ResourceAmount>,
  note: (index: 'usage', key: string, what: string, indexed: unknown, said: unknown) => void,
): void {
  const used = state.usageInDomain(host);
  for (const team of union(said, used)) {
    const one = used.get(team);
    const two = said.get(team);
    const isSame =
      Math.abs((one?.cpus ?? 0) - (two?.cpus ?? 0)) < EPSILON &&
      Math.abs((one?.gpus ?? 0) - (two?.gpus ?? 0)) < EPSILON;
    if (!isSame) note('usage', `tv/dom/${host}`, team, one, two);
  }
}

const union = (one: ReadonlyMap<string, unknown>, two: ReadonlyMap<string, unknown>): Set<string> =>
  new Set([...one.keys(), ...two.keys()]);
