/**
 * Manages this controller's liveness lease, the domain (partition of the fleet) that it owns, and the machines that it
 * takes over from peers. This is the facade of the folder; each concern has its own module.
 */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { Domain } from '../model/domain.js';
import type { TeamQuota } from '../model/team.js';
import type { Condition, StoreClient, Transaction } from '../store/client.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import { AllocationAdopter } from './allocation-adopter.js';
import type { DomainContext, DomainManagerOptions } from './context.js';
import type { Integrity } from './integrity.js';
import { LivenessLease } from './liveness-lease.js';
import { MachineOwnership } from './machine-ownership.js';
import type { MachineChange } from './machine-shards.js';
import { MachineTransfer } from './machine-transfer.js';
import { OwnDomain, type DecisionContext } from './own-domain.js';
import { QuotaManager } from './quota-manager.js';
import { Rebalancer } from './rebalancer.js';
import { DomainRegistration } from './registration.js';
import { SelfFencing, type WorkerReachability } from './self-fencing.js';
import { Takeover } from './takeover.js';
import { TakeoverListWriter } from './takeover-list-writer.js';
import { UnownedMachines } from './unowned-machines.js';

/** What domain management needs from the worker connections. */
export interface DomainWorkers extends WorkerReachability {
  /** Called when the owner or the fencing token of these machines has changed. */
  ownersChanged(machineIds: Iterable<string>): void;
}

/** Dependencies of `DomainManager`. */
export interface DomainManagerDependencies {
  teams: ReadonlyMap<string, TeamQuota>;
  store: StoreClient;
  state: State;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  integrity: Integrity;
  workers: DomainWorkers;
  /** Makes the commit loop ask all proposal sources again. */
  wake: () => void;
}

/** Holds this controller's domain and proposes changes to it. */
export class DomainManager {
  /** The own domain's quotas: its parts of the teams' limits. */
  readonly quota: QuotaManager;
  /** Assigns machines that have no owner. */
  readonly unowned: UnownedMachines;
  private readonly lease: LivenessLease;
  private readonly own: OwnDomain;
  private readonly ownership: MachineOwnership;
  private readonly transfer: MachineTransfer;
  private readonly selfFencing: SelfFencing;
  private readonly registration: DomainRegistration;
  private readonly takeover: Takeover;
  private readonly allocationAdopter: AllocationAdopter;
  private readonly rebalancer: Rebalancer;
  private readonly takeoverListWriter: TakeoverListWriter;

  constructor(
    options: DomainManagerOptions,
    private readonly dependencies: DomainManagerDependencies,
  ) {
    const { teams, store, state, clock, log, integrity, workers, wake } = dependencies;
    this.lease = new LivenessLease(options, store, clock, log);
    this.own = new OwnDomain(options.self, state, clock, this.lease);
    const context: DomainContext = { options, state, clock, log, ownDomain: this.own, wake };
    this.ownership = new MachineOwnership(context);
    this.quota = new QuotaManager(options, { ...context, teams, integrity });
    this.unowned = new UnownedMachines(context, this.ownership);
    this.allocationAdopter = new AllocationAdopter(context);
    this.transfer = new MachineTransfer(context, this.ownership, this.allocationAdopter);
    this.takeover = new Takeover(context, this.transfer);
    this.rebalancer = new Rebalancer(context, integrity, this.transfer);
    this.takeoverListWriter = new TakeoverListWriter(context);
    this.selfFencing = new SelfFencing(context, workers);
    this.registration = new DomainRegistration(context, {
      teams,
      lease: this.lease,
      quota: this.quota,
      selfFencing: this.selfFencing,
      allocationAdopter: this.allocationAdopter,
      onRegistered: () => {
        workers.ownersChanged(this.own.record.machines.keys());
      },
    });
  }

  /** Whether the domain was released because no worker was reachable. Users can still be served. */
  get isReleased(): boolean {
    return this.selfFencing.isReleased;
  }

  /** Called when a worker has answered: the domain may be registered again. */
  workersReachable(): void {
    this.selfFencing.workersReachable();
  }

  get isRegistered(): boolean {
    return this.own.isRegistered;
  }

  /** Incarnation under which the domain is held, 0 if it is not. */
  get incarnation(): number {
    return this.own.incarnation;
  }

  /** Time left of the own liveness lease by this process's clock, in milliseconds. */
  get leaseRemainingMs(): number {
    return this.lease.remainingMs;
  }

  /** The state that a decision made now is based on, for the log. */
  decisionContext(): DecisionContext {
    return this.own.decisionContext();
  }

  /** Fencing token under which this process may command the machine, or null if it does not own it. */
  fencingTokenFor(machineId: string): number | null {
    return this.own.fencingTokenFor(machineId);
  }

  ownDomain(): Domain {
    return this.own.record;
  }

  /** Condition on the domain's head, which every loss of ownership changes. Every commit of a decision needs it. */
  ownershipCondition(): Condition {
    return this.own.ownershipCondition();
  }

  /** Renews the liveness lease until `stop`. */
  async renewLoop(): Promise<void> {
    await this.lease.renewLoop(() => {
      // The domain must be registered again under the new lease.
      this.own.setIncarnation(null);
      this.dependencies.wake();
    });
  }

  stop(): void {
    this.lease.stop();
  }

  /**
   * Sources that are asked before all others, in this order. Here and in `sources`, the names of the sources are values
   * of metric labels.
   */
  urgentSources(): ProposalSource[] {
    return [
      { name: 'register', propose: () => this.registration.propose() },
      this.whileHeld('step down', this.selfFencing),
      this.whileHeld('take over', this.takeover),
      this.whileHeld('claim', this.unowned),
    ];
  }

  sources(): ProposalSource[] {
    return [
      this.whileHeld('deal quota', this.quota),
      this.whileHeld('adopt', this.allocationAdopter),
      this.whileHeld('even out', this.rebalancer),
      this.whileHeld('lists', this.takeoverListWriter),
    ];
  }

  /** Transfers machines from a peer that is dead, or that is alive and lends them. */
  takeMachines(
    from: string,
    domain: Domain,
    machineIds: readonly string[],
    isBorrowed: boolean,
  ): Proposal {
    return this.transfer.propose({ from, domain, machineIds, isBorrowed });
  }

  /** Removes own machines from the domain or changes their fencing tokens, as part of a transaction. */
  changeMachines(change: MachineChange): Transaction {
    return this.ownership.changeOwnMachines(change);
  }

  /** A source that is asked only while the domain is held and its records are sound. */
  private whileHeld(name: string, source: { propose(): Proposal | null }): ProposalSource {
    const { integrity, metrics } = this.dependencies;
    return {
      name,
      propose: () => {
        if (!this.own.isRegistered || !this.lease.isValid) return null;
        // All of these decisions depend on the ownership of machines.
        if (integrity.isSound) return source.propose();
        metrics.refusals.inc(name);
        return null;
      },
    };
  }
}
