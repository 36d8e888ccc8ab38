/**
 * Claims machines that send heartbeats to this controller and have no owner, and assigns new machines to the live
 * controllers. No tasks are recorded on a machine without an owner, so no quota has to be transferred with it.
 */
import type { CommitOutcome, Transaction, Write } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import { nextFencingTokenRange, type FencingTokenRange } from '../store/fencing-token-counter.js';
import { encodeFirstClaims, encodeMachineBatch, keys } from '../store/records/index.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';
import { getOrAdd } from '../util/maps.js';
import { compareNames } from '../util/order.js';
import type { DomainContext } from './context.js';
import { groupIntoBatches } from './machine-batching.js';
import type { MachineOwnership } from './machine-ownership.js';
import { fitsTransactionLimits } from './transaction-limits.js';

/** A machine that sent a heartbeat and belongs to no domain. */
export interface UnownedMachine {
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Highest fencing token that its worker has seen. */
  fencingToken: number;
  /** Wall-clock time of the heartbeat, in milliseconds. */
  reportedAt: number;
}

/** A pending request to claim a machine. */
interface ClaimRequest extends UnownedMachine {
  machineId: string;
  /** When the claim was first requested, by this process's clock. */
  requestedAt: number;
}

/** Maximum number of machines listed in one log line. */
const MAX_LOGGED_MACHINES = 10;
/** Maximum number of pending claim requests of one controller. */
const MAX_CLAIM_REQUESTS = 1000;

/** Keeps the pending claim requests and proposes the claims. */
export class UnownedMachines {
  private readonly requests = new Map<string, ClaimRequest>();

  constructor(
    private readonly context: DomainContext,
    private readonly ownership: MachineOwnership,
  ) {}

  /** Requests the claim of a machine without an owner. It is committed together with others requested shortly after. */
  requestClaim(machineId: string, machine: UnownedMachine): void {
    const { options, state, clock, wake } = this.context;
    // A delayed copy of a heartbeat must not restore a machine that was returned to the cloud. Its id is not reused.
    if (state.removedMachines.has(machineId)) return;
    const requestedAt = this.requests.get(machineId)?.requestedAt ?? clock.now();
    if (this.requests.size < MAX_CLAIM_REQUESTS)
      this.requests.set(machineId, { ...machine, machineId, requestedAt });
    clock.after(options.batchingMs, wake);
  }

  /** Claims the requested machines: those found at start-up, or rented by a request that took effect late. */
  propose(): Proposal | null {
    const { state, ownDomain } = this.context;
    for (const machineId of this.requests.keys())
      if (state.ownerOf(machineId)) this.requests.delete(machineId);
    if (!this.isClaimDue()) return null;
    const requests = [...this.requests.values()];
    const incarnationToken = ownDomain.record.fencingToken;
    // A machine must get a fencing token that is higher than all that its worker has seen.
    const needsNewToken = requests.some(({ fencingToken }) => fencingToken >= incarnationToken);
    return this.claim(requests, incarnationToken, needsNewToken && nextFencingTokenRange(state));
  }

  /**
   * Assigns new machines to the live controllers, the smallest domains first, as part of a transaction that records
   * them. Each machine gets the fencing token of its owner's incarnation, because it had no owner before. Machines whose
   * assignment would exceed `maxWrites` writes are left to the first controller that receives a heartbeat from them.
   */
  assignNew(machineIds: readonly string[], maxWrites: number): Transaction {
    const { state } = this.context;
    const writes = [this.firstClaimWrite()];
    for (const [owner, fencingTokens] of this.assignToSmallest(machineIds)) {
      const shardWrites = this.ownership.shardWrites(owner, { set: fencingTokens });
      if (writes.length + shardWrites.length <= maxWrites) writes.push(...shardWrites);
    }
    return { conditions: state.unchangedConditions(writes), writes };
  }

  private isClaimDue(): boolean {
    const { options, clock } = this.context;
    const now = clock.now();
    for (const { requestedAt } of this.requests.values())
      if (now - requestedAt >= options.batchingMs) return true;
    return false;
  }

  /** Claims as many machines as fit into one transaction; the others follow in the next. */
  private claim(
    requests: readonly ClaimRequest[],
    incarnationToken: number,
    newRange: FencingTokenRange | false,
  ): Proposal {
    const { maxWrites } = this.context.options;
    const fencingToken = newRange ? newRange.fencingToken : incarnationToken;
    for (let count = requests.length; ; count = Math.ceil(count / 2)) {
      const claimed = requests.slice(0, count);
      const transaction = this.claimTransaction(claimed, fencingToken);
      if (newRange) {
        transaction.conditions.push(newRange.condition);
        transaction.writes.push(newRange.write);
      }
      if (count > 1 && !fitsTransactionLimits(transaction, maxWrites)) continue;
      const machineIds = claimed.map(({ machineId }) => machineId);
      return {
        transaction,
        onSettled: (outcome) => {
          this.settle(outcome, machineIds, fencingToken);
        },
      };
    }
  }

  private settle(
    outcome: CommitOutcome,
    machineIds: readonly string[],
    fencingToken: number,
  ): void {
    if (outcome.kind !== 'done') return;
    for (const machineId of machineIds) this.requests.delete(machineId);
    // Thousands of machines may start at the same time, so the log line lists only a few.
    const machineId = machineIds.slice(0, MAX_LOGGED_MACHINES);
    this.context.log.info(
      { machines: machineIds.length, machineId, fencingToken },
      'machines claimed',
    );
  }

  private claimTransaction(claimed: readonly ClaimRequest[], fencingToken: number): Transaction {
    const { options, state, ownDomain } = this.context;
    const fencingTokens = new Map(claimed.map(({ machineId }) => [machineId, fencingToken]));
    const shardWrites = this.ownership.shardWrites(options.self, { set: fencingTokens });
    const batches = this.batchTransaction(claimed);
    return {
      conditions: [
        ownDomain.ownershipCondition(),
        ...state.unchangedConditions(shardWrites),
        state.unchangedCondition(keys.firstClaims),
        ...batches.conditions,
      ],
      writes: [...shardWrites, this.firstClaimWrite(), ...batches.writes],
    };
  }

  /** Adds records for the machines that have none yet. */
  private batchTransaction(claimed: readonly ClaimRequest[]): Transaction {
    const { options, state } = this.context;
    const unrecorded = claimed
      .filter(({ machineId }) => !state.machines.has(machineId))
      .map((request) => ({ ...request, firstSeenAt: request.reportedAt }));
    const transaction: Transaction = { conditions: [], writes: [] };
    for (const batch of groupIntoBatches(unrecorded, options.maxValueBytes * VALUE_FILL_RATIO)) {
      const key = keys.machineBatch(this.unusedBatchName(Object.keys(batch.addresses)[0] ?? ''));
      transaction.conditions.push({ key, modRevision: 0 });
      transaction.writes.push({ put: key, value: encodeMachineBatch(batch) });
    }
    return transaction;
  }

  /**
   * Batches of claimed machines are named after their first machine. A batch of that name may still exist, left from an
   * earlier time when the machine was the first one in it. Overwriting it would delete the records of all its machines,
   * and with them the evidence of what runs there.
   */
  private unusedBatchName(firstMachineId: string): string {
    let name = firstMachineId;
    for (let suffix = 1; this.context.state.machineBatches.has(name); suffix++)
      name = `${firstMachineId}.${String(suffix)}`;
    return name;
  }

  /**
   * Every transaction that gives machines their first owner increments the counter in this record, on condition that the
   * record is unchanged. So no two controllers can become the first owner of the same machine, and no conditions are
   * needed on the domains of all others, which change all the time.
   */
  private firstClaimWrite(): Write {
    const { firstClaims } = this.context.state;
    return { put: keys.firstClaims, value: encodeFirstClaims(firstClaims + 1) };
  }

  /** Owner to the machines that are assigned to it, with their fencing tokens. */
  private assignToSmallest(machineIds: readonly string[]): Map<string, Map<string, number>> {
    const { state } = this.context;
    const assigned = new Map<string, Map<string, number>>();
    const sizes = new Map<string, number>();
    for (const [owner, { machines }] of state.domains)
      if (state.liveness.has(owner)) sizes.set(owner, machines.size);
    for (const machineId of machineIds) {
      const owner = smallestOf(sizes);
      if (owner === undefined || state.ownerOf(machineId)) continue;
      const fencingToken = state.domains.get(owner)?.fencingToken ?? 0;
      getOrAdd(assigned, owner, () => new Map<string, number>()).set(machineId, fencingToken);
      sizes.set(owner, (sizes.get(owner) ?? 0) + 1);
    }
    return assigned;
  }
}

function smallestOf(sizes: ReadonlyMap<string, number>): string | undefined {
  const [smallest] = [...sizes].sort((a, b) => a[1] - b[1] || compareNames(a[0], b[0]));
  return smallest?.[0];
}
