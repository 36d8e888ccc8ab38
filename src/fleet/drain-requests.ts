/** Records which machines are to be drained, and adds records for machines that have none. */
import type { MachineBatch } from '../model/machine.js';
import type { Condition } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { encodeMachineBatch, keys, machineBatchBytes } from '../store/records/index.js';
import { TransactionBudget } from '../store/transaction-budget.js';
import type { FleetDependencies } from './dependencies.js';

/** Why a machine is drained and deleted. The values are stored. */
export type DrainReason =
  /** The cloud's list shows it as failed. */
  | 'failed'
  /** The cloud's list no longer shows it. */
  | 'lost'
  /** It has sent no heartbeat although its boot time is long over. */
  | 'never came up'
  /** Tasks of several jobs have failed on it in succession. */
  | 'sick'
  /** A spot machine that the cloud has preempted. */
  | 'taken'
  /** It is silent while most other machines are not, and holds a task of a service. */
  | 'unreachable'
  /** It has been silent for a long time. */
  | 'silent'
  /** No task has run on it for a long time. */
  | 'idle';

/** Limits and callbacks of `DrainRequests`. */
export interface DrainRequestsOptions {
  /** Maximum number of writes in one transaction of the state service. */
  maxWrites: number;
  /** Called after each transaction, whatever its outcome. */
  onSettled: () => void;
}

/** The contents of one transaction while it is assembled. */
interface BatchChange {
  batches: Map<string, MachineBatch>;
  conditions: Condition[];
  draining: { machineId: string; reason: DrainReason }[];
  budget: TransactionBudget;
}

/** Collects machines to drain or record, and writes them as changes of their batches. */
export class DrainRequests {
  /** Machine to the reason of its drain, until the drain is proposed. */
  private readonly requestedDrains = new Map<string, DrainReason>();
  /** Machine without a record to the new batch that will record it. */
  private readonly unrecorded = new Map<string, MachineBatch>();

  constructor(
    private readonly options: DrainRequestsOptions,
    private readonly dependencies: FleetDependencies,
  ) {}

  /** Proposes the changes that have been collected. */
  source(): ProposalSource {
    return { name: 'mark machine', propose: () => this.propose() };
  }

  /** Requests the drain of a machine, unless it is already draining. */
  request(machineId: string, reason: DrainReason): void {
    if (this.dependencies.state.machines.get(machineId)?.drainReason === undefined)
      this.requestedDrains.set(machineId, reason);
  }

  /** Requests a record for a machine that has none, in a batch of its own. */
  recordMachine(machineId: string, batch: MachineBatch): void {
    this.unrecorded.set(machineId, batch);
  }

  private propose(): Proposal | null {
    const { domainManager, log } = this.dependencies;
    const change: BatchChange = {
      batches: new Map(),
      conditions: [domainManager.ownershipCondition()],
      draining: [],
      budget: new TransactionBudget(this.options.maxWrites),
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
      onSettled: (outcome) => {
        if (outcome.kind === 'done' && draining.length > 0)
          log.info({ machines: draining }, 'machines draining');
        this.options.onSettled();
      },
    };
  }

  private addUnrecorded({ batches, conditions, budget }: BatchChange): void {
    const { state } = this.dependencies;
    for (const [machineId, batch] of this.unrecorded) {
      if (state.machines.has(machineId) || state.machineBatches.has(machineId)) {
        this.unrecorded.delete(machineId);
        continue;
      }
      if (!budget.reserve(machineBatchBytes(batch))) break;
      this.unrecorded.delete(machineId);
      batches.set(machineId, batch);
      conditions.push({ key: keys.machineBatch(machineId), modRevision: 0 });
    }
  }

  private addDrains({ batches, conditions, draining, budget }: BatchChange): void {
    const { state } = this.dependencies;
    for (const [machineId, reason] of this.requestedDrains) {
      const name = state.machines.get(machineId)?.batch ?? '';
      const batch = batches.get(name) ?? state.machineBatches.get(name);
      if (!batch || this.isObsolete(machineId, reason)) {
        this.requestedDrains.delete(machineId);
        continue;
      }
      // The size of a batch includes a drain reason for each of its machines, so it is counted only once.
      if (!batches.has(name) && !budget.reserve(machineBatchBytes(batch))) break;
      this.requestedDrains.delete(machineId);
      if (!batches.has(name)) conditions.push(state.unchangedCondition(keys.machineBatch(name)));
      const drainReasons = { ...batch.drainReasons, [machineId]: reason };
      batches.set(name, { ...batch, drainReasons });
      draining.push({ machineId, reason });
    }
  }

  /** Whether the machine no longer needs to be drained. */
  private isObsolete(machineId: string, reason: DrainReason): boolean {
    const { machines, jobsByMachine } = this.dependencies.state;
    const machine = machines.get(machineId);
    if (!machine || machine.drainReason !== undefined) return true;
    return reason === 'idle' && jobsByMachine.has(machineId);
  }
}
