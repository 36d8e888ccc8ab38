import type { Body } from '../wire/codec.js';
import {
  keyParts,
  keys,
  type BoxRecord,
  type DomainRecord,
  type EndRecord,
  type FleetRecord,
  type JobRecord,
  type ListRecord,
  type LiveRecord,
  type TermRecord,
} from './records.js';
import { Replica } from './replica.js';

export interface Usage {
  cpus: number;
  cards: number;
}

/** The replica read as records, with the indexes that the loops need, kept up to date change by change. */
export class State {
  readonly replica: Replica;
  readonly jobs = new Map<string, JobRecord>();
  readonly boxes = new Map<string, BoxRecord>();
  readonly domains = new Map<string, DomainRecord>();
  readonly lists = new Map<string, ListRecord>();
  readonly live = new Map<string, LiveRecord>();
  /** Machine -> jobs that may have tasks on it. */
  readonly onBox = new Map<string, Set<string>>();
  readonly usage = new Map<string, Usage>();
  /** The last final states seen; older ones are asked of the store. */
  readonly ends = new Map<string, EndRecord>();
  fleet: FleetRecord | undefined;
  term = 0;
  private owners = new Map<string, { host: string; term: number }>();

  constructor(private readonly onChange: (kind: string, name: string) => void) {
    this.replica = new Replica((key, value) => {
      this.note(key, value);
    });
  }

  ownerOf(box: string): { host: string; term: number } | undefined {
    return this.owners.get(box);
  }

  stampOf(key: string): number {
    return this.replica.stampOf(key);
  }

  used(team: string): Usage {
    return this.usage.get(team) ?? { cpus: 0, cards: 0 };
  }

  private note(key: string, value: Body | null): void {
    const { kind, name } = keyParts(key);
    switch (kind) {
      case 'job':
        this.noteJob(name, value as JobRecord | null);
        break;
      case 'box':
        assign(this.boxes, name, value as BoxRecord | null);
        break;
      case 'dom':
        assign(this.domains, name, value as DomainRecord | null);
        this.owners = new Map(
          [...this.domains].flatMap(([host, domain]) =>
            Object.entries(domain.m).map(([box, term]) => [box, { host, term }] as const),
          ),
        );
        break;
      case 'live':
        assign(this.live, name, value as LiveRecord | null);
        break;
      case 'list':
        assign(this.lists, name, value as ListRecord | null);
        break;
      case 'end':
        if (value) this.remember(name, value as unknown as EndRecord);
        break;
      case 'term':
        this.term = (value as TermRecord | null)?.t ?? 0;
        break;
      case 'fleet':
        this.fleet = (value as FleetRecord | null) ?? undefined;
        break;
    }
    this.onChange(kind, name);
  }

  remember(uid: string, end: EndRecord): void {
    this.ends.delete(uid);
    this.ends.set(uid, end);
    if (this.ends.size <= 2000) return;
    for (const oldest of this.ends.keys()) {
      this.ends.delete(oldest);
      break;
    }
  }

  private noteJob(uid: string, job: JobRecord | null): void {
    const before = this.jobs.get(uid);
    if (before) this.count(uid, before, -1);
    assign(this.jobs, uid, job);
    if (job) this.count(uid, job, 1);
  }

  private count(uid: string, job: JobRecord, sign: 1 | -1): void {
    let tasks = 0;
    for (const [box, pairs] of Object.entries(job.r)) {
      tasks += pairs.length / 2;
      let set = this.onBox.get(box);
      if (!set) this.onBox.set(box, (set = new Set()));
      if (sign > 0) set.add(uid);
      else set.delete(uid);
      if (set.size === 0) this.onBox.delete(box);
    }
    const used = this.used(job.s.owner);
    this.usage.set(job.s.owner, {
      cpus: used.cpus + sign * tasks * job.s.cpus,
      cards: used.cards + sign * tasks * job.s.cards,
    });
  }
}

function assign<T>(map: Map<string, T>, name: string, value: T | null): void {
  if (value === null) map.delete(name);
  else map.set(name, value);
}

export { keys };
