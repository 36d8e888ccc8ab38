/** Records the addresses of workers, which only their heartbeats tell. */
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

/** How often and how much is recorded. */
export interface AddressRecorderOptions {
  /** The most changes that a transaction may have. */
  maxWrites: number;
  /** Addresses that are not recorded yet are recorded together this often, in milliseconds. */
  batchingMs: number;
}

/** What the recorder reads. */
export interface AddressRecorderDependencies {
  state: State;
  sessions: SessionStore;
  domainManager: DomainManager;
  clock: Clock;
}

/** Address by machine. */
type Addresses = Record<string, string>;

/** Successors call machines at their recorded addresses; those of new machines are known only from their heartbeats. */
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
      state.unchanged(keys.machineBatch(name)),
    );
    return {
      transaction: {
        conditions: [domainManager.ownershipCondition(), ...batchesUnchanged],
        writes: [...changed].map(([name, batch]) => ({
          put: keys.machineBatch(name),
          value: encodeMachineBatch(batch),
        })),
      },
      settled: (outcome) => {
        this.scheduleNext(outcome, now, isPartial);
      },
    };
  }

  private scheduleNext(outcome: CommitOutcome, proposedAt: number, isPartial: boolean): void {
    // Others write to the same batches: what was in the way is tried again soon.
    if (outcome.kind === 'conflict') this.proposedAt = proposedAt - this.options.batchingMs / 2;
    // A successor can call only the machines whose addresses are recorded: the rest of a large fleet follows at once.
    if (outcome.kind === 'done' && isPartial) this.proposedAt = -Infinity;
  }

  /** As many batches with their new addresses as one transaction holds. */
  private changedBatches(unrecorded: ReadonlyMap<string, Addresses>): Map<string, MachineBatch> {
    const room = new TransactionBudget(this.options.maxWrites);
    const changed = new Map<string, MachineBatch>();
    for (const [name, addresses] of unrecorded) {
      const batch = this.dependencies.state.machineBatches.get(name);
      if (!batch) continue;
      const next = { ...batch, addresses: { ...batch.addresses, ...addresses } };
      if (!room.take(machineBatchBytes(next))) break;
      changed.set(name, next);
    }
    return changed;
  }

  /** Addresses that the records lack, by machine batch. */
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
