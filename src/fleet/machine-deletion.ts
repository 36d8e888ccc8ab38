/** Deletes drained machines at the cloud, and removes their records once the cloud has confirmed that they are gone. */
import type { MachineBatch } from '../model/machine.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeMachineBatch, keys, machineBatchBytes } from '../store/records/index.js';
import { MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import { without } from '../util/records.js';
import { attemptCloudRequest } from './cloud-request.js';
import type { FleetDependencies } from './dependencies.js';
import type { RentingLeadership } from './renting-leadership.js';

/** Machines that the cloud deletes for one request. */
const MAX_MACHINES_PER_REQUEST = 100;

/** Records to remove in one transaction. */
interface Removal {
  machineIds: string[];
  /** Name to what is left of each batch. */
  batches: Map<string, MachineBatch>;
  room: TransactionBudget;
}

/** Deletes drained machines and removes their records. */
export class MachineDeletion {
  /** Machines that the cloud has been asked to delete. */
  private readonly inFlight = new Set<string>();
  /** Machine to when it was deleted or its record went; the cloud's list goes on showing it for a while. */
  private readonly deletedAt = new Map<string, number>();
  /** Machines that the cloud has confirmed to be gone and whose records are still there. */
  private readonly confirmed = new Set<string>();

  constructor(
    /** Writes that the state service accepts in one transaction. */
    private readonly maxWrites: number,
    private readonly dependencies: FleetDependencies,
    private readonly leadership: RentingLeadership,
  ) {}

  /** Removes the records of machines that the cloud has confirmed to be gone. */
  source(): ProposalSource {
    return { name: 'forget machine', propose: () => this.proposeRemoval() };
  }

  /** The record of a machine is gone. */
  recordRemoved(machineId: string): void {
    this.deletedAt.set(machineId, this.dependencies.clock.now());
  }

  /** Whether a machine was deleted recently, so that the cloud's list may still show it. */
  isDeleted(machineId: string): boolean {
    return this.deletedAt.has(machineId);
  }

  /** The cloud's list does not show machines any more that were deleted longer ago than this, in milliseconds. */
  forgetOlderThan(ageMs: number): void {
    const now = this.dependencies.clock.now();
    for (const [machineId, at] of this.deletedAt)
      if (now - at > ageMs) this.deletedAt.delete(machineId);
  }

  /** Deletes draining machines of the own domain; the renting leader also those that nobody owns. */
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
      // Drained for being idle, it may have been given tasks just before: those end first.
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
      // Proof that no task runs there any more.
      if (domainManager.fencingTokenFor(machineId) !== null)
        workerManager.requeueTasksOn(machineId);
    }
  }

  private proposeRemoval(): Proposal | null {
    const { state, domainManager } = this.dependencies;
    const removal: Removal = {
      machineIds: [],
      batches: new Map(),
      // The own domain's shards change as well.
      room: new TransactionBudget(this.maxWrites / 2, MAX_TRANSACTION_BYTES / 2),
    };
    for (const machineId of this.confirmed) this.addRemoval(removal, machineId);
    if (removal.batches.size === 0) return null;
    const { conditions, writes } = domainManager.changeMachines({ drop: removal.machineIds });
    for (const [name, batch] of removal.batches) {
      const key = keys.machineBatch(name);
      const isEmpty = Object.keys(batch.addresses).length === 0;
      conditions.push(state.unchanged(key));
      writes.push(isEmpty ? { delete: key } : { put: key, value: encodeMachineBatch(batch) });
    }
    return { transaction: { conditions, writes } };
  }

  /** Adds a machine whose deletion is confirmed, if its tasks have been recorded as ended and there is room. */
  private addRemoval({ machineIds, batches, room }: Removal, machineId: string): void {
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
    if (!batches.has(name) && !room.take(machineBatchBytes(batch))) return;
    const left: MachineBatch = { ...batch, addresses: without(batch.addresses, machineId) };
    if (batch.drainReasons) left.drainReasons = without(batch.drainReasons, machineId);
    batches.set(name, left);
    machineIds.push(machineId);
  }
}
