/** Stored records of domains: heads, machine shards, takeover lists, liveness, and the counters beside them. */
import type { DomainHead, Liveness } from '../../model/domain.js';
import type { Body } from '../../wire/codec.js';

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

export function encodeDomainHead(head: DomainHead): Body {
  const quota: StoredDomainHead['q'] = {};
  for (const [team, { cpus, gpus }] of Object.entries(head.quota)) quota[team] = [cpus, gpus];
  return { inc: head.incarnation, t: head.fencingToken, q: quota };
}

export function decodeDomainHead(body: Body): DomainHead {
  const stored = body as unknown as StoredDomainHead;
  const quota: DomainHead['quota'] = {};
  for (const [team, [cpus, gpus]] of Object.entries(stored.q)) quota[team] = { cpus, gpus };
  return { incarnation: stored.inc, fencingToken: stored.t, quota };
}

export const encodeShard = (shard: ShardRecord): Body => shard;

export const decodeShard = (body: Body): ShardRecord => body as ShardRecord;

export const encodeTakeoverList = (list: TakeoverListRecord): Body => list;

export const decodeTakeoverList = (body: Body): TakeoverListRecord => body as TakeoverListRecord;

export function encodeLiveness({ incarnation }: Liveness): Body {
  return { inc: incarnation };
}

export function decodeLiveness(body: Body): Liveness {
  return { incarnation: Number(body['inc']) };
}

/** The counter that fencing tokens come from. */
export const encodeFencingToken = (token: number): Body => ({ t: token });

export const decodeFencingToken = (body: Body): number => Number(body['t']);

/** How many transactions have given machines their first owner. */
export const encodeFirstClaims = (count: number): Body => ({ n: count });

export const decodeFirstClaims = (body: Body): number => Number(body['n']);
