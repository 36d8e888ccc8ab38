/** Reconciles the cloud's list of machines with the records. The list lags behind, so it proves nothing by itself. */
import type { Machine, MachineBatch, Rental } from '../model/machine.js';
import type { CandidateCache } from '../placement/candidates.js';
import { attemptCloudRequest } from './cloud-request.js';
import type { FleetDependencies } from './dependencies.js';
import type { DrainReason, DrainRequests } from './drain-requests.js';
import type { MachineDeletion } from './machine-deletion.js';

/** Time between two readings of the list, in list lags. */
const REFRESH_LAGS = 0.5;
/** Rentals and records that are older than this many list lags should show in each other. */
const SETTLED_LAGS = 3;
/** A machine that the list has not shown for so many list lags is missing. */
const MISSING_LAGS = 2;
/** After so many list lags the list does not show a deleted machine any more. */
const DELETED_LAGS = 6;

/** What `MachineList` works with. */
export interface MachineListDependencies extends FleetDependencies {
  candidates: CandidateCache;
  drainRequests: DrainRequests;
  deletion: MachineDeletion;
}

/** Reads the cloud's list from time to time, and acts on what differs from the records. */
export class MachineList {
  private refreshedAt = -Infinity;
  /** Machine to when the list was first seen not to show it, on the steady clock in milliseconds. */
  private readonly unlistedSince = new Map<string, number>();

  constructor(
    /** How far the cloud's machine list lags behind, in milliseconds. */
    private readonly listLagMs: number,
    private readonly dependencies: MachineListDependencies,
  ) {}

  /** Reads the list, if it is time to, and compares it with the records. */
  async refresh(): Promise<void> {
    const { cloud, cloudLimiter, clock, log } = this.dependencies;
    const now = clock.now();
    if (now - this.refreshedAt < this.listLagMs * REFRESH_LAGS) return;
    if (cloudLimiter.waitMs(1) > 0) return;
    this.refreshedAt = now;
    cloudLimiter.take(1);
    await attemptCloudRequest(log, 'list machines', async () => {
      this.reconcile(await cloud.rentals());
    });
  }

  private reconcile(rentals: readonly Rental[]): void {
    // A machine may be listed twice, on two pages: the last one counts.
    const listed = new Map(rentals.map((rental) => [rental.machineId, rental]));
    for (const rental of listed.values()) this.reconcileRental(rental);
    for (const [machineId, machine] of this.dependencies.state.machines)
      this.reconcileMachine(machineId, machine, listed.has(machineId));
    this.dependencies.deletion.forgetOlderThan(this.listLagMs * DELETED_LAGS);
  }

  private reconcileRental(rental: Rental): void {
    const { state, deletion, drainRequests } = this.dependencies;
    const { machineId } = rental;
    const isRecorded = state.machines.has(machineId);
    const hasFailed = rental.phase === 'failed';
    if (isRecorded) {
      if (hasFailed) drainRequests.request(machineId, 'failed');
      return;
    }
    if (deletion.isDeleted(machineId)) return;
    // A rental request was carried out late, or the controller that sent it has died.
    const isSettled = rental.rentedSeconds * 1000 > this.listLagMs * SETTLED_LAGS;
    if (hasFailed) this.recordRental(rental, 'failed');
    else if (isSettled) this.recordRental(rental, undefined);
  }

  private recordRental(rental: Rental, drainReason: DrainReason | undefined): void {
    const { clock, log, drainRequests } = this.dependencies;
    const { machineId, machineType, zone, spot, address, phase } = rental;
    const batch: MachineBatch = {
      machineType,
      zone,
      spot,
      recordedAt: clock.wallClock() - rental.rentedSeconds * 1000,
      addresses: { [machineId]: '' },
    };
    if (drainReason !== undefined) batch.drainReasons = { [machineId]: drainReason };
    log.info({ machineId, phase, address }, 'unrecorded machine found');
    drainRequests.recordMachine(machineId, batch);
  }

  private reconcileMachine(machineId: string, machine: Machine, isListed: boolean): void {
    const { state, candidates, drainRequests, clock } = this.dependencies;
    const now = clock.now();
    const ageMs = clock.wallClock() - machine.recordedAt;
    if (isListed || ageMs < this.listLagMs * SETTLED_LAGS) this.unlistedSince.delete(machineId);
    else if (!this.unlistedSince.has(machineId)) this.unlistedSince.set(machineId, now);
    const unlistedMs = now - (this.unlistedSince.get(machineId) ?? now);
    if (unlistedMs <= this.listLagMs * MISSING_LAGS) return;
    if (!state.ownerOf(machineId) || candidates.isCordoned(machineId))
      drainRequests.request(machineId, 'lost');
  }
}
