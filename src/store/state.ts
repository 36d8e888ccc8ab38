import type { Body } from '../wire/codec.js';
import type { Change, Guard } from './client.js';
import {
  keyParts,
  keys,
  readHead,
  type Amount,
  type MachineRecord,
  type Domain,
  type EndRecord,
  type FleetRecord,
  type HeadRecord,
  type JobRecord,
  type JobSpec,
  type ListRecord,
  type LiveRecord,
  type MachineBatchRecord,
  type RunRecord,
  type ShardRecord,
  type StoredJob,
  type TermRecord,
} from './records.js';
import { Replica } from './replica.js';

export type Runs = Record<string, number[]>;

/** Final states kept in memory; older ones are asked of the store. */
const ENDS_KEPT = 2000;
/** Names of removed machines kept in memory. */
const REMOVED_KEPT = 5000;

/** What has changed since the state was last whole. */
export interface Changed {
  jobs: Set<string>;
  boxes: Set<string>;
  /** Machines that changed hands or came under another term. */
  owned: Set<string>;
  /** Machines of which the tasks, or what is wanted of them, changed. */
  touched: Set<string>;
  /** A controller came, went or changed. */
  hosts: boolean;
  /** Machine -> the controller whose domain it left, if only for another shard. */
  left: Map<string, string>;
}

const nothing = (): Changed => ({
  jobs: new Set(),
  boxes: new Set(),
  owned: new Set(),
  touched: new Set(),
  hosts: false,
  left: new Map(),
});

/** Machines seen to leave a domain, with the stamp that its head had then; none that left by `since` is among them. */
interface Losses {
  since: number;
  boxes: Map<string, number>;
}

interface Owner {
  host: string;
  term: number;
  /** Key of the shard that says so. */
  shard: string;
}

/** The replica read as records, with the indexes that the loops need, kept up to date change by change. */
export class State {
  readonly replica: Replica;
  readonly jobs = new Map<string, JobRecord>();
  readonly boxes = new Map<string, MachineRecord>();
  readonly lots = new Map<string, MachineBatchRecord>();
  readonly domains = new Map<string, Domain>();
  /** Host -> shards of its domain by key; parts of its takeover lists likewise. */
  readonly shards = new Map<string, Map<string, ShardRecord>>();
  readonly lists = new Map<string, Map<string, ListRecord>>();
  readonly live = new Map<string, LiveRecord>();
  /** Machine -> jobs that may have tasks on it. */
  readonly onBox = new Map<string, Set<string>>();
  readonly usage = new Map<string, Amount>();
  /** Host -> what teams use on the machines of its domain. */
  private readonly usageOf = new Map<string, Map<string, Amount>>();
  /** The last final states seen; older ones are asked of the store. */
  readonly ends = new Map<string, EndRecord>();
  /** Host -> how many parts what is recorded on its machines has. */
  readonly parts = new Map<string, number>();
  /** The last machines whose records were removed: they were given back. */
  readonly removed = new Set<string>();
  fleet: FleetRecord | undefined;
  term = 0;
  /** Counts transactions that gave machines their first holder. */
  newcomers = 0;
  private readonly losses = new Map<string, Losses>();
  private readonly owners = new Map<string, Owner>();
  private readonly machines = new Map<string, Map<string, number>>();
  private changed = nothing();
  private readonly partNames = new Map<string, string[]>();
  private readonly stored = new Map<string, StoredJob>();
  private readonly runs = new Map<string, RunRecord>();
  /** Job -> part -> what that part records of it. */
  private readonly runsOf = new Map<string, Map<string, Runs>>();

  /** `onChange` is told once all changes of a transaction are in, never of a state halfway. */
  constructor(private readonly onChange: (changed: Changed) => void) {
    this.replica = new Replica(
      (key, value) => {
        this.note(key, value);
      },
      () => {
        const { changed } = this;
        this.changed = nothing();
        for (const [box, host] of changed.left)
          if (this.owners.get(box)?.host !== host) this.noteLost(host, box);
        // Not before a whole reading is in: what left a domain while it was read was never seen here.
        for (const host of this.domains.keys())
          if (!this.losses.has(host))
            this.losses.set(host, { since: this.stampOf(keys.domain(host)), boxes: new Map() });
        this.onChange(changed);
      },
    );
  }

  ownerOf(box: string): Owner | undefined {
    return this.owners.get(box);
  }

  /**
   * Machines that have left a domain since its head had this stamp; null if that is not known from so far
   * back. The holder asks with the stamp it has, so what it knows by now need not be remembered.
   */
  lostSince(host: string, stamp: number): Map<string, number> | null {
    const losses = this.losses.get(host);
    if (!losses) return new Map<string, number>();
    if (losses.since > stamp) return null;
    losses.since = stamp;
    for (const [box, at] of losses.boxes) if (at <= stamp) losses.boxes.delete(box);
    return losses.boxes;
  }

  /** Whoever takes a machine away puts the head in the same transaction, so its stamp is that of the loss or newer. */
  private noteLost(host: string, box: string): void {
    const losses = this.losses.get(host);
    if (!losses) return;
    losses.boxes.delete(box);
    losses.boxes.set(box, this.stampOf(keys.domain(host)));
    if (losses.boxes.size <= REMOVED_KEPT) return;
    for (const [oldest, at] of losses.boxes) {
      losses.boxes.delete(oldest);
      losses.since = Math.max(losses.since, at);
      break;
    }
  }

  /** The machines of a domain with their terms. */
  machinesOf(host: string): ReadonlyMap<string, number> {
    return this.machines.get(host) ?? new Map<string, number>();
  }

  stampOf(key: string): number {
    return this.replica.stampOf(key);
  }

  /** The guard under which a record is still as this replica has it; absent ones included. */
  guard(key: string): Guard {
    return { key, stamp: this.stampOf(key) };
  }

  /** Each record that is written, guarded by its own stamp. */
  guardsOn(changes: Change[]): Guard[] {
    return changes.map((one) => this.guard('put' in one ? one.put : one.delete));
  }

  used(team: string): Amount {
    return this.usage.get(team) ?? { cpus: 0, cards: 0 };
  }

  run(key: string): RunRecord {
    return this.runs.get(key) ?? {};
  }

  /** The parts that record anything of a job, with what they record. */
  partsOf(uid: string): ReadonlyMap<string, Runs> {
    return this.runsOf.get(uid) ?? new Map<string, Runs>();
  }

  /** Keys of all parts of a domain, and of the one that would come next: guarding them, nothing can be added unseen. */
  partKeys(host: string): string[] {
    const count = this.parts.get(host) ?? 0;
    const known = this.partNames.get(host) ?? [];
    for (let n = known.length; n <= count; n++) known.push(keys.run(host, n));
    this.partNames.set(host, known);
    return known.slice(0, count + 1);
  }

  /** What the teams' tasks on the machines of a domain use, those in doubt counted. */
  usedOn(host: string): ReadonlyMap<string, Amount> {
    return within(this.usageOf, host);
  }

  /** The same for any machines. */
  usageOn(boxes: Iterable<string>): Map<string, Amount> {
    const sums = new Map<string, Amount>();
    for (const box of boxes)
      for (const uid of this.onBox.get(box) ?? []) {
        const job = this.jobs.get(uid);
        if (!job) continue;
        add(sums, job.s, (job.r[box]?.length ?? 0) / 2);
      }
    return sums;
  }

  private note(key: string, value: Body | null): void {
    const { kind, name } = keyParts(key);
    switch (kind) {
      case 'job':
        this.noteStored(name, value as unknown as StoredJob | null);
        break;
      case 'run':
        this.noteRun(key, value as RunRecord | null);
        break;
      case 'lot':
        this.noteLot(name, value as MachineBatchRecord | null);
        break;
      case 'dom':
        this.changed.hosts = true;
        this.noteHead(name, value as HeadRecord | null);
        break;
      case 'own':
        this.noteShard(name, key, value as ShardRecord | null);
        break;
      case 'live':
        this.changed.hosts = true;
        assign(this.live, name, value as LiveRecord | null);
        break;
      case 'list':
        assign(within(this.lists, name), key, value as ListRecord | null);
        break;
      case 'end':
        if (value) this.remember(name, value as unknown as EndRecord);
        break;
      case 'term':
        this.term = (value as TermRecord | null)?.t ?? 0;
        break;
      case 'new':
        this.newcomers = Number(value?.['n'] ?? 0);
        break;
      case 'fleet':
        this.fleet = (value as FleetRecord | null) ?? undefined;
        break;
    }
  }

  remember(uid: string, end: EndRecord): void {
    this.ends.delete(uid);
    this.ends.set(uid, end);
    if (this.ends.size <= ENDS_KEPT) return;
    for (const oldest of this.ends.keys()) {
      this.ends.delete(oldest);
      break;
    }
  }

  /** The one map of a domain's machines, kept up to date in place. */
  private shared(host: string): Map<string, number> {
    return within(this.machines, host);
  }

  /** All machines of a domain are under its incarnation's term at least: one put raises them all. */
  private noteHead(host: string, value: HeadRecord | null): void {
    const before = this.domains.get(host)?.term ?? 0;
    if (value) this.domains.set(host, { ...readHead(value), m: this.shared(host) });
    else this.domains.delete(host);
    const term = value?.t ?? 0;
    if (term <= before) return;
    for (const [box, under] of this.shared(host)) if (under < term) this.setTerm(box, host, term);
  }

  private setTerm(box: string, host: string, term: number): void {
    const owner = this.owners.get(box);
    if (!owner) return;
    owner.term = term;
    this.shared(host).set(box, term);
    this.changed.owned.add(box);
  }

  private noteShard(host: string, key: string, value: ShardRecord | null): void {
    const shards = within(this.shards, host);
    const before = shards.get(key) ?? {};
    assign(shards, key, value);
    const after = new Map<string, number>();
    const least = this.domains.get(host)?.term ?? 0;
    for (const [term, boxes] of Object.entries(value ?? {}))
      for (const box of boxes) after.set(box, Math.max(Number(term), least));
    // A machine may have moved to another shard or domain in the same transaction already.
    for (const box of Object.values(before).flat())
      if (!after.has(box) && this.owners.get(box)?.shard === key) this.disown(box);
    for (const [box, term] of after) {
      const owner = this.owners.get(box);
      if (owner?.shard === key && owner.term === term) continue;
      if (owner) this.disown(box);
      this.owners.set(box, { host, term, shard: key });
      this.countOn(box, host, 1);
      this.shared(host).set(box, term);
      this.changed.owned.add(box);
    }
  }

  private disown(box: string): void {
    const owner = this.owners.get(box);
    if (!owner) return;
    this.countOn(box, owner.host, -1);
    this.owners.delete(box);
    this.shared(owner.host).delete(box);
    this.changed.owned.add(box);
    this.changed.left.set(box, owner.host);
  }

  /** A machine's tasks are counted for its domain, or no longer. */
  private countOn(box: string, host: string, sign: 1 | -1): void {
    for (const uid of this.onBox.get(box) ?? []) {
      const job = this.jobs.get(uid);
      if (job) add(within(this.usageOf, host), job.s, (sign * (job.r[box]?.length ?? 0)) / 2);
    }
  }

  private noteLot(name: string, value: MachineBatchRecord | null): void {
    const before = this.lots.get(name);
    assign(this.lots, name, value);
    for (const id of Object.keys(before?.b ?? {}))
      if (!value || !(id in value.b)) {
        this.boxes.delete(id);
        bounded(this.removed, id);
        this.changed.boxes.add(id);
      }
    if (!value) return;
    for (const [id, address] of Object.entries(value.b)) {
      const going = value.g?.[id];
      if (before?.b[id] === address && before.g?.[id] === going) continue;
      const box: MachineRecord = {
        lot: name,
        address,
        flavor: value.f,
        site: value.s,
        reclaimable: value.r,
        at: value.at,
      };
      if (going !== undefined) box.going = going;
      this.boxes.set(id, box);
      this.changed.boxes.add(id);
    }
  }

  private noteStored(uid: string, value: StoredJob | null): void {
    const before = this.stored.get(uid);
    assign(this.stored, uid, value);
    this.noteJob(uid);
    if (before && value && !wantsOthers(before, value)) return;
    for (const runs of this.partsOf(uid).values())
      for (const box of Object.keys(runs)) this.changed.touched.add(box);
  }

  private noteRun(key: string, value: RunRecord | null): void {
    const { name: host, part } = keyParts(key);
    this.parts.set(host, Math.max(this.parts.get(host) ?? 0, part + 1));
    const before = this.runs.get(key) ?? {};
    const after = value ?? {};
    this.runs.set(key, after);
    for (const uid of Object.keys(before)) if (!(uid in after)) this.setRuns(uid, key, null);
    for (const [uid, runs] of Object.entries(after))
      if (!sameRuns(before[uid], runs)) this.setRuns(uid, key, runs);
  }

  private setRuns(uid: string, key: string, runs: Runs | null): void {
    let parts = this.runsOf.get(uid);
    if (!parts) this.runsOf.set(uid, (parts = new Map()));
    const before = parts.get(key) ?? {};
    for (const box of new Set([...Object.keys(before), ...Object.keys(runs ?? {})]))
      if (!samePairs(before[box], runs?.[box])) this.changed.touched.add(box);
    if (runs) parts.set(key, runs);
    else parts.delete(key);
    if (parts.size === 0) this.runsOf.delete(uid);
    this.noteJob(uid);
  }

  private noteJob(uid: string): void {
    this.changed.jobs.add(uid);
    const before = this.jobs.get(uid);
    if (before) this.count(uid, before, -1);
    const stored = this.stored.get(uid);
    if (!stored) {
      this.jobs.delete(uid);
      return;
    }
    const r: Runs = {};
    for (const runs of this.partsOf(uid).values())
      for (const [box, pairs] of Object.entries(runs))
        r[box] = r[box] ? [...r[box], ...pairs] : pairs;
    const job = { ...stored, r };
    this.jobs.set(uid, job);
    this.count(uid, job, 1);
  }

  private count(uid: string, job: JobRecord, sign: 1 | -1): void {
    let tasks = 0;
    for (const [box, pairs] of Object.entries(job.r)) {
      const here = pairs.length / 2;
      tasks += here;
      let set = this.onBox.get(box);
      if (!set) this.onBox.set(box, (set = new Set()));
      if (sign > 0) set.add(uid);
      else set.delete(uid);
      if (set.size === 0) this.onBox.delete(box);
      const host = this.owners.get(box)?.host;
      if (host !== undefined) add(within(this.usageOf, host), job.s, sign * here);
    }
    add(this.usage, job.s, sign * tasks);
  }
}

function add(sums: Map<string, Amount>, spec: JobSpec, tasks: number): void {
  const sum = sums.get(spec.owner);
  sums.set(spec.owner, {
    cpus: (sum?.cpus ?? 0) + tasks * spec.cpus,
    cards: (sum?.cards ?? 0) + tasks * spec.cards,
  });
}

function bounded(set: Set<string>, name: string): void {
  set.add(name);
  if (set.size > REMOVED_KEPT) set.delete(set.values().next().value ?? '');
}

function sameRuns(one: Runs | undefined, two: Runs): boolean {
  if (!one) return false;
  const boxes = Object.keys(two);
  if (Object.keys(one).length !== boxes.length) return false;
  return boxes.every((box) => samePairs(one[box], two[box]));
}

function samePairs(a: number[] | undefined, b: number[] | undefined): boolean {
  if (a === b) return true;
  return a?.length === b?.length && a?.every((value, at) => value === b?.[at]) === true;
}

/** Whether the two states of a job want its tasks to go on or stop in another way. */
function wantsOthers(one: StoredJob, two: StoredJob): boolean {
  return (
    one.cancelled !== two.cancelled ||
    one.gangDone !== two.gangDone ||
    one.gangBroken !== two.gangBroken ||
    !samePairs(one.stop ?? [], two.stop ?? [])
  );
}

/** The inner map of that name, made when it is first asked for. */
function within<T>(maps: Map<string, Map<string, T>>, name: string): Map<string, T> {
  let map = maps.get(name);
  if (!map) maps.set(name, (map = new Map()));
  return map;
}

function assign<T>(map: Map<string, T>, name: string, value: T | null): void {
  if (value === null) map.delete(name);
  else map.set(name, value);
}
