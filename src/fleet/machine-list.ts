/**
 * Reconciles the cloud's list of machines with the records. The list lags behind, so one reading does not prove that a
 * machine exists or is gone.
 */
import type { Machine, MachineBatch, Rental } from '../model/machine.js';
import type { CandidateCache } from '../placement/candidates.js';
import { attemptCloudRequest } from './cloud-request.js';
import type { FleetDependencies } from './dependencies.js';
import type { DrainReason, DrainRequests } from './drain-requests.js';
import type { MachineDeletion } from './machine-deletion.js';

/** Time between two reads of the list, in list lags. */
const REFRESH_LAGS = 0.5;
/** A listed machine older than this many list lags should have a record, and a recorded one should be listed. */
const SETTLED_LAGS = 3;
/** A machine that has not been listed for this many list lags counts as missing. */
const MISSING_LAGS = 2;
/** The list no longer shows a machine this many list lags after its deletion. */
const DELETED_LAGS = 6;

/** Dependencies of `MachineList`. */
export interface MachineListDependencies extends FleetDependencies {
  candidates: CandidateCache;
  drainRequests: DrainRequests;
  deletion: MachineDeletion;
}

/** Reads the cloud's list periodically, and acts on its differences from the records. */
export class MachineList {
  private refreshedAt = -Infinity;
  /** Recorded machine to the time since which it has not been listed, in milliseconds of the monotonic clock. */
  private readonly unlistedSince = new Map<string, number>();

  constructor(
    /** How far the cloud's machine list lags behind, in milliseconds. */
    private readonly listLagMs: number,
    private readonly dependencies: MachineListDependencies,
  ) {}

  /** Reads the list if a refresh is due, and compares it with the records. */
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
    // A machine may be listed on two pages: the later entry counts.
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
    // A settled rental without a record comes from a request that was executed late or whose controller has died.
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
