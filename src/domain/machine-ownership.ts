/** Writes by which machines join or leave a domain, or come under another fencing token. */
import type { Condition, Transaction, Write } from '../store/client.js';
import { allocationConditions } from '../store/allocation-conditions.js';
import { encodeShard, keys } from '../store/records/index.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';
import type { DomainContext } from './context.js';
import { reshard, type MachineChange } from './machine-shards.js';

/** Lays changes of ownership out over the shards of domains. */
export class MachineOwnership {
  constructor(private readonly context: Pick<DomainContext, 'options' | 'state' | 'ownDomain'>) {}

  /** The writes of a domain's shards that a change needs, without any condition. */
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
   * Own machines leave the domain or come under another fencing token, as part of a transaction. Each shard has a
   * condition of its own, so that a successor's claim and this cannot both be made of the same shard.
   */
  changeOwnMachines(change: MachineChange): Transaction {
    const { options, state, ownDomain } = this.context;
    const writes = this.shardWrites(options.self, change);
    const dropConditions = change.drop ? this.dropConditions(change.drop) : [];
    return {
      conditions: [
        ownDomain.ownershipCondition(),
        ...dropConditions,
        ...state.unchangedBefore(writes),
      ],
      writes,
    };
  }

  /**
   * A machine is dropped only while nothing is recorded on it: no domain would count that, nor end it. For own
   * machines the own parts say so; one without an owner may have been claimed meanwhile.
   */
  private dropConditions(machineIds: Iterable<string>): Condition[] {
    const { options, state } = this.context;
    const conditions = allocationConditions(state, options.self, options.maxWrites);
    const isAnyUnowned = [...machineIds].some((machineId) => !state.ownerOf(machineId));
    return isAnyUnowned ? [...conditions, state.unchanged(keys.firstClaims)] : conditions;
  }
}
