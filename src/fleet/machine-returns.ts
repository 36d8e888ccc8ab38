/** Gives machines back to the cloud, and removes their records once it has confirmed that they are gone. */
import { without } from '../util/records.js';
import type { MachineBatch } from '../model/machine.js';
import { encodeMachineBatch, keys, machineBatchBytes } from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { CloudClient } from '../cloud/client.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import type { RateLimiter } from '../store/rate-limiter.js';
import type { State } from '../store/state.js';
import { MAX_TRANSACTION_BYTES } from '../store/transaction-limits.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import type { WorkerManager } from '../workers/manager.js';
import { attemptCloud } from './cloud-attempt.js';

/** Machines that the cloud takes back in one request. */
const MOST_DELETED = 100;

export class MachineReturns {
  private readonly deleting = new Set<string>();
  /** Machines that are not in the records any more; the list goes on showing them for a while. */
  private readonly gone = new Map<string, number>();
  /** Machines that the cloud has confirmed to be gone: the proof that their records may go. */
  private readonly deleted = new Set<string>();

  constructor(
    private readonly txnOps: number,
    private readonly cloud: CloudClient,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly workerManager: WorkerManager,
    private readonly limiter: RateLimiter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
    /** Whether machines that nobody owns are this controller's to give back. */
    private readonly onDuty: () => boolean,
  ) {}

  sources(): ProposalSource[] {
    return [{ name: 'forget machine', propose: () => this.proposeForget() }];
  }

  /** The record of a machine has gone. */
  noteGone(id: string): void {
    this.gone.set(id, this.clock.now());
  }

  /** Whether a machine was given back lately, so that a list may still show it. */
  isGone(id: string): boolean {
    return this.gone.has(id);
  }

  /** Lists as old as this are not expected any more, in milliseconds. */
  forgetOlderThan(ms: number): void {
    const now = this.clock.now();
    for (const [id, at] of this.gone) if (now - at > ms) this.gone.delete(id);
  }

  /** Deletes machines that are to go: own ones, and on duty also those that nobody owns. */
  deleteDrained(): void {
    const due: string[] = [];
    for (const [id, box] of this.state.machines) {
      if (box.drainReason === undefined || this.deleting.has(id) || this.gone.has(id)) continue;
      const owner = this.state.ownerOf(id);
      if (owner ? this.domainManager.fencingTokenFor(id) === null : !this.onDuty()) continue;
      // Given back for being idle, it may have been given work just before: that ends first.
      if (box.drainReason === 'idle' && this.state.jobsByMachine.has(id)) continue;
      if (due.length < MOST_DELETED) due.push(id);
    }
    if (due.length === 0 || this.limiter.waitMs(1) > 0) return;
    this.limiter.take(1);
    for (const id of due) this.deleting.add(id);
    void attemptCloud(this.log, 'give back', async () => {
      await this.cloud.deleteMachines(due);
      for (const id of due) {
        this.gone.set(id, this.clock.now());
        this.deleted.add(id);
        // The strongest proof there is: the machine and everything on it are gone.
        if (this.domainManager.fencingTokenFor(id) !== null) this.workerManager.requeueTasksOn(id);
      }
      this.log.info({ boxes: due }, 'machines given back');
      this.wake();
    }).finally(() => {
      for (const id of due) this.deleting.delete(id);
    });
  }

  private proposeForget(): Proposal | null {
    const lots = new Map<string, MachineBatch>();
    // The own domain's shards change as well.
    const room = new TransactionBudget(this.txnOps / 2, MAX_TRANSACTION_BYTES / 2);
    const drop: string[] = [];
    for (const id of this.deleted) {
      const box = this.state.machines.get(id);
      const name = box?.batch ?? '';
      const lot = lots.get(name) ?? this.state.machineBatches.get(name);
      if (!box || !lot) {
        this.deleted.delete(id);
        continue;
      }
      if (this.state.ownerOf(id) && this.domainManager.fencingTokenFor(id) === null) continue;
      if (this.state.jobsByMachine.has(id)) {
        this.workerManager.requeueTasksOn(id);
        continue;
      }
      if (!lots.has(name) && !room.take(machineBatchBytes(lot))) continue;
      const next: MachineBatch = { ...lot, addresses: without(lot.addresses, id) };
      if (lot.drainReasons) next.drainReasons = without(lot.drainReasons, id);
      lots.set(name, next);
      drop.push(id);
    }
    if (lots.size === 0) return null;
    const { conditions: guards, writes: apply } = this.domainManager.changeMachines({ drop });
    for (const [name, lot] of lots) {
      const key = keys.machineBatch(name);
      guards.push(this.state.unchanged(key));
      if (Object.keys(lot.addresses).length === 0) apply.push({ delete: key });
      else apply.push({ put: key, value: encodeMachineBatch(lot) });
    }
    return { transaction: { conditions: guards, writes: apply } };
  }
}
