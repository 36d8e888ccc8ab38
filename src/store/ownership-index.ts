/** Which domain holds which machine, derived from the heads and shards of the domains. */
import { getOrAdd } from '../util/maps.js';
import type { ShardRecord } from './records/index.js';

export interface Owner {
  host: string;
  /** Term under which the machine is held. */
  fencingToken: number;
  /** Key of the shard that says so. */
  shard: string;
}

/** A shard that changed; null: there was or is none. */
export interface ShardChange {
  host: string;
  key: string;
  before: ShardRecord | null;
  after: ShardRecord | null;
}

/** A machine whose owner, shard or term changed. */
export interface OwnerChange {
  machine: string;
  before: Owner | undefined;
  after: Owner | undefined;
}

/**
 * The owners follow from the records alone: from all shards that list a machine, and not from the order in which
 * these became known. Should two shards list one, the claim under the higher term is the owner.
 */
export class OwnershipIndex {
  /** Machine -> what each shard that lists it says; nearly always one. */
  private readonly claims = new Map<string, readonly Owner[]>();
  private readonly owners = new Map<string, Owner>();
  private readonly machines = new Map<string, Map<string, number>>();
  private readonly headTokens = new Map<string, number>();
  private readonly doubled = new Set<string>();

  ownerOf(machine: string): Owner | undefined {
    return this.owners.get(machine);
  }

  /** The machines of a domain with their terms: one map, kept up to date in place. */
  machinesOf(host: string): ReadonlyMap<string, number> {
    return getOrAdd(this.machines, host, () => new Map<string, number>());
  }

  /** Machines with their owners. */
  all(): ReadonlyMap<string, Owner> {
    return this.owners;
  }

  /** Machines that several shards list: the records break the rule of single owners. */
  listedTwice(): ReadonlySet<string> {
    return this.doubled;
  }

  /**
   * Takes up changed heads (host to its term, 0 if there is none) and shards together. All machines of a
   * domain are under its incarnation's term at least: one put of the head raises them all.
   */
  update(heads: ReadonlyMap<string, number>, shards: readonly ShardChange[]): OwnerChange[] {
    const affected = new Set<string>();
    for (const [host, term] of heads) {
      if (this.headTokens.get(host) === term) continue;
      this.headTokens.set(host, term);
      for (const machine of this.machinesOf(host).keys()) affected.add(machine);
    }
    for (const shard of shards) this.replaceClaims(shard, affected);
    const changes: OwnerChange[] = [];
    for (const machine of affected) {
      const change = this.settle(machine);
      if (change) changes.push(change);
    }
    return changes;
  }

  private replaceClaims({ host, key, before, after }: ShardChange, affected: Set<string>): void {
    for (const machine of Object.values(before ?? {}).flat()) {
      this.setClaims(
        machine,
        this.claimsOn(machine).filter(({ shard }) => shard !== key),
      );
      affected.add(machine);
    }
    for (const [term, machines] of Object.entries(after ?? {}))
      for (const machine of machines) {
        const claim: Owner = { host, fencingToken: Number(term), shard: key };
        this.setClaims(machine, [...this.claimsOn(machine), claim]);
        affected.add(machine);
      }
  }

  private claimsOn(machine: string): readonly Owner[] {
    return this.claims.get(machine) ?? [];
  }

  private setClaims(machine: string, claims: readonly Owner[]): void {
    if (claims.length === 0) this.claims.delete(machine);
    else this.claims.set(machine, claims);
    if (claims.length > 1) this.doubled.add(machine);
    else this.doubled.delete(machine);
  }

  /** Brings the owner of a machine in line with the claims on it. */
  private settle(machine: string): OwnerChange | null {
    const before = this.owners.get(machine);
    const after = strongest(this.claimsOn(machine), this.headTokens);
    if (before?.shard === after?.shard && before?.fencingToken === after?.fencingToken) return null;
    if (before) this.machines.get(before.host)?.delete(machine);
    if (after) {
      this.owners.set(machine, after);
      getOrAdd(this.machines, after.host, () => new Map<string, number>()).set(
        machine,
        after.fencingToken,
      );
    } else this.owners.delete(machine);
    return { machine, before, after };
  }
}

/** The claim under the highest term, heads counted; between equals the names of the shards decide. */
function strongest(
  claims: readonly Owner[],
  headTerms: ReadonlyMap<string, number>,
): Owner | undefined {
  let best: Owner | undefined;
  for (const { host, fencingToken: term, shard } of claims) {
    const raised = Math.max(term, headTerms.get(host) ?? 0);
    if (
      best &&
      (best.fencingToken > raised || (best.fencingToken === raised && best.shard > shard))
    )
      continue;
    best = { host, fencingToken: raised, shard };
  }
  return best;
}
