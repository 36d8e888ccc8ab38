/** Caches machines as placement candidates until their records or tasks change. */
import type { DomainManager } from '../domain/manager.js';
import { allocatedTasksOn } from '../model/allocations.js';
import { reserveResources } from '../model/fit.js';
import type { Machine, MachineType } from '../model/machine.js';
import { jobStatusBytes, MAX_REPORTED_TASKS_BYTES } from '../protocol/heartbeat-size.js';
import type { State } from '../store/state.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';
import type { WorkerManager } from '../workers/manager.js';
import type { Candidate } from './types.js';

/**
 * Maximum number of recently used images remembered for each machine. Images of the tasks that are on it now always
 * count as cached, also beyond this limit.
 */
const MAX_REMEMBERED_IMAGES = 16;

/** What `CandidateCache` works with. */
export interface CandidateDependencies {
  /** Name of this controller's host. */
  self: string;
  state: State;
  domainManager: DomainManager;
  workerManager: WorkerManager;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Machines of peers that their owners report as cordoned. */
  cordonedByPeers: () => ReadonlySet<string>;
}

/** Builds candidates from the recorded machines and caches them, because most machines do not change between plans. */
export class CandidateCache {
  private readonly candidates = new Map<string, Candidate>();
  /** Images last used on each machine, the most recent last. */
  private readonly imagesByMachine = new Map<string, Set<string>>();

  constructor(private readonly dependencies: CandidateDependencies) {}

  /** Drops all cached candidates; called when machine types have changed. */
  clear(): void {
    this.candidates.clear();
  }

  /** Called when the tasks on these machines have changed. */
  tasksChanged(machineIds: Iterable<string>): void {
    for (const machineId of machineIds) {
      this.candidates.delete(machineId);
      this.rememberImages(machineId);
    }
  }

  /** Called when a machine's record has changed or has been deleted. */
  machineChanged(machineId: string): void {
    this.candidates.delete(machineId);
    if (!this.dependencies.state.machines.has(machineId)) this.imagesByMachine.delete(machineId);
  }

  /** The machine as a candidate; null if no task may be placed on it now. */
  usableCandidate(machineId: string, transaction?: TransactionBuilder): Candidate | null {
    const machine = this.dependencies.state.machines.get(machineId);
    const machineType = this.dependencies.machineTypes().get(machine?.machineType ?? '');
    if (!machine || !machineType || machine.drainReason !== undefined) return null;
    if (!this.isUsable(machineId, machine)) return null;
    return this.candidate(machineId, machine, machineType, transaction);
  }

  /** The candidates for those of the machines on which tasks may be placed now. */
  usableCandidates(machineIds: Iterable<string>, transaction?: TransactionBuilder): Candidate[] {
    const usable: Candidate[] = [];
    for (const machineId of machineIds) {
      const candidate = this.usableCandidate(machineId, transaction);
      if (candidate) usable.push(candidate);
    }
    return usable;
  }

  /** Whether the machine's owner has cordoned it: it sends no heartbeats, is unhealthy or is about to be preempted. */
  isCordoned(machineId: string): boolean {
    const { domainManager, workerManager, cordonedByPeers } = this.dependencies;
    const session = workerManager.session(machineId);
    return session && domainManager.fencingTokenFor(machineId) !== null
      ? workerManager.cordonReason(session) !== undefined
      : cordonedByPeers().has(machineId);
  }

  /**
   * The machine as a candidate, whether or not it is usable. Its free resources exclude every task recorded on it,
   * started or not. If a transaction is given, tasks are counted as they will be after it.
   */
  candidate(
    machineId: string,
    machine: Machine,
    machineType: MachineType,
    transaction?: TransactionBuilder,
  ): Candidate {
    const candidate = transaction?.changedMachines.has(machineId)
      ? this.makeCandidate(machineId, machine, machineType, transaction)
      : this.cachedCandidate(machineId, machine, machineType);
    const { heartbeatBytes = MAX_REPORTED_TASKS_BYTES } = candidate.free;
    const unrecordedBytes = this.dependencies.workerManager.session(machineId)?.unrecordedBytes;
    const free = { ...candidate.free, heartbeatBytes: heartbeatBytes - (unrecordedBytes ?? 0) };
    return { ...candidate, free };
  }

  private cachedCandidate(
    machineId: string,
    machine: Machine,
    machineType: MachineType,
  ): Candidate {
    let cached = this.candidates.get(machineId);
    if (!cached) {
      cached = this.makeCandidate(machineId, machine, machineType, undefined);
      this.candidates.set(machineId, cached);
    }
    return cached;
  }

  private isUsable(machineId: string, machine: Machine): boolean {
    const { self, state, workerManager, cordonedByPeers } = this.dependencies;
    const owner = state.ownerOf(machineId);
    if (!owner) return false;
    if (owner.host === self) return workerManager.isUsable(machineId);
    return (
      machine.address !== '' && state.liveness.has(owner.host) && !cordonedByPeers().has(machineId)
    );
  }

  private makeCandidate(
    machineId: string,
    machine: Machine,
    { cpus, gpus, memoryGb }: MachineType,
    transaction: TransactionBuilder | undefined,
  ): Candidate {
    const { jobs, jobsByMachine } = this.dependencies.state;
    const free = { cpus, gpus, memoryGb, heartbeatBytes: MAX_REPORTED_TASKS_BYTES };
    const images = new Set(this.imagesByMachine.get(machineId));
    for (const jobId of jobsByMachine.get(machineId) ?? []) {
      const recorded = jobs.get(jobId);
      // The worker reports a task until it knows that its end is recorded, so the transaction makes no difference here.
      if (recorded) free.heartbeatBytes -= jobStatusBytes(jobId, recorded, machineId);
      const job = transaction ? transaction.job(jobId) : recorded;
      if (!job) continue;
      reserveResources(job.spec, free, allocatedTasksOn(job, machineId));
      images.add(job.spec.image);
    }
    return {
      id: machineId,
      machineType: machine.machineType,
      zone: machine.zone,
      spot: machine.spot,
      capacity: { cpus, gpus, memoryGb },
      free,
      images,
    };
  }

  private rememberImages(machineId: string): void {
    const { jobs, jobsByMachine } = this.dependencies.state;
    let images = this.imagesByMachine.get(machineId);
    if (!images) this.imagesByMachine.set(machineId, (images = new Set()));
    for (const jobId of jobsByMachine.get(machineId) ?? []) {
      const image = jobs.get(jobId)?.spec.image;
      if (image === undefined) continue;
      images.delete(image);
      images.add(image);
    }
    for (const oldest of images) {
      if (images.size <= MAX_REMEMBERED_IMAGES) break;
      images.delete(oldest);
    }
  }
}
