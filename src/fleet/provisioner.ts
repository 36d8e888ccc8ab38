/**
 * Scales the fleet: rents machines for waiting tasks, and drains and deletes machines that are idle or faulty. Only one
 * controller at a time, the renting leader, rents machines. Each controller drains and deletes the machines it owns.
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
  /** Name of this controller. */
  self: string;
  /** Whether machines may be rented and returned. */
  rent: boolean;
  /** How long a machine must be idle before it is drained, as a multiple of its type's usual boot time. */
  idleBoots: number;
  /** Length of a worker's lease, in milliseconds. */
  leaseMs: number;
}

/** Dependencies of `Provisioner`. */
export interface ProvisionerDependencies extends FleetDependencies {
  placer: Placer;
}

/** Creates the parts of the fleet management and runs them in turn. */
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

  /** Machine types by name; empty until they have been read from the cloud. */
  get machineTypes(): ReadonlyMap<string, MachineType> {
    return this.types.byName;
  }

  /** Proposals for all records that the fleet management writes. */
  sources(): ProposalSource[] {
    return [
      this.leadership.source(),
      ...this.requests.sources(),
      this.deletion.source(),
      this.drainRequests.source(),
    ];
  }

  /** Called when a machine's record has changed or has been removed. */
  machineChanged(machineId: string): void {
    if (!this.dependencies.state.machines.has(machineId)) this.deletion.recordRemoved(machineId);
  }

  /**
   * Compares what the fleet has with what it needs, and acts on the difference; called about once a second. Returns the
   * time this took, without the waits for the cloud, in milliseconds.
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
    snapshot.ignoresHeartbeatsOfArrays = true;
    const { offers, neededMachines } = planRentals(snapshot, {
      machineTypes: this.machineTypes,
      refusedOffers: this.requests.refusedOffers(),
      maxOffers: MAX_MACHINES_PER_REQUEST * this.options.maxWrites,
    });
    this.idleMachines.markNeeded(neededMachines);
    this.requests.setWantedOffers(offers);
  }

  /** Machines on which tasks can be placed, now or once they have booted. */
  private candidates(): Candidate[] {
    const { state, placer } = this.dependencies;
    const all: Candidate[] = [];
    for (const [machineId, machine] of state.machines) {
      const machineType = this.machineTypes.get(machine.machineType);
      if (!machineType || machine.drainReason !== undefined) continue;
      // A machine has no address until its first heartbeat.
      const isBooting = machine.address === '' && !placer.candidates.isCordoned(machineId);
      const candidate = isBooting
        ? placer.candidates.candidate(machineId, machine, machineType)
        : placer.candidates.usableCandidate(machineId);
      if (candidate) all.push(candidate);
    }
    return all;
  }
}
