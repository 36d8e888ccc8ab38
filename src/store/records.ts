/** The records kept in the state service. Each fact has one record; whatever can be derived is derived. */
import type { Body } from '../wire/codec.js';
import { bytesOf } from './bytes.js';

export const PREFIX = 'tv/';

const part = (name: string): string => encodeURIComponent(name);

export const keys = {
  term: `${PREFIX}term`,
  fleet: `${PREFIX}fleet`,
  /** Changed whenever a machine that nobody held gets its first holder. */
  newcomers: `${PREFIX}new`,
  domain: (host: string) => `${PREFIX}dom/${part(host)}`,
  /** Shard `n` of a domain's machines. */
  own: (host: string, n: number) => `${PREFIX}own/${part(host)}/${String(n)}`,
  live: (host: string) => `${PREFIX}live/${part(host)}`,
  /** Part `n` of a domain's takeover lists. */
  list: (host: string, n: number) => `${PREFIX}list/${part(host)}/${String(n)}`,
  /** Part `n` of what is recorded on the machines of a domain. */
  run: (host: string, n: number) => `${PREFIX}run/${part(host)}/${String(n)}`,
  lot: (name: string) => `${PREFIX}lot/${part(name)}`,
  job: (uid: string) => `${PREFIX}job/${part(uid)}`,
  end: (uid: string) => `${PREFIX}end/${part(uid)}`,
};

/** Splits a key into its kind, the name in it and, for records in parts, the part's number. */
export function keyParts(key: string): { kind: string; name: string; part: number } {
  const [kind = '', name = '', n = '0'] = key.slice(PREFIX.length).split('/');
  return { kind, name: decoded(name), part: Number(n) };
}

/** Names are stored escaped; one that is not a name of ours stays as it is. */
function decoded(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}

/** The one counter that terms come from, raised in the transaction that claims. */
export interface TermRecord {
  t: number;
}

/** An amount of what a team may use. */
export interface ResourceAmount {
  cpus: number;
  cards: number;
}

/** A controller's domain. */
export interface Domain {
  /** Incarnation of the process that holds it. */
  inc: number;
  /** Term of this incarnation: machines that nobody held before come under it. */
  term: number;
  /** Team -> what its tasks may use on these machines. Over all domains it adds up to the team's limit. */
  quota: Record<string, ResourceAmount>;
  /** Machine -> term under which it was claimed; recorded in the shards. */
  m: ReadonlyMap<string, number>;
}

/** The head of a domain, which every loss of a machine changes. */
export interface HeadRecord {
  inc: number;
  t: number;
  /** Team -> CPUs and cards. */
  q: Record<string, [number, number]>;
}

/** Part of a domain's machines, by term: the last controller alive must hold all there are. */
export type ShardRecord = Record<string, string[]>;

export function storeHead(domain: Omit<Domain, 'm'>): Body {
  const q: HeadRecord['q'] = {};
  for (const [team, { cpus, cards }] of Object.entries(domain.quota)) q[team] = [cpus, cards];
  return { inc: domain.inc, t: domain.term, q };
}

export function readHead(record: HeadRecord): Omit<Domain, 'm'> {
  const quota: Domain['quota'] = {};
  for (const [team, [cpus, cards]] of Object.entries(record.q)) quota[team] = { cpus, cards };
  return { inc: record.inc, term: record.t, quota };
}

/** What may be on machines for one job: machine -> task, attempt, task, attempt, ... */
export type AllocationsByMachine = Record<string, number[]>;

/** The same for many jobs: job -> machine -> task, attempt, task, attempt, ... */
export type RunRecord = Record<string, AllocationsByMachine>;

/** Present while the controller's lease is renewed. */
export interface LiveRecord {
  inc: number;
}

/** Which heir takes over which machines of one owner: part of its lists. */
export type ListRecord = Record<string, string[]>;

/** Machines of one kind that were rented or first seen together. */
export interface MachineBatchRecord {
  f: string;
  s: string;
  r: boolean;
  /** Time of day at which they were rented or first seen. */
  at: number;
  /** Machine -> address, empty until it is known. */
  b: Record<string, string>;
  /** Machines that are to be emptied and given back, and why. */
  g?: Record<string, string>;
}

/** What a reason to give a machine back takes beside the machine's name; the reasons are this program's own. */
const REASON_BYTES = 24;

/** How large the record of a lot may get: each of its machines may have to be given back. */
export function machineBatchBytes(lot: MachineBatchRecord): number {
  const { b } = lot;
  let bytes = Buffer.byteLength(JSON.stringify({ ...lot, g: {} }));
  for (const id of Object.keys(b)) bytes += bytesOf(id) + REASON_BYTES;
  return bytes;
}

/** By how much the record of a lot grows with a further machine. */
export function machineBytes(id: string, address: string): number {
  // Comma, name, colon and address; the name once more and a reason, should it be given back.
  return 1 + bytesOf(id) + 1 + bytesOf(address) + bytesOf(id) + REASON_BYTES;
}

/** A machine, as its lot tells. */
export interface MachineRecord {
  batch: string;
  address: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  at: number;
  /** Set when the machine is to be emptied and given back. */
  drainReason?: string;
}

export type CordonReason = 'silent' | 'sick' | 'warned';

export type Shape = 'array' | 'group' | 'standing';
export type Priority = 'critical' | 'urgent' | 'standard' | 'idle';

export interface JobSpec {
  jobclass: string;
  owner: string;
  shape: Shape;
  rank: Priority;
  tasks: number;
  cpus: number;
  cards: number;
  memory_gb: number;
  image: string;
  image_gb: number;
  flavors: string[] | null;
  site: string | null;
  one_zone: boolean;
  spread: boolean;
  reclaimable: boolean;
  expect_s: number;
  snapshot_s: number;
  flush_s: number;
  due_s: number | null;
}

/**
 * A job that is not over. Of the tasks below `n`, those neither in `r` nor in `b` are done, so the record
 * stays small however many tasks the job has. `r` is not stored with it: it is put together from what the
 * domains record, so that one change can carry the starts and ends of many jobs.
 */
export interface JobRecord {
  s: JobSpec;
  /** Time of day of its acceptance. */
  at: number;
  cancelled?: true;
  /** Last attempt number given out. */
  t: number;
  /** Tasks from this one on were never placed. */
  n: number;
  /** Machine -> task, attempt, task, attempt, ... of whatever may be on it. */
  r: Record<string, number[]>;
  /** Placed before, and waiting again. */
  b: number[];
  /** Tasks that are to stop with time to save. */
  stop?: number[];
  /** A gang of which one task is done: all are. */
  gangDone?: true;
  /** A gang whose attempt is broken: none of it goes on. */
  gangBroken?: true;
  /** Failures since the last success, and the time of day before which none is tried again. */
  fails?: number;
  notBefore?: number;
  /** Machines on which it failed last. */
  avoid?: string[];
}

export interface EndRecord {
  ph: 'done' | 'cancelled';
  tasks: number;
}

export interface RentalClaim {
  claim: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  count: number;
}

/** The regional duty to rent: who holds it, and the rentals whose outcome is not recorded yet. */
export interface FleetRecord {
  holder: string;
  inc: number;
  seq: number;
  claims: RentalClaim[];
}

export type StoredJob = Omit<JobRecord, 'r'>;

export function storeJob(job: JobRecord): Body {
  const { r, ...stored } = job;
  void r;
  return stored;
}

export const asBody = (record: object): Body => record as Body;
