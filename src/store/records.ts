/** The records kept in the state service. Each fact has one record; whatever can be derived is derived. */
import type { Body } from '../wire/codec.js';

export const PREFIX = 'tv/';

const part = (name: string): string => encodeURIComponent(name);

export const keys = {
  term: `${PREFIX}term`,
  fleet: `${PREFIX}fleet`,
  domain: (host: string) => `${PREFIX}dom/${part(host)}`,
  live: (host: string) => `${PREFIX}live/${part(host)}`,
  list: (host: string) => `${PREFIX}list/${part(host)}`,
  box: (id: string) => `${PREFIX}box/${part(id)}`,
  team: (name: string) => `${PREFIX}team/${part(name)}`,
  job: (uid: string) => `${PREFIX}job/${part(uid)}`,
  end: (uid: string) => `${PREFIX}end/${part(uid)}`,
};

/** Splits a key into its kind and the name in it. */
export function keyParts(key: string): { kind: string; name: string } {
  const rest = key.slice(PREFIX.length);
  const slash = rest.indexOf('/');
  return slash < 0
    ? { kind: rest, name: '' }
    : { kind: rest.slice(0, slash), name: decodeURIComponent(rest.slice(slash + 1)) };
}

/** The one counter that terms come from, raised in the transaction that claims. */
export interface TermRecord {
  t: number;
}

/** A controller's domain: its incarnation, and its machines with the term each was claimed under. */
export interface DomainRecord {
  inc: number;
  m: Record<string, number>;
}

/** Present while the controller's lease is renewed. */
export interface LiveRecord {
  inc: number;
}

/** Which heir takes over which machines of one owner. */
export interface ListRecord {
  l: Record<string, string[]>;
}

export interface BoxRecord {
  address: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  /** Time of day at which it was rented or first seen. */
  at: number;
  /** Set by the owner while nothing may be placed on it. */
  hold?: Hold;
  /** Set when the machine is to be emptied and given back. */
  going?: string;
}

export type Hold = 'silent' | 'sick' | 'warned';

/** A turnstile: every launch for the team changes it, so two controllers cannot both use the last room. */
export interface TeamRecord {
  v: number;
}

export type Shape = 'array' | 'group' | 'standing';
export type Rank = 'critical' | 'urgent' | 'standard' | 'idle';

export interface JobSpec {
  jobclass: string;
  owner: string;
  shape: Shape;
  rank: Rank;
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
 * stays small however many tasks the job has.
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

export const asBody = (record: object): Body => record as Body;
