/** Drains machines that never came up, are unhealthy, or have been silent for long. */
import type { WorkerSession } from '../workers/worker-session.js';
import type { FleetDependencies } from './dependencies.js';
import type { DrainReason, DrainRequests } from './drain-requests.js';
import type { MachineTypes } from './machine-types.js';
import type { RentingLeadership } from './renting-leadership.js';

/** A boot that takes this many times the usual is given up. */
const MAX_BOOT_TIMES = 4;
/** Part of its machines up to which a controller takes silence for a fault of those machines. */
const MAX_SILENT_PART = 0.25;
/** With fewer machines than this, it cannot tell. */
const MIN_MACHINES_TO_TELL = 3;
/** Worker leases after which a silent machine is drained: one among few, and one among many. */
const SILENT_LEASES = 4;
const SILENT_LEASES_AMONG_MANY = 20;

/** Limits of `MachineHealth`. */
export interface MachineHealthOptions {
  /** Whether machines may be rented, and so replaced. */
  rent: boolean;
  /** Length of a worker's lease, in milliseconds. */
  leaseMs: number;
}

/** What `MachineHealth` works with. */
export interface MachineHealthDependencies extends FleetDependencies {
  machineTypes: MachineTypes;
  drainRequests: DrainRequests;
  leadership: RentingLeadership;
}

/** Decides which machines are drained because something is wrong with them. */
export class MachineHealth {
  constructor(
    private readonly options: MachineHealthOptions,
    private readonly dependencies: MachineHealthDependencies,
  ) {}

  /** Each owner knows whether a machine has ever sent a heartbeat; the renting leader looks after those without owner. */
  drainFailedBoots(): void {
    const { state, workerManager, machineTypes, drainRequests, clock } = this.dependencies;
    const now = clock.wallClock();
    for (const [machineId, machine] of state.machines) {
      if (machine.address !== '' || machine.drainReason !== undefined) continue;
      if (!this.isResponsibleFor(machineId)) continue;
      if ((workerManager.session(machineId)?.address ?? '') !== '') continue;
      const maxBootMs = machineTypes.bootMs(machine) * MAX_BOOT_TIMES;
      if (now - machine.recordedAt > maxBootMs) drainRequests.request(machineId, 'never came up');
    }
  }

  /** Drains own machines that are unhealthy, preempted or silent. */
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

  /** Whether silent machines are faulty themselves: if many are silent, a zone or this host is cut off, and they may run. */
  private areFaultsIsolated(silent: number, contacted: number): boolean {
    return (
      this.options.rent &&
      contacted >= MIN_MACHINES_TO_TELL &&
      silent <= Math.max(1, contacted * MAX_SILENT_PART)
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
    // Without a notice, a silent spot machine may only be cut off.
    if (session.preemptionAnnounced && workerManager.isSilent(session)) return 'taken';
    // Services wait for the proof that their tasks are gone: deleting the machine gives it well before its lease expires.
    if (areFaultsIsolated && cordonReason === 'silent' && this.holdsService(session.machineId))
      return 'unreachable';
    // Among many, tasks go on while their zone is cut off, and are worth waiting for.
    const maxLeases = areFaultsIsolated ? SILENT_LEASES : SILENT_LEASES_AMONG_MANY;
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
