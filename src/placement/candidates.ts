/** Machines as candidates for placement, kept until something about them changes. */
import type { DomainManager } from '../domain/manager.js';
import { allocatedTasksOn } from '../model/allocations.js';
import { reserveResources } from '../model/fit.js';
import type { Machine, MachineType } from '../model/machine.js';
import type { State } from '../store/state.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';
import type { WorkerManager } from '../workers/manager.js';
import type { Candidate } from './types.js';

/** Images remembered for each machine beyond those in use there. */
const MAX_REMEMBERED_IMAGES = 16;

/** What `CandidateCache` works with. */
export interface CandidateDependencies {
  /** Name of the own host. */
  self: string;
  state: State;
  domainManager: DomainManager;
  workerManager: WorkerManager;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Machines of peers that their owners say are cordoned. */
  cordonedByPeers: () => ReadonlySet<string>;
}

/** Makes candidates of recorded machines and keeps them, as most machines do not change between two plans. */
export class CandidateCache {
  private readonly candidates = new Map<string, Candidate>();
  /** Machine to the images last used there, the latest last. */
  private readonly imagesByMachine = new Map<string, Set<string>>();

  constructor(private readonly dependencies: CandidateDependencies) {}

  /** Forgets all candidates: machine types have changed. */
  clear(): void {
    this.candidates.clear();
  }

  /** The tasks on these machines have changed. */
  tasksChanged(machineIds: Iterable<string>): void {
    for (const machineId of machineIds) {
      this.candidates.delete(machineId);
      this.rememberImages(machineId);
    }
  }

  /** A machine's record has changed or gone. */
  machineChanged(machineId: string): void {
    this.candidates.delete(machineId);
    if (!this.dependencies.state.machines.has(machineId)) this.imagesByMachine.delete(machineId);
  }

  /** The machine as a candidate; null if nothing may be placed on it now. */
  usableCandidate(machineId: string, transaction?: TransactionBuilder): Candidate | null {
    const machine = this.dependencies.state.machines.get(machineId);
    const machineType = this.dependencies.machineTypes().get(machine?.machineType ?? '');
    if (!machine || !machineType || machine.drainReason !== undefined) return null;
    if (!this.isUsable(machineId, machine)) return null;
    return this.candidate(machineId, machine, machineType, transaction);
  }

  /** Those of the machines that something may be placed on now, as candidates. */
  usableCandidates(machineIds: Iterable<string>, transaction?: TransactionBuilder): Candidate[] {
    const usable: Candidate[] = [];
    for (const machineId of machineIds) {
      const candidate = this.usableCandidate(machineId, transaction);
      if (candidate) usable.push(candidate);
    }
    return usable;
  }

  /** Whether the machine's owner has cordoned it: it is silent, unhealthy or about to be preempted. */
  isCordoned(machineId: string): boolean {
    const { domainManager, workerManager, cordonedByPeers } = this.dependencies;
    const session = workerManager.session(machineId);
    return session && domainManager.fencingTokenFor(machineId) !== null
      ? workerManager.cordonReason(session) !== undefined
      : cordonedByPeers().has(machineId);
  }

  /**
   * The machine as a candidate, whether or not it is usable. Every task recorded on it counts, whether or not it has
   * started; with a transaction, as that will leave them.
   */
  candidate(
    machineId: string,
    machine: Machine,
    machineType: MachineType,
    transaction?: TransactionBuilder,
  ): Candidate {
    if (transaction?.touched.has(machineId))
      return this.makeCandidate(machineId, machine, machineType, transaction);
    let cached = this.candidates.get(machineId);
    if (!cached) {
      cached = this.makeCandidate(machineId, machine, machineType, undefined);
      this.candidates.set(machineId, cached);
    }
    return { ...cached, free: { ...cached.free } };
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
    const free = { cpus, gpus, memoryGb };
    const images = new Set(this.imagesByMachine.get(machineId));
    for (const jobId of jobsByMachine.get(machineId) ?? []) {
      const job = transaction ? transaction.job(jobId) : jobs.get(jobId);
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
