/** The transaction that moves machines from a peer's domain to this one's. */
import type { Domain } from '../model/domain.js';
import type { Condition, Transaction, Write } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import { allocationConditions } from '../store/allocation-conditions.js';
import { nextFencingTokenRange } from '../store/fencing-token-counter.js';
import { encodeDomainHead, keys } from '../store/records/index.js';
import type { AllocationAdopter } from './allocation-adopter.js';
import type { DomainContext } from './context.js';
import type { MachineOwnership } from './machine-ownership.js';
import { transferQuota } from './quota-sharing.js';
import { fitsTransactionLimits } from './transaction-limits.js';

/** A request to transfer machines to this controller. */
export interface MachineTransferRequest {
  /** Controller that owns the machines. */
  from: string;
  /** Domain of that controller. */
  domain: Domain;
  machineIds: readonly string[];
  /** Whether the owner is alive and lends the machines. If not, the transfer is committed only if the owner is dead. */
  isBorrowed: boolean;
}

/** Proposes transfers of machines together with the quota that their tasks use. */
export class MachineTransfer {
  constructor(
    private readonly context: DomainContext,
    private readonly ownership: MachineOwnership,
    private readonly allocationAdopter: AllocationAdopter,
  ) {}

  /** Transfers all machines in one transaction, or only the first ones if all exceed the limits of the state service. */
  propose(request: MachineTransferRequest): Proposal {
    const { from, machineIds, isBorrowed } = request;
    const { log, ownDomain } = this.context;
    const { transaction, count } = this.largestTransaction(request);
    if (count < machineIds.length)
      log.error(
        { from, machines: machineIds.length, machinesAtOnce: count },
        'machine transfer split: settings.state.txn_ops or value_kb too small',
      );
    return {
      takesOver: true,
      transaction,
      onSettled: (outcome) => {
        if (outcome.kind !== 'done') return;
        this.allocationAdopter.requestScan();
        const conditions = transaction.conditions.length;
        log.info(
          { from, machines: count, isBorrowed, conditions, ...ownDomain.decisionContext() },
          'machines taken over',
        );
      },
    };
  }

  private largestTransaction(request: MachineTransferRequest): {
    transaction: Transaction;
    count: number;
  } {
    const { machineIds } = request;
    const { maxWrites } = this.context.options;
    for (let count = machineIds.length; ; count = Math.ceil(count / 2)) {
      const transaction = this.transactionFor({
        ...request,
        machineIds: machineIds.slice(0, count),
      });
      if (count <= 1 || fitsTransactionLimits(transaction, maxWrites))
        return { transaction, count };
    }
  }

  /**
   * The quota that the machines' tasks use is transferred with them. The transaction has conditions on the allocations of
   * the giving domain (see `allocationConditions`), so every task that was placed there is counted.
   */
  private transactionFor(request: MachineTransferRequest): Transaction {
    const { from, domain, machineIds } = request;
    const { state, ownDomain } = this.context;
    const { controller, record: own } = ownDomain;
    const { fencingToken, condition, write } = nextFencingTokenRange(state);
    const quota = this.quotaAfter(request, own);
    const shardWrites = [
      ...this.ownership.shardWrites(from, { drop: machineIds }),
      ...this.ownership.shardWrites(controller, {
        set: new Map(machineIds.map((machineId) => [machineId, fencingToken])),
      }),
    ];
    return {
      conditions: [...this.conditionsFor(request, shardWrites), condition],
      writes: [
        { put: keys.domain(from), value: encodeDomainHead({ ...domain, quota: quota.giver }) },
        {
          put: keys.domain(controller),
          value: encodeDomainHead({ ...own, quota: quota.receiver }),
        },
        ...shardWrites,
        write,
      ],
    };
  }

  private quotaAfter(
    { from, domain, machineIds, isBorrowed }: MachineTransferRequest,
    own: Domain,
  ): ReturnType<typeof transferQuota> {
    const { state } = this.context;
    // A dead owner gives unused quota in proportion to the number of machines; a live one keeps its unused quota.
    const unusedShare = isBorrowed ? 0 : machineIds.length / domain.machines.size;
    return transferQuota(
      { quota: domain.quota, used: state.usageInDomain(from) },
      { quota: own.quota, moving: state.usageOnMachines(machineIds) },
      unusedShare,
    );
  }

  private conditionsFor(
    { from, isBorrowed }: MachineTransferRequest,
    shardWrites: Write[],
  ): Condition[] {
    const { options, state, ownDomain } = this.context;
    const ownerIsDead: Condition = { key: keys.liveness(from), modRevision: 0 };
    return [
      ownDomain.ownershipCondition(),
      state.unchangedCondition(keys.domain(from)),
      ...allocationConditions(state, from, options.maxWrites),
      ...state.unchangedConditions(shardWrites),
      ...(isBorrowed ? [] : [ownerIsDead]),
    ];
  }
}
