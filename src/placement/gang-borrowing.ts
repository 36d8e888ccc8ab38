/**
 * Borrowing for gangs: if a gang does not fit into this controller's domain, machines with enough free resources are
 * transferred into it from the domain of a live peer.
 */
import type { Clock } from '../clock.js';
import type { Integrity } from '../domain/integrity.js';
import type { DomainManager } from '../domain/manager.js';
import type { Proposal } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import type { CandidateCache } from './candidates.js';
import { plan } from './plan.js';
import type { SnapshotFactory } from './snapshot.js';
import type { Candidate, JobEntry, Placement } from './types.js';

/** Limits of `GangBorrowing`. */
export interface GangBorrowingOptions {
  /** Name of this controller's host. */
  self: string;
  /** Minimum time between two attempts, in milliseconds. */
  intervalMs: number;
  /** Bytes of the allocations that one transaction can record; larger gangs cannot be placed. */
  maxAllocationBytes: number;
}

/** What `GangBorrowing` works with. */
export interface GangBorrowingDependencies {
  state: State;
  domainManager: DomainManager;
  integrity: Integrity;
  candidates: CandidateCache;
  snapshots: SnapshotFactory;
  clock: Clock;
  /** Called once the outcome of a transfer is certain. */
  requestPlan: () => void;
}

/** Proposes transfers of peers' machines for gangs. */
export class GangBorrowing {
  private lastAttemptAt = -Infinity;

  constructor(
    private readonly options: GangBorrowingOptions,
    private readonly dependencies: GangBorrowingDependencies,
  ) {}

  /**
   * Proposes to transfer machines for one of these jobs to this domain, under a new fencing token. One transfer takes
   * machines of one peer only. The caller leaves out jobs that are already placed and jobs that another controller may
   * place first.
   */
  propose(unplaced: readonly JobEntry[]): Proposal | null {
    const gangs = unplaced.filter(({ job: { spec } }) => spec.kind === 'gang' && spec.tasks > 1);
    const { clock, snapshots } = this.dependencies;
    const { intervalMs, maxAllocationBytes } = this.options;
    const now = clock.now();
    if (gangs.length === 0 || now - this.lastAttemptAt < intervalMs) return null;
    this.lastAttemptAt = now;
    for (const placement of plan(snapshots.create(this.candidates(), gangs, maxAllocationBytes))) {
      const transfer = this.transferFor(placement);
      if (transfer) return transfer;
    }
    return null;
  }

  /** Candidates of all domains. */
  private candidates(): Candidate[] {
    const { state, candidates } = this.dependencies;
    return candidates.usableCandidates(state.machines.keys());
  }

  /** The transfer of those machines of the placement that belong to one peer: the first that may lend machines. */
  private transferFor({ machineIds }: Placement): Proposal | null {
    const { state, domainManager, integrity } = this.dependencies;
    const wanted = [...new Set(machineIds)];
    for (const [host, domain] of state.domains) {
      if (host === this.options.self) continue;
      const lent = wanted.filter((machineId) => domain.machines.has(machineId));
      if (lent.length === 0 || !integrity.mayLend(host)) continue;
      return this.replanAfter(domainManager.takeMachines(host, domain, lent, true));
    }
    return null;
  }

  private replanAfter(transfer: Proposal): Proposal {
    return {
      ...transfer,
      onSettled: (outcome) => {
        this.dependencies.requestPlan();
        transfer.onSettled?.(outcome);
      },
    };
  }
}
