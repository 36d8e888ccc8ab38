/** Index of the domain that owns each machine, derived from the heads and shards of the domains. */
import { getOrAdd } from '../util/maps.js';
import type { ShardRecord } from './records/index.js';

/** The owner of a machine. */
export interface Owner {
  host: string;
  /** Fencing token under which the machine is owned. */
  fencingToken: number;
  /** Key of the shard that lists the machine. */
  shard: string;
}

/** A shard that changed. Null means that it did not exist before, or does not exist any more. */
export interface ShardChange {
  host: string;
  key: string;
  before: ShardRecord | null;
  after: ShardRecord | null;
}

/** A machine whose owner, shard or fencing token changed. */
export interface OwnerChange {
  machine: string;
  before: Owner | undefined;
  after: Owner | undefined;
}

/**
 * The owners depend only on the records, that is on all shards that list a machine, and not on the order in which these
 * arrive. If two shards list a machine, the claim with the higher fencing token wins.
 */
export class OwnershipIndex {
  /** The claim of each shard that lists a machine, by machine id; almost always one. */
  private readonly claims = new Map<string, readonly Owner[]>();
  private readonly owners = new Map<string, Owner>();
  /** Machines of each domain with their fencing tokens, by host. */
  private readonly machinesByHost = new Map<string, Map<string, number>>();
  /** Fencing token in the head of each domain, by host. */
  private readonly headTokens = new Map<string, number>();
  private readonly listedTwice = new Set<string>();

  ownerOf(machineId: string): Owner | undefined {
    return this.owners.get(machineId);
  }

  /** The machines of a domain with their fencing tokens. Always the same map, which is updated in place. */
  machinesOf(host: string): ReadonlyMap<string, number> {
    return this.machineMapOf(host);
  }

  /** All machines with their owners. */
  all(): ReadonlyMap<string, Owner> {
    return this.owners;
  }

  /** Machines that several shards list: the records violate the rule that a machine has a single owner. */
  machinesListedTwice(): ReadonlySet<string> {
    return this.listedTwice;
  }

  /**
   * Applies changed heads (fencing token by host, 0 if there is no head) and changed shards together. A machine's
   * fencing token is at least the one in the head of its domain, so one write of the head raises the tokens of all its
   * machines.
   */
  update(headTokens: ReadonlyMap<string, number>, shards: readonly ShardChange[]): OwnerChange[] {
    const affected = new Set<string>();
    for (const [host, token] of headTokens) {
      if (this.headTokens.get(host) === token) continue;
      this.headTokens.set(host, token);
      for (const machineId of this.machinesOf(host).keys()) affected.add(machineId);
    }
    for (const shard of shards) this.replaceClaims(shard, affected);
    const changes: OwnerChange[] = [];
    for (const machineId of affected) {
      const change = this.updateOwner(machineId);
      if (change) changes.push(change);
    }
    return changes;
  }

  private replaceClaims({ host, key, before, after }: ShardChange, affected: Set<string>): void {
    for (const machineId of Object.values(before ?? {}).flat()) {
      const others = this.claimsOn(machineId).filter(({ shard }) => shard !== key);
      this.setClaims(machineId, others);
      affected.add(machineId);
    }
    for (const [token, machineIds] of Object.entries(after ?? {}))
      for (const machineId of machineIds) {
        const claim: Owner = { host, fencingToken: Number(token), shard: key };
        this.setClaims(machineId, [...this.claimsOn(machineId), claim]);
        affected.add(machineId);
      }
  }

  private claimsOn(machineId: string): readonly Owner[] {
    return this.claims.get(machineId) ?? [];
  }

  private setClaims(machineId: string, claims: readonly Owner[]): void {
    if (claims.length === 0) this.claims.delete(machineId);
    else this.claims.set(machineId, claims);
    if (claims.length > 1) this.listedTwice.add(machineId);
    else this.listedTwice.delete(machineId);
  }

  /** Updates the owner of a machine from the claims on it. */
  private updateOwner(machineId: string): OwnerChange | null {
    const before = this.owners.get(machineId);
    const after = highestClaim(this.claimsOn(machineId), this.headTokens);
    if (before?.shard === after?.shard && before?.fencingToken === after?.fencingToken) return null;
    if (before) this.machinesByHost.get(before.host)?.delete(machineId);
    if (after) {
      this.owners.set(machineId, after);
      this.machineMapOf(after.host).set(machineId, after.fencingToken);
    } else this.owners.delete(machineId);
    return { machine: machineId, before, after };
  }

  private machineMapOf(host: string): Map<string, number> {
    return getOrAdd(this.machinesByHost, host, () => new Map<string, number>());
  }
}

/**
 * The claim with the highest fencing token, where a token counts at least as high as that in its domain's head. Among
 * equal tokens the claim whose shard key sorts last wins.
 */
function highestClaim(
  claims: readonly Owner[],
  headTokens: ReadonlyMap<string, number>,
): Owner | undefined {
  let best: Owner | undefined;
  for (const { host, fencingToken: ownToken, shard } of claims) {
    const fencingToken = Math.max(ownToken, headTokens.get(host) ?? 0);
    const isLower =
      best !== undefined &&
      (best.fencingToken > fencingToken ||
        (best.fencingToken === fencingToken && best.shard > shard));
    if (!isLower) best = { host, fencingToken, shard };
  }
  return best;
}
