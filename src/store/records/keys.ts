/** Keys of the records in the state service. Their names are stored and never change. */

export const PREFIX = 'tv/';

const escaped = (name: string): string => encodeURIComponent(name);

export const keys = {
  /** The one counter that fencing tokens come from. */
  fencingToken: `${PREFIX}term`,
  fleet: `${PREFIX}fleet`,
  /** Changed whenever a machine that nobody held gets its first owner. */
  firstClaims: `${PREFIX}new`,
  domain: (host: string) => `${PREFIX}dom/${escaped(host)}`,
  /** Shard `n` of a domain's machines. */
  machineShard: (host: string, n: number) => `${PREFIX}own/${escaped(host)}/${String(n)}`,
  liveness: (host: string) => `${PREFIX}live/${escaped(host)}`,
  /** Part `n` of a domain's takeover lists. */
  takeoverList: (host: string, n: number) => `${PREFIX}list/${escaped(host)}/${String(n)}`,
  /** Part `n` of the allocations on the machines of a domain. */
  allocations: (host: string, n: number) => `${PREFIX}run/${escaped(host)}/${String(n)}`,
  machineBatch: (name: string) => `${PREFIX}lot/${escaped(name)}`,
  job: (jobId: string) => `${PREFIX}job/${escaped(jobId)}`,
  finalState: (jobId: string) => `${PREFIX}end/${escaped(jobId)}`,
};

/** The kinds of records, by the name that their keys begin with. */
export type RecordKind =
  'dom' | 'own' | 'run' | 'job' | 'term' | 'new' | 'lot' | 'list' | 'live' | 'end' | 'fleet';

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

/** Splits a key into its kind, the name in it and, for records in parts, the part's number. */
export function keyParts(key: string): { kind: string; name: string; part: number } {
  const [kind = '', name = '', part = '0'] = key.slice(PREFIX.length).split('/');
  return { kind, name: unescaped(name), part: Number(part) };
}

/** Names are stored escaped; one that is not a name of ours stays as it is. */
function unescaped(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}
