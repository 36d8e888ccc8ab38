/** Drains machines that failed to boot, are unhealthy, or have been silent for a long time. */
import type { WorkerSession } from '../workers/worker-session.js';
import type { FleetDependencies } from './dependencies.js';
import type { DrainReason, DrainRequests } from './drain-requests.js';
import type { MachineTypes } from './machine-types.js';
import type { RentingLeadership } from './renting-leadership.js';

/** A boot counts as failed after this multiple of the type's usual boot time. */
const MAX_BOOT_TIME_RATIO = 4;
/**
 * If at most this ratio of a controller's machines is silent, the silent machines themselves are considered faulty. One
 * silent machine is always within the limit.
 */
const MAX_SILENT_RATIO = 0.25;
/** With fewer machines than this, the ratio is not meaningful. */
const MIN_MACHINES_FOR_SILENT_RATIO = 3;
/** Worker leases after which a silent machine is drained: if only few machines are silent, and otherwise. */
const SILENT_LEASES_AMONG_FEW = 4;
const SILENT_LEASES_AMONG_MANY = 20;

/** Limits of `MachineHealth`. */
export interface MachineHealthOptions {
  /** Whether machines may be rented, so that faulty ones can be replaced. */
  rent: boolean;
  /** Length of a worker's lease, in milliseconds. */
  leaseMs: number;
}

/** Dependencies of `MachineHealth`. */
export interface MachineHealthDependencies extends FleetDependencies {
  machineTypes: MachineTypes;
  drainRequests: DrainRequests;
  leadership: RentingLeadership;
}

/** Decides which machines are drained because of a fault. */
export class MachineHealth {
  constructor(
    private readonly options: MachineHealthOptions,
    private readonly dependencies: MachineHealthDependencies,
  ) {}

  /**
   * Drains machines that have sent no heartbeat within the maximum boot time (see `MAX_BOOT_TIME_RATIO`). Each owner
   * checks its own machines, because only the owner receives their heartbeats; the renting leader checks those without
   * an owner.
   */
  drainFailedBoots(): void {
    const { state, workerManager, machineTypes, drainRequests, clock } = this.dependencies;
    const now = clock.wallClock();
    for (const [machineId, machine] of state.machines) {
      if (machine.address !== '' || machine.drainReason !== undefined) continue;
      if (!this.isResponsibleFor(machineId)) continue;
      if ((workerManager.session(machineId)?.address ?? '') !== '') continue;
      const maxBootMs = machineTypes.bootMs(machine) * MAX_BOOT_TIME_RATIO;
      if (now - machine.recordedAt > maxBootMs) drainRequests.request(machineId, 'never came up');
    }
  }

  /** Drains machines of this controller's domain that are unhealthy, preempted or silent. */
  drainUnhealthy(): void {
    const { state, domainManager, workerManager, drainRequests } = this.dependencies;
    const contacted: WorkerSession[] = [];
    let silent = 0;
    for (const machineId of domainManager.ownDomain().machines.keys()) {
      const session = workerManager.session(machineId);
      if (!session || session.address === '') continue;
      contacted.push(session);
      if (!workerManager.isUsable(machineId)) silent++;
    }
    const areFaultsIsolated = this.areFaultsIsolated(silent, contacted.length);
    for (const session of contacted) {
      const machine = state.machines.get(session.machineId);
      if (!machine || machine.drainReason !== undefined) continue;
      const reason = this.drainReasonOf(session, areFaultsIsolated);
      if (reason) drainRequests.request(session.machineId, reason);
    }
  }

  private isResponsibleFor(machineId: string): boolean {
    const { state, domainManager, leadership } = this.dependencies;
    if (domainManager.fencingTokenFor(machineId) !== null) return true;
    return !state.ownerOf(machineId) && leadership.isHeld;
  }

  /**
   * Whether the silent machines themselves are faulty. If many are silent, a zone or this host is more likely cut off
   * from the network, and the machines may still be running.
   */
  private areFaultsIsolated(silent: number, contacted: number): boolean {
    return (
      this.options.rent &&
      contacted >= MIN_MACHINES_FOR_SILENT_RATIO &&
      silent <= Math.max(1, contacted * MAX_SILENT_RATIO)
    );
  }

  private drainReasonOf(
    session: WorkerSession,
    areFaultsIsolated: boolean,
  ): DrainReason | undefined {
    const { workerManager, clock } = this.dependencies;
    const cordonReason = workerManager.cordonReason(session);
    if (cordonReason === undefined) return undefined;
    if (cordonReason === 'failing') return 'sick';
    // Without a preemption notice, a silent spot machine may only be cut off from the network.
    if (session.preemptionAnnounced && workerManager.isSilent(session)) return 'taken';
    // A task of a service is replaced only once it is proved to be gone. Deleting the machine proves that well
    // before the worker's lease expires.
    if (areFaultsIsolated && cordonReason === 'silent' && this.holdsService(session.machineId))
      return 'unreachable';
    // If many machines are silent, their zone may be cut off while their tasks still run. Waiting longer may keep
    // that work.
    const maxLeases = areFaultsIsolated ? SILENT_LEASES_AMONG_FEW : SILENT_LEASES_AMONG_MANY;
    const silentMs = clock.now() - session.lastContactAt;
    const isSilentForLong = session.leaseExpired && silentMs > this.options.leaseMs * maxLeases;
    return isSilentForLong ? 'silent' : undefined;
  }

  private holdsService(machineId: string): boolean {
    const { jobs, jobsByMachine } = this.dependencies.state;
    for (const jobId of jobsByMachine.get(machineId) ?? [])
      if (jobs.get(jobId)?.spec.kind === 'service') return true;
    return false;
  }
}
