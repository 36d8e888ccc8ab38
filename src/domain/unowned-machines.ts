/**
 * Claims machines that send heartbeats here and that nobody owns, and assigns new ones to the live controllers.
 * Nothing is recorded on a machine without an owner, so no part of a quota limit has to come with it.
 */
import type { CommitOutcome, Transaction, Write } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import {
  encodeFencingToken,
  encodeFirstClaims,
  encodeMachineBatch,
  keys,
} from '../store/records/index.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';
import { getOrAdd } from '../util/maps.js';
import { compareNames } from '../util/order.js';
import type { DomainContext } from './context.js';
import { groupIntoBatches } from './machine-batching.js';
import type { MachineOwnership } from './machine-ownership.js';
import { fitsTransactionLimits } from './transaction-limits.js';

/** A machine that sent a heartbeat and that no domain holds. */
export interface UnownedMachine {
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Highest fencing token that its worker has seen. */
  fencingToken: number;
  /** Time of day of the heartbeat, in milliseconds. */
  reportedAt: number;
}

/** A machine that is to be claimed. */
interface ClaimRequest extends UnownedMachine {
  machineId: string;
  /** When it was first asked for, by this process's clock. */
  requestedAt: number;
}

/** Machines that a line of the log names. */
const MAX_LOGGED_MACHINES = 10;
/** Machines waiting to be claimed that one controller remembers. */
const MAX_CLAIM_REQUESTS = 1000;

/** Remembers the machines that are to be claimed, and proposes the claims. */
export class UnownedMachines {
  private readonly requests = new Map<string, ClaimRequest>();

  constructor(
    private readonly context: DomainContext,
    private readonly ownership: MachineOwnership,
  ) {}

  /** Asks for a machine that nobody owns; the claim follows with the others that come meanwhile. */
  requestClaim(machineId: string, machine: UnownedMachine): void {
    const { options, state, clock, wake } = this.context;
    // A late copy of a heartbeat must not bring a machine back that was given back; names are not used again.
    if (state.removedMachines.has(machineId)) return;
    const requestedAt = this.requests.get(machineId)?.requestedAt ?? clock.now();
    if (this.requests.size < MAX_CLAIM_REQUESTS)
      this.requests.set(machineId, { ...machine, machineId, requestedAt });
    clock.after(options.gatherMs, wake);
  }

  /** Claims the machines that were asked for: found at the start, or rented by a late request. */
  propose(): Proposal | null {
    const { state, ownDomain } = this.context;
    for (const machineId of this.requests.keys())
      if (state.ownerOf(machineId)) this.requests.delete(machineId);
    if (!this.isClaimDue()) return null;
    const requests = [...this.requests.values()];
    const incarnationToken = ownDomain.record.fencingToken;
    // Only a token that a worker has not seen yet can be its machine's.
    const mustRaise = requests.some(({ fencingToken }) => fencingToken >= incarnationToken);
    const fencingToken = mustRaise ? state.fencingToken + 1 : incarnationToken;
    return this.claim(requests, fencingToken, mustRaise);
  }

  /**
   * Assigns new machines to the live controllers, the smallest domains first, as part of a transaction that records
   * them. Each comes under the fencing token of its owner's incarnation, for nobody owned it before. What more than
   * `maxWrites` writes would take is left to whoever hears of it first.
   */
  assignNew(machineIds: readonly string[], maxWrites: number): Transaction {
    const { state } = this.context;
    const writes = [this.firstClaimWrite()];
    for (const [owner, fencingTokens] of this.assignToSmallest(machineIds)) {
      const shardWrites = this.ownership.shardWrites(owner, { set: fencingTokens });
      if (writes.length + shardWrites.length <= maxWrites) writes.push(...shardWrites);
    }
    return { conditions: state.unchangedBefore(writes), writes };
  }

  private isClaimDue(): boolean {
    const { options, clock } = this.context;
    const now = clock.now();
    for (const { requestedAt } of this.requests.values())
      if (now - requestedAt >= options.gatherMs) return true;
    return false;
  }

  /** Claims as many as one transaction holds; the rest follows with the next. */
  private claim(
    requests: readonly ClaimRequest[],
    fencingToken: number,
    mustRaise: boolean,
  ): Proposal {
    const { maxWrites } = this.context.options;
    for (let count = requests.length; ; count = Math.ceil(count / 2)) {
      const claimed = requests.slice(0, count);
      const transaction = this.claimTransaction(claimed, fencingToken);
      if (mustRaise) this.raiseFencingToken(transaction, fencingToken);
      if (count > 1 && !fitsTransactionLimits(transaction, maxWrites)) continue;
      const machineIds = claimed.map(({ machineId }) => machineId);
      return {
        transaction,
        settled: (outcome) => {
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
    // Thousands may come up at once: the line names a few.
    const machineId = machineIds.slice(0, MAX_LOGGED_MACHINES);
    this.context.log.info(
      { machines: machineIds.length, machineId, fencingToken },
      'machines claimed',
    );
  }

  private raiseFencingToken(transaction: Transaction, fencingToken: number): void {
    transaction.conditions.push(this.context.state.unchanged(keys.fencingToken));
    transaction.writes.push({
      put: keys.fencingToken,
      value: encodeFencingToken(fencingToken),
    });
  }

  private claimTransaction(claimed: readonly ClaimRequest[], fencingToken: number): Transaction {
    const { options, state, ownDomain } = this.context;
    const fencingTokens = new Map(claimed.map(({ machineId }) => [machineId, fencingToken]));
    const shardWrites = this.ownership.shardWrites(options.self, { set: fencingTokens });
    const batches = this.batchTransaction(claimed);
    return {
      conditions: [
        ownDomain.ownershipCondition(),
        ...state.unchangedBefore(shardWrites),
        state.unchanged(keys.firstClaims),
        ...batches.conditions,
      ],
      writes: [...shardWrites, this.firstClaimWrite(), ...batches.writes],
    };
  }

  /** Records the machines that have no record yet. */
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
   * A batch of that name may be left from when its first machine was another one's. Written over, it would take the
   * records of all its machines with it, and with them the proof of what runs there.
   */
  private unusedBatchName(firstMachineId: string): string {
    let name = firstMachineId;
    for (let suffix = 1; this.context.state.machineBatches.has(name); suffix++)
      name = `${firstMachineId}.${String(suffix)}`;
    return name;
  }

  /**
   * Everybody who gives machines their first owner changes this record, under the condition that it is unchanged. So
   * no two do it for the same machine, and nobody needs conditions on the domains of all others, which change all
   * the time.
   */
  private firstClaimWrite(): Write {
    const { firstClaims } = this.context.state;
    return { put: keys.firstClaims, value: encodeFirstClaims(firstClaims + 1) };
  }

  /** Owner to the machines assigned to it, each with its fencing token. */
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
