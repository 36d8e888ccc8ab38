/** Keys of the records in the state service. Their names are stored and never change. */

/** What all keys of this program begin with. */
export const PREFIX = 'tv/';

const RECORD_KINDS = [
  'dom',
  'own',
  'run',
  'job',
  'term',
  'new',
  'lot',
  'list',
  'live',
  'end',
  'fleet',
] as const;

/** The kinds of records, by the name that their keys begin with. */
export type RecordKind = (typeof RECORD_KINDS)[number];

const knownKinds: ReadonlySet<string> = new Set(RECORD_KINDS);

const isRecordKind = (kind: string): kind is RecordKind => knownKinds.has(kind);

/** Names may hold any character, a slash included. */
const escaped = (name: string): string => encodeURIComponent(name);

/** The key of each record. */
export const keys = {
  /** The one counter that fencing tokens come from. */
  fencingToken: `${PREFIX}term`,
  /** Who rents machines, and the rental requests whose outcome is open. */
  fleet: `${PREFIX}fleet`,
  /** Changed whenever a machine that nobody held gets its first owner. */
  firstClaims: `${PREFIX}new`,
  /** Head of a controller's domain. */
  domain: (host: string) => `${PREFIX}dom/${escaped(host)}`,
  /** Shard `n` of a domain's machines. */
  machineShard: (host: string, n: number) => `${PREFIX}own/${escaped(host)}/${String(n)}`,
  /** Present while a controller's lease is renewed. */
  liveness: (host: string) => `${PREFIX}live/${escaped(host)}`,
  /** Part `n` of a domain's takeover lists. */
  takeoverList: (host: string, n: number) => `${PREFIX}list/${escaped(host)}/${String(n)}`,
  /** Partition `n` of the allocations on the machines of a domain. */
  allocations: (host: string, n: number) => `${allocationsPrefix(host)}${String(n)}`,
  /** Machines that were rented or first seen together. */
  machineBatch: (name: string) => `${PREFIX}lot/${escaped(name)}`,
  /** A job that is not over. */
  job: (jobId: string) => `${PREFIX}job/${escaped(jobId)}`,
  /** What is kept for good of a job that is over. */
  finalState: (jobId: string) => `${PREFIX}end/${escaped(jobId)}`,
};

/** What the keys of all allocation partitions of a domain begin with. */
export function allocationsPrefix(host: string): string {
  return `${PREFIX}run/${escaped(host)}/`;
}

/** What a full reading consists of; final states are asked for one by one. */
export const READ_PREFIXES: readonly string[] = [
  'dom/',
  'fleet',
  'job/',
  'list/',
  'live/',
  'lot/',
  'new',
  'own/',
  'run/',
  'term',
].map((kind) => PREFIX + kind);

/** What a key says of its record. */
export interface KeyParts {
  /** Null if this program knows no records of this kind. */
  kind: RecordKind | null;
  /** The host, batch or job that the record is of; empty if there is one record of its kind. */
  name: string;
  /** Number of the part, for records that are kept in parts. */
  part: number;
}

/** Splits a key into what it says of its record. */
export function keyParts(key: string): KeyParts {
  const [kind = '', name = '', part = '0'] = key.slice(PREFIX.length).split('/');
  return { kind: isRecordKind(kind) ? kind : null, name: unescaped(name), part: Number(part) };
}

/** A name that was not escaped by this program, and cannot be unescaped, stays as it is. */
function unescaped(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}
