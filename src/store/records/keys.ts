/** Keys of the records in the state service. The keys are part of the stored data and never change. */

/** Prefix of all keys of this program. */
export const KEY_PREFIX = 'tv/';

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

/** The kinds of records, named by the first segment of their keys after the common prefix. */
export type RecordKind = (typeof RECORD_KINDS)[number];

const knownKinds: ReadonlySet<string> = new Set(RECORD_KINDS);

const isRecordKind = (kind: string): kind is RecordKind => knownKinds.has(kind);

/** Names are escaped because they may contain any character, including a slash. */
const escapeName = (name: string): string => encodeURIComponent(name);

/** The key of each record. */
export const keys = {
  /** The single counter that fencing tokens are taken from. */
  fencingToken: `${KEY_PREFIX}term`,
  /** The controller that rents machines, and the rental requests whose outcome is not known yet. */
  fleet: `${KEY_PREFIX}fleet`,
  /** Counter that changes with every transaction that gives machines their first owner. */
  firstClaims: `${KEY_PREFIX}new`,
  /** Head of a controller's domain. */
  domain: (host: string) => `${KEY_PREFIX}dom/${escapeName(host)}`,
  /** Shard `n` of a domain's machines. */
  machineShard: (host: string, n: number) => `${KEY_PREFIX}own/${escapeName(host)}/${String(n)}`,
  /** Exists while a controller's lease is renewed. */
  liveness: (host: string) => `${KEY_PREFIX}live/${escapeName(host)}`,
  /** Part `n` of a domain's takeover lists. */
  takeoverList: (host: string, n: number) => `${KEY_PREFIX}list/${escapeName(host)}/${String(n)}`,
  /** Partition `n` of the allocations on the machines of a domain. */
  allocations: (host: string, n: number) => `${allocationsPrefix(host)}${String(n)}`,
  /** Machines that were rented or first seen together. */
  machineBatch: (name: string) => `${KEY_PREFIX}lot/${escapeName(name)}`,
  /** A job that has not ended. */
  job: (jobId: string) => `${KEY_PREFIX}job/${escapeName(jobId)}`,
  /** The final state of a job that has ended; kept permanently. */
  finalState: (jobId: string) => `${KEY_PREFIX}end/${escapeName(jobId)}`,
};

/** Key prefix of all allocation partitions of a domain. */
export function allocationsPrefix(host: string): string {
  return `${KEY_PREFIX}run/${escapeName(host)}/`;
}

/** Key prefixes that a full read covers. Final states are not included; they are read one by one on request. */
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
].map((kind) => KEY_PREFIX + kind);

/** The components of a key. */
export interface KeyParts {
  /** Kind of the record; null if this program does not define it. */
  kind: RecordKind | null;
  /** Name of the host, batch or job of the record; empty if there is only one record of its kind. */
  name: string;
  /** Number of the shard, part or partition, for records that are split; otherwise 0. */
  part: number;
}

/** Splits a key into its components. */
export function parseKey(key: string): KeyParts {
  const [kind = '', name = '', part = '0'] = key.slice(KEY_PREFIX.length).split('/');
  return { kind: isRecordKind(kind) ? kind : null, name: unescapeName(name), part: Number(part) };
}

/** Unescapes a name. A name that cannot be unescaped, as this program did not escape it, is returned unchanged. */
function unescapeName(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}
