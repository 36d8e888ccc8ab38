/** Stored records of domains: heads, machine shards, takeover lists, liveness, and the counters beside them. */
import type { DomainHead, Liveness } from '../../model/domain.js';
import type { Body } from '../../wire/codec.js';

/** The head of a domain as it is stored: incarnation, fencing token and quota. */
interface StoredDomainHead {
  inc: number;
  t: number;
  /** Team to CPUs and GPUs. */
  q: Record<string, [number, number]>;
}

/** Fencing token to machines: part of a domain's machines. */
export type ShardRecord = Record<string, string[]>;

/** Successor to the machines that it takes over from one owner: part of that owner's takeover lists. */
export type TakeoverListRecord = Record<string, string[]>;

/** The stored form of the head of a domain. */
export function encodeDomainHead(head: DomainHead): Body {
  const quota: StoredDomainHead['q'] = {};
  for (const [team, { cpus, gpus }] of Object.entries(head.quota)) quota[team] = [cpus, gpus];
  return { inc: head.incarnation, t: head.fencingToken, q: quota };
}

/** The head of a domain from its stored form. */
export function decodeDomainHead(body: Body): DomainHead {
  const stored = body as unknown as StoredDomainHead;
  const quota: DomainHead['quota'] = {};
  for (const [team, [cpus, gpus]] of Object.entries(stored.q)) quota[team] = { cpus, gpus };
  return { incarnation: stored.inc, fencingToken: stored.t, quota };
}

/** The stored form of a machine shard. */
export const encodeShard = (shard: ShardRecord): Body => shard;

/** A machine shard from its stored form. */
export const decodeShard = (body: Body): ShardRecord => body as ShardRecord;

/** The stored form of a part of the takeover lists. */
export const encodeTakeoverList = (list: TakeoverListRecord): Body => list;

/** A part of the takeover lists from its stored form. */
export const decodeTakeoverList = (body: Body): TakeoverListRecord => body as TakeoverListRecord;

/** The stored form of the proof that a controller is alive. */
export function encodeLiveness({ incarnation }: Liveness): Body {
  return { inc: incarnation };
}

/** The proof that a controller is alive from its stored form. */
export function decodeLiveness(body: Body): Liveness {
  return { incarnation: Number(body['inc']) };
}

/** The stored form of the counter that fencing tokens come from. */
export const encodeFencingToken = (token: number): Body => ({ t: token });

/** The last fencing token given out, from its stored form. */
export const decodeFencingToken = (body: Body): number => Number(body['t']);

/** The stored form of the count of transactions that gave machines their first owner. */
export const encodeFirstClaims = (count: number): Body => ({ n: count });

/** How many transactions have given machines their first owner, from its stored form. */
export const decodeFirstClaims = (body: Body): number => Number(body['n']);
