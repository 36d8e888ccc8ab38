/**
 * Scales the fleet: rents machines for waiting tasks, and drains and deletes those that are idle or faulty. One
 * controller at a time rents; each owner drains and deletes its own machines.
 */
import type { MachineType } from '../model/machine.js';
import type { Placer } from '../placement/placer.js';
import type { Candidate } from '../placement/types.js';
import type { ProposalSource } from '../store/commit-loop.js';
import type { FleetDependencies } from './dependencies.js';
import { DrainRequests } from './drain-requests.js';
import { IdleMachines } from './idle-machines.js';
import { MachineDeletion } from './machine-deletion.js';
import { MachineHealth } from './machine-health.js';
import { MachineList } from './machine-list.js';
import { MachineTypes } from './machine-types.js';
import { planRentals } from './rental-plan.js';
import {
  MAX_MACHINES_PER_REQUEST,
  RentalRequests,
  type RentalRequestsOptions,
} from './rental-requests.js';
import { RentingLeadership } from './renting-leadership.js';

/** Settings of the fleet management. */
export interface ProvisionerOptions extends RentalRequestsOptions {
  /** Name of the own host. */
  self: string;
  /** Whether machines may be rented and returned. */
  rent: boolean;
  /** Times its usual boot time after which an idle machine may go. */
  idleBoots: number;
  /** Length of a worker's lease, in milliseconds. */
  leaseMs: number;
}

/** What `Provisioner` works with. */
export interface ProvisionerDependencies extends FleetDependencies {
  placer: Placer;
}

/** Puts the parts of the fleet management together and runs them in turn. */
export class Provisioner {
  private readonly types: MachineTypes;
  private readonly leadership: RentingLeadership;
  private readonly requests: RentalRequests;
  private readonly deletion: MachineDeletion;
  private readonly drainRequests: DrainRequests;
  private readonly list: MachineList;
  private readonly idleMachines: IdleMachines;
  private readonly health: MachineHealth;

  constructor(
    private readonly options: ProvisionerOptions,
    private readonly dependencies: ProvisionerDependencies,
  ) {
    const { placer } = dependencies;
    const { self, listLagMs, maxWrites } = options;
    const onRead = (): void => {
      placer.machineTypesChanged();
    };
    const onSettled = (): void => {
      this.deletion.deleteDrained();
    };
    this.types = new MachineTypes({ listLagMs, onRead }, dependencies);
    this.leadership = new RentingLeadership(self, dependencies);
    this.requests = new RentalRequests(options, dependencies, this.leadership);
    this.deletion = new MachineDeletion(maxWrites, dependencies, this.leadership);
    this.drainRequests = new DrainRequests({ maxWrites, onSettled }, dependencies);
    const parts = {
      ...dependencies,
      candidates: placer.candidates,
      machineTypes: this.types,
      leadership: this.leadership,
      deletion: this.deletion,
      drainRequests: this.drainRequests,
    };
    this.list = new MachineList(listLagMs, parts);
    this.idleMachines = new IdleMachines(options, parts);
    this.health = new MachineHealth(options, parts);
  }

  /** Machine types by name; empty until the cloud has been asked. */
  get machineTypes(): ReadonlyMap<string, MachineType> {
    return this.types.byName;
  }

  /** Whatever the fleet management records. */
  sources(): ProposalSource[] {
    return [
      this.leadership.source(),
      ...this.requests.sources(),
      this.deletion.source(),
      this.drainRequests.source(),
    ];
  }

  /** A machine's record has changed or gone. */
  noteMachine(machineId: string): void {
    if (!this.dependencies.state.machines.has(machineId)) this.deletion.recordRemoved(machineId);
  }

  /**
   * Looks once at what the fleet has and needs; called about once a second. Returns how long that took without the waits
   * for the cloud, in milliseconds.
   */
  async runOnce(): Promise<number> {
    const { domainManager, clock } = this.dependencies;
    await this.types.refresh();
    if (!domainManager.isRegistered) return 0;
    if (this.leadership.isHeld) await this.list.refresh();
    const startedAt = clock.now();
    this.scale();
    return clock.now() - startedAt;
  }

  private scale(): void {
    if (this.leadership.isHeld) {
      this.requests.send();
      this.idleMachines.drainSurplus();
      this.rentForWaiting();
    }
    this.health.drainFailedBoots();
    this.health.drainUnhealthy();
    this.deletion.deleteDrained();
    this.dependencies.wake();
  }

  private rentForWaiting(): void {
    const { state, placer } = this.dependencies;
    const { fleet } = state;
    if (!this.options.rent || !fleet || fleet.requests.length > 0) return;
    if (this.machineTypes.size === 0) return;
    const snapshot = placer.snapshots.create(this.candidates(), placer.waitingJobs());
    const { offers, neededMachines } = planRentals(snapshot, {
      machineTypes: this.machineTypes,
      refusedOffers: this.requests.refusedOffers(),
      maxOffers: MAX_MACHINES_PER_REQUEST * this.options.maxWrites,
    });
    this.idleMachines.markNeeded(neededMachines);
    this.requests.want(offers);
  }

  /** Machines that tasks can be placed on, now or once they have booted. */
  private candidates(): Candidate[] {
    const { state, placer } = this.dependencies;
    const all: Candidate[] = [];
    for (const [machineId, machine] of state.machines) {
      const machineType = this.machineTypes.get(machine.machineType);
      if (!machineType || machine.drainReason !== undefined) continue;
      // No address is known until the first heartbeat.
      const isBooting = machine.address === '' && !placer.candidates.isCordoned(machineId);
      const candidate = isBooting
        ? placer.candidates.candidate(machineId, machine, machineType)
        : placer.candidates.usableCandidate(machineId);
      if (candidate) all.push(candidate);
    }
    return all;
  }
}
