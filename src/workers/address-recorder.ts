/** Records where workers can be called, which only their reports tell. */
import type { MachineBatch } from '../model/machine.js';
import { encodeMachineBatch, keys, machineBatchBytes } from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { Proposal } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import type { WorkerSession } from './worker-session.js';

export interface AddressRecorderOptions {
  txnOps: number;
  /** Addresses that are not recorded yet are recorded together this often. */
  everyMs: number;
}

/** Heirs call machines at their recorded addresses; those of new machines are known only from their reports. */
export class AddressRecorder {
  private proposedAt = -Infinity;

  constructor(
    private readonly options: AddressRecorderOptions,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly clock: Clock,
  ) {}

  propose(sessions: Iterable<WorkerSession>): Proposal | null {
    const now = this.clock.now();
    if (now - this.proposedAt < this.options.everyMs) return null;
    this.proposedAt = now;
    const unrecorded = this.unrecorded(sessions);
    const changed = this.changedBatches(unrecorded);
    if (changed.size === 0) return null;
    const guards = [...changed.keys()].map((name) => this.state.unchanged(keys.machineBatch(name)));
    const apply = [...changed].map(([name, batch]) => ({
      put: keys.machineBatch(name),
      value: encodeMachineBatch(batch),
    }));
    return {
      transaction: {
        conditions: [this.domainManager.ownershipCondition(), ...guards],
        writes: apply,
      },
      settled: (outcome) => {
        // Others write to the same batches: what was in the way is tried again soon.
        if (outcome.kind === 'conflict') this.proposedAt = now - this.options.everyMs / 2;
        // An heir can call only the machines whose addresses are recorded: the rest of a large fleet follows at once.
        if (outcome.kind === 'done' && changed.size < unrecorded.size) this.proposedAt = -Infinity;
      },
    };
  }

  /** As many batches with their new addresses as one transaction holds. */
  private changedBatches(
    unrecorded: ReadonlyMap<string, Record<string, string>>,
  ): Map<string, MachineBatch> {
    const room = new TransactionBudget(this.options.txnOps);
    const changed = new Map<string, MachineBatch>();
    for (const [name, addresses] of unrecorded) {
      const batch = this.state.machineBatches.get(name);
      if (!batch) continue;
      const next = { ...batch, addresses: { ...batch.addresses, ...addresses } };
      if (!room.take(machineBatchBytes(next))) break;
      changed.set(name, next);
    }
    return changed;
  }

  /** Batch -> machine -> address that its record lacks. */
  private unrecorded(sessions: Iterable<WorkerSession>): Map<string, Record<string, string>> {
    const batches = new Map<string, Record<string, string>>();
    for (const { machineId: id, address, fencingToken: term } of sessions) {
      const machine = this.state.machines.get(id);
      if (!machine || address === '' || machine.address === address) continue;
      if (this.domainManager.fencingTokenFor(id) !== term) continue;
      const batch = batches.get(machine.batch) ?? {};
      batch[id] = address;
      batches.set(machine.batch, batch);
    }
    return batches;
  }
}
