/** Records which machines are to be drained, and machines that were found without a record. */
import type { MachineBatch } from '../model/machine.js';
import type { Condition } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeMachineBatch, keys, machineBatchBytes } from '../store/records/index.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import type { FleetDependencies } from './dependencies.js';

/** Why a machine is drained and deleted. The values are stored. */
export type DrainReason =
  /** The cloud shows it as failed. */
  | 'failed'
  /** The cloud does not show it any more. */
  | 'lost'
  /** It has not sent a heartbeat long after it should have booted. */
  | 'never came up'
  /** Its worker reports a fault. */
  | 'sick'
  /** A spot machine that the cloud has taken back. */
  | 'taken'
  /** It alone is silent, and holds a service. */
  | 'unreachable'
  /** It has been silent for long. */
  | 'silent'
  /** Nothing has run there for long. */
  | 'idle';

/** Limits and callbacks of `DrainRequests`. */
export interface DrainRequestsOptions {
  /** Writes that the state service accepts in one transaction. */
  maxWrites: number;
  /** Called after each transaction. */
  onSettled: () => void;
}

/** Batches to write in one transaction. */
interface BatchChange {
  batches: Map<string, MachineBatch>;
  conditions: Condition[];
  draining: { machineId: string; reason: DrainReason }[];
  room: TransactionBudget;
}

/** Collects machines to drain or record, and writes them as changes of their batches. */
export class DrainRequests {
  private readonly reasons = new Map<string, DrainReason>();
  /** Machine to the batch that is to record it. */
  private readonly unrecorded = new Map<string, MachineBatch>();

  constructor(
    private readonly options: DrainRequestsOptions,
    private readonly dependencies: FleetDependencies,
  ) {}

  /** Writes what has been collected. */
  source(): ProposalSource {
    return { name: 'mark machine', propose: () => this.propose() };
  }

  /** Drains a machine, unless it is being drained already. */
  request(machineId: string, reason: DrainReason): void {
    if (this.dependencies.state.machines.get(machineId)?.drainReason === undefined)
      this.reasons.set(machineId, reason);
  }

  /** Records a machine that was found without a record, in a batch of its own. */
  recordMachine(machineId: string, batch: MachineBatch): void {
    this.unrecorded.set(machineId, batch);
  }

  private propose(): Proposal | null {
    const { domainManager, log } = this.dependencies;
    const change: BatchChange = {
      batches: new Map(),
      conditions: [domainManager.ownershipCondition()],
      draining: [],
      room: new TransactionBudget(this.options.maxWrites),
    };
    this.addUnrecorded(change);
    this.addDrains(change);
    const { batches, conditions, draining } = change;
    if (batches.size === 0) return null;
    const writes = [...batches].map(([name, batch]) => ({
      put: keys.machineBatch(name),
      value: encodeMachineBatch(batch),
    }));
    return {
      transaction: { conditions, writes },
      settled: (outcome) => {
        if (outcome.kind === 'done' && draining.length > 0)
          log.info({ machines: draining }, 'machines draining');
        this.options.onSettled();
      },
    };
  }

  private addUnrecorded({ batches, conditions, room }: BatchChange): void {
    const { state } = this.dependencies;
    for (const [machineId, batch] of this.unrecorded) {
      if (state.machines.has(machineId) || state.machineBatches.has(machineId)) {
        this.unrecorded.delete(machineId);
        continue;
      }
      if (!room.take(machineBatchBytes(batch))) break;
      this.unrecorded.delete(machineId);
      batches.set(machineId, batch);
      conditions.push({ key: keys.machineBatch(machineId), modRevision: 0 });
    }
  }

  private addDrains({ batches, conditions, draining, room }: BatchChange): void {
    const { state } = this.dependencies;
    for (const [machineId, reason] of this.reasons) {
      const name = state.machines.get(machineId)?.batch ?? '';
      const batch = batches.get(name) ?? state.machineBatches.get(name);
      if (!batch || this.isMoot(machineId, reason)) {
        this.reasons.delete(machineId);
        continue;
      }
      // The size of a batch includes drain reasons for all its machines.
      if (!batches.has(name) && !room.take(machineBatchBytes(batch))) break;
      this.reasons.delete(machineId);
      if (!batches.has(name)) conditions.push(state.unchanged(keys.machineBatch(name)));
      const drainReasons = { ...batch.drainReasons, [machineId]: reason };
      batches.set(name, { ...batch, drainReasons });
      draining.push({ machineId, reason });
    }
  }

  /** Whether the machine need not be drained any more. */
  private isMoot(machineId: string, reason: DrainReason): boolean {
    const { machines, jobsByMachine } = this.dependencies.state;
    const machine = machines.get(machineId);
    if (!machine || machine.drainReason !== undefined) return true;
    return reason === 'idle' && jobsByMachine.has(machineId);
  }
}
