/** Records the addresses of workers, which are known only from their heartbeats. */
import type { MachineBatch } from '../model/machine.js';
import { encodeMachineBatch, keys, machineBatchBytes } from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { CommitOutcome } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import { getOrAdd } from '../util/maps.js';
import type { SessionStore } from './session-store.js';

/** How often addresses are recorded, and how many at once. */
export interface AddressRecorderOptions {
  /** Maximum number of writes in a transaction. */
  maxWrites: number;
  /** Interval at which unrecorded addresses are recorded in one batch, in milliseconds. */
  batchingMs: number;
}

/** Dependencies of an `AddressRecorder`. */
export interface AddressRecorderDependencies {
  state: State;
  sessions: SessionStore;
  domainManager: DomainManager;
  clock: Clock;
}

/** Addresses by machine id. */
type Addresses = Record<string, string>;

/**
 * Writes new or changed worker addresses to the machine batches. A successor calls machines at their recorded
 * addresses; the address of a new machine is known only from its heartbeats.
 */
export class AddressRecorder {
  private proposedAt = -Infinity;

  constructor(
    private readonly options: AddressRecorderOptions,
    private readonly dependencies: AddressRecorderDependencies,
  ) {}

  propose(): Proposal | null {
    const { state, domainManager, clock } = this.dependencies;
    const now = clock.now();
    if (now - this.proposedAt < this.options.batchingMs) return null;
    this.proposedAt = now;
    const unrecorded = this.unrecordedAddresses();
    const changed = this.changedBatches(unrecorded);
    if (changed.size === 0) return null;
    const isPartial = changed.size < unrecorded.size;
    const batchesUnchanged = [...changed.keys()].map((name) =>
      state.unchangedCondition(keys.machineBatch(name)),
    );
    return {
      transaction: {
        conditions: [domainManager.ownershipCondition(), ...batchesUnchanged],
        writes: [...changed].map(([name, batch]) => ({
          put: keys.machineBatch(name),
          value: encodeMachineBatch(batch),
        })),
      },
      onSettled: (outcome) => {
        this.scheduleNext(outcome, now, isPartial);
      },
    };
  }

  private scheduleNext(outcome: CommitOutcome, proposedAt: number, isPartial: boolean): void {
    // Other code writes to the same machine batches, so conflicts are expected: retry after half an interval.
    if (outcome.kind === 'conflict') this.proposedAt = proposedAt - this.options.batchingMs / 2;
    // A successor can call only machines whose addresses are recorded, so record the rest of a large fleet at once.
    if (outcome.kind === 'done' && isPartial) this.proposedAt = -Infinity;
  }

  /** Machine batches updated with their new addresses, as many as fit into one transaction. */
  private changedBatches(unrecorded: ReadonlyMap<string, Addresses>): Map<string, MachineBatch> {
    const budget = new TransactionBudget(this.options.maxWrites);
    const changed = new Map<string, MachineBatch>();
    for (const [name, addresses] of unrecorded) {
      const batch = this.dependencies.state.machineBatches.get(name);
      if (!batch) continue;
      const next = { ...batch, addresses: { ...batch.addresses, ...addresses } };
      if (!budget.reserve(machineBatchBytes(next))) break;
      changed.set(name, next);
    }
    return changed;
  }

  /** Addresses of owned machines that are not recorded yet, by machine batch. */
  private unrecordedAddresses(): Map<string, Addresses> {
    const { state, sessions } = this.dependencies;
    const batches = new Map<string, Addresses>();
    for (const session of sessions.values()) {
      const { machineId, address } = session;
      const machine = state.machines.get(machineId);
      if (!machine || address === '' || machine.address === address) continue;
      if (!sessions.isOwned(session)) continue;
      getOrAdd(batches, machine.batch, (): Addresses => ({}))[machineId] = address;
    }
    return batches;
  }
}
