/** Writes that add machines to a domain, remove them from it, or change their fencing tokens. */
import type { Condition, Transaction, Write } from '../store/client.js';
import { allocationConditions } from '../store/allocation-conditions.js';
import { encodeShard, keys } from '../store/records/index.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';
import type { DomainContext } from './context.js';
import { reshard, type MachineChange } from './machine-shards.js';

/** Distributes ownership changes over the shards of domains. */
export class MachineOwnership {
  constructor(private readonly context: Pick<DomainContext, 'options' | 'state' | 'ownDomain'>) {}

  /** The shard writes that a change to a domain needs, without conditions. */
  shardWrites(owner: string, change: MachineChange): Write[] {
    const { options, state } = this.context;
    const shards = reshard(
      state.shards.get(owner) ?? new Map(),
      change,
      options.maxValueBytes * VALUE_FILL_RATIO,
      (shardNumber) => keys.machineShard(owner, shardNumber),
    );
    return [...shards].map(([key, record]) =>
      record ? { put: key, value: encodeShard(record) } : { delete: key },
    );
  }

  /**
   * Removes own machines from the domain or changes their fencing tokens, as part of a transaction. Each changed shard
   * has a condition of its own, so a successor's claim and this change cannot both be committed for the same shard.
   */
  changeOwnMachines(change: MachineChange): Transaction {
    const { options, state, ownDomain } = this.context;
    const writes = this.shardWrites(options.self, change);
    const dropConditions = change.drop ? this.dropConditions(change.drop) : [];
    return {
      conditions: [
        ownDomain.ownershipCondition(),
        ...dropConditions,
        ...state.unchangedConditions(writes),
      ],
      writes,
    };
  }

  /**
   * A machine may be dropped only while no tasks are recorded on it: afterwards no domain would count or stop them. For
   * own machines, `allocationConditions` on the own domain ensures that. A machine without an owner may have been
   * claimed in the meantime, so it also needs a condition on the record of first claims.
   */
  private dropConditions(machineIds: Iterable<string>): Condition[] {
    const { options, state } = this.context;
    const conditions = allocationConditions(state, options.self, options.maxWrites);
    const isAnyUnowned = [...machineIds].some((machineId) => !state.ownerOf(machineId));
    return isAnyUnowned ? [...conditions, state.unchangedCondition(keys.firstClaims)] : conditions;
  }
}
