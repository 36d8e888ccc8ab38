/** Stored records of domains: heads, machine shards, takeover lists, liveness records and related counters. */
import type { DomainHead, Liveness } from '../../model/domain.js';
import type { Body } from '../../wire/codec.js';

/** Stored form of the head of a domain: incarnation, fencing token and quota. */
interface StoredDomainHead {
  inc: number;
  t: number;
  /** CPUs and GPUs by team. */
  q: Record<string, [number, number]>;
}

/** Machine ids by fencing token: one shard of a domain's machines. */
export type ShardRecord = Record<string, string[]>;

/** Machine ids by the successor that takes them over from one owner: one part of that owner's takeover lists. */
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

/** The stored form of a controller's liveness record, which exists while its lease is valid. */
export function encodeLiveness({ incarnation }: Liveness): Body {
  return { inc: incarnation };
}

/** A controller's liveness record from its stored form. */
export function decodeLiveness(body: Body): Liveness {
  return { incarnation: Number(body['inc']) };
}

/** The stored form of the counter that fencing tokens are taken from. */
export const encodeFencingToken = (token: number): Body => ({ t: token });

/** The last fencing token that was issued, from its stored form. */
export const decodeFencingToken = (body: Body): number => Number(body['t']);

/** The stored form of the number of transactions that gave machines their first owner. */
export const encodeFirstClaims = (count: number): Body => ({ n: count });

/** The number of transactions that gave machines their first owner, from its stored form. */
export const decodeFirstClaims = (body: Body): number => Number(body['n']);
