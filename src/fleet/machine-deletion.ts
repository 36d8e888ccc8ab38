/** Deletes drained machines at the cloud, and removes their records once the deletion is confirmed. */
import type { MachineBatch } from '../model/machine.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeMachineBatch, keys, machineBatchBytes } from '../store/records/index.js';
import { MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import { without } from '../util/records.js';
import { attemptCloudRequest } from './cloud-request.js';
import type { FleetDependencies } from './dependencies.js';
import type { RentingLeadership } from './renting-leadership.js';

/** Maximum number of machines that the cloud deletes per request. */
const MAX_MACHINES_PER_REQUEST = 100;

/** Records to remove in one transaction. */
interface Removal {
  machineIds: string[];
  /** Name of each changed batch to the batch without the removed machines. */
  batches: Map<string, MachineBatch>;
  budget: TransactionBudget;
}

/** Deletes drained machines, and removes their records afterwards. */
export class MachineDeletion {
  /** Machines in a delete request that has not been answered yet. */
  private readonly inFlight = new Set<string>();
  /**
   * Machine to the time at which it was deleted or its record was removed, in milliseconds of the monotonic clock. The
   * cloud's list may still show such a machine, because the list lags behind.
   */
  private readonly deletedAt = new Map<string, number>();
  /** Machines whose deletion the cloud has confirmed and whose records have not been removed yet. */
  private readonly confirmed = new Set<string>();

  constructor(
    /** Maximum number of writes in one transaction of the state service. */
    private readonly maxWrites: number,
    private readonly dependencies: FleetDependencies,
    private readonly leadership: RentingLeadership,
  ) {}

  /** Removes the records of machines whose deletion the cloud has confirmed. */
  source(): ProposalSource {
    return { name: 'forget machine', propose: () => this.proposeRemoval() };
  }

  /** Called when the record of a machine has been removed. */
  recordRemoved(machineId: string): void {
    this.deletedAt.set(machineId, this.dependencies.clock.now());
  }

  /** Whether a machine was deleted recently, so that the cloud's list may still show it. */
  isDeleted(machineId: string): boolean {
    return this.deletedAt.has(machineId);
  }

  /** Forgets machines that were deleted more than `ageMs` ago: the cloud's list no longer shows them. */
  forgetOlderThan(ageMs: number): void {
    const now = this.dependencies.clock.now();
    for (const [machineId, at] of this.deletedAt)
      if (now - at > ageMs) this.deletedAt.delete(machineId);
  }

  /** Deletes the draining machines of this controller's domain; the renting leader also deletes unowned ones. */
  deleteDrained(): void {
    const { cloudLimiter, cloud, log, wake } = this.dependencies;
    const machineIds = this.drainedMachines();
    if (machineIds.length === 0 || cloudLimiter.waitMs(1) > 0) return;
    cloudLimiter.take(1);
    for (const machineId of machineIds) this.inFlight.add(machineId);
    void attemptCloudRequest(log, 'delete machines', async () => {
      await cloud.deleteMachines(machineIds);
      this.deletionConfirmed(machineIds);
      log.info({ machineIds }, 'machines deleted');
      wake();
    }).finally(() => {
      for (const machineId of machineIds) this.inFlight.delete(machineId);
    });
  }

  private drainedMachines(): string[] {
    const { state, domainManager } = this.dependencies;
    const machineIds: string[] = [];
    for (const [machineId, { drainReason }] of state.machines) {
      if (drainReason === undefined) continue;
      if (this.inFlight.has(machineId) || this.deletedAt.has(machineId)) continue;
      const isOwn = state.ownerOf(machineId)
        ? domainManager.fencingTokenFor(machineId) !== null
        : this.leadership.isHeld;
      if (!isOwn) continue;
      // Tasks may have been placed on an idle machine just before its drain was recorded: wait for them to end.
      if (drainReason === 'idle' && state.jobsByMachine.has(machineId)) continue;
      machineIds.push(machineId);
      if (machineIds.length === MAX_MACHINES_PER_REQUEST) break;
    }
    return machineIds;
  }

  private deletionConfirmed(machineIds: readonly string[]): void {
    const { domainManager, workerManager, clock } = this.dependencies;
    for (const machineId of machineIds) {
      this.deletedAt.set(machineId, clock.now());
      this.confirmed.add(machineId);
      // The deletion proves that no task runs on the machine any more.
      if (domainManager.fencingTokenFor(machineId) !== null)
        workerManager.requeueTasksOn(machineId);
    }
  }

  private proposeRemoval(): Proposal | null {
    const { state, domainManager } = this.dependencies;
    const removal: Removal = {
      machineIds: [],
      batches: new Map(),
      // The other half is for this domain's shards, which change in the same transaction.
      budget: new TransactionBudget(this.maxWrites / 2, MAX_TRANSACTION_BYTES / 2),
    };
    for (const machineId of this.confirmed) this.addRemoval(removal, machineId);
    if (removal.batches.size === 0) return null;
    const { conditions, writes } = domainManager.changeMachines({ drop: removal.machineIds });
    for (const [name, batch] of removal.batches) {
      const key = keys.machineBatch(name);
      const isEmpty = Object.keys(batch.addresses).length === 0;
      conditions.push(state.unchangedCondition(key));
      writes.push(isEmpty ? { delete: key } : { put: key, value: encodeMachineBatch(batch) });
    }
    return { transaction: { conditions, writes } };
  }

  /** Adds a deleted machine, if its tasks are recorded as ended and its batch fits into the transaction. */
  private addRemoval({ machineIds, batches, budget }: Removal, machineId: string): void {
    const { state, domainManager, workerManager } = this.dependencies;
    const machine = state.machines.get(machineId);
    const name = machine?.batch ?? '';
    const batch = batches.get(name) ?? state.machineBatches.get(name);
    if (!machine || !batch) {
      this.confirmed.delete(machineId);
      return;
    }
    if (state.ownerOf(machineId) && domainManager.fencingTokenFor(machineId) === null) return;
    if (state.jobsByMachine.has(machineId)) {
      workerManager.requeueTasksOn(machineId);
      return;
    }
    if (!batches.has(name) && !budget.reserve(machineBatchBytes(batch))) return;
    const remaining: MachineBatch = { ...batch, addresses: without(batch.addresses, machineId) };
    if (batch.drainReasons) remaining.drainReasons = without(batch.drainReasons, machineId);
    batches.set(name, remaining);
    machineIds.push(machineId);
  }
}
