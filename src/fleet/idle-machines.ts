/** Scale-in: drains idle machines as long as enough free CPUs remain. */
import type { Clock } from '../clock.js';
import type { CandidateCache } from '../placement/candidates.js';
import type { Candidate } from '../placement/types.js';
import type { State } from '../store/state.js';
import type { DrainRequests } from './drain-requests.js';
import type { MachineTypes } from './machine-types.js';

/** Free CPUs that are kept for new tasks, as a ratio to the CPUs in use. */
const RESERVED_CPU_RATIO = 1 / 4;

/** Whether and when idle machines are drained. */
export interface IdleMachinesOptions {
  /** Whether machines may be rented and returned. Otherwise idle machines are kept. */
  rent: boolean;
  /** How long a machine must be idle before it is drained, as a multiple of its type's usual boot time. */
  idleBoots: number;
}

/** Dependencies of `IdleMachines`. */
export interface IdleMachinesDependencies {
  state: State;
  candidates: CandidateCache;
  machineTypes: MachineTypes;
  drainRequests: DrainRequests;
  clock: Clock;
}

/** Machines that have been idle for long enough to be drained, and the free and used CPUs of the fleet. */
interface FleetUsage {
  idle: Candidate[];
  /** Free CPUs on machines without GPUs. */
  freeCpus: number;
  usedCpus: number;
}

/** Tracks how long each machine has been idle, and drains those that are not needed. */
export class IdleMachines {
  /** Machine to the time at which it was first seen idle, in milliseconds of the monotonic clock. */
  private readonly idleSince = new Map<string, number>();

  constructor(
    private readonly options: IdleMachinesOptions,
    private readonly dependencies: IdleMachinesDependencies,
  ) {}

  /** Restarts the idle time of machines that waiting tasks will use. */
  markNeeded(machineIds: Iterable<string>): void {
    for (const machineId of machineIds) this.idleSince.delete(machineId);
  }

  /** Drains machines that have been idle for a long time and are not needed as a reserve. */
  drainSurplus(): void {
    const { machineTypes, drainRequests } = this.dependencies;
    const usage = this.fleetUsage();
    if (!this.options.rent) return;
    const priceOf = (candidate: Candidate): number => machineTypes.pricePerHour(candidate);
    for (const { id } of surplusMachines(usage, priceOf)) drainRequests.request(id, 'idle');
  }

  private fleetUsage(): FleetUsage {
    const { state, candidates, machineTypes, clock } = this.dependencies;
    const now = clock.now();
    const usage: FleetUsage = { idle: [], freeCpus: 0, usedCpus: 0 };
    for (const [machineId, machine] of state.machines) {
      const isUp = machine.address !== '';
      const candidate = isUp ? candidates.usableCandidate(machineId) : null;
      const isIdle = candidate !== null && !state.jobsByMachine.has(machineId);
      if (!isIdle) this.idleSince.delete(machineId);
      else if (!this.idleSince.has(machineId)) this.idleSince.set(machineId, now);
      if (!candidate) continue;
      const { capacity, free } = candidate;
      if (capacity.gpus === 0) usage.freeCpus += free.cpus;
      usage.usedCpus += capacity.cpus - free.cpus;
      const idleMs = now - (this.idleSince.get(machineId) ?? now);
      const isLongIdle = idleMs > machineTypes.bootMs(machine) * this.options.idleBoots;
      if (isIdle && isLongIdle) usage.idle.push(candidate);
    }
    return usage;
  }
}

/**
 * Idle machines that can be drained, the most expensive first, as long as enough CPUs stay free. Only CPUs on machines
 * without GPUs count as free, so machines with GPUs are always included.
 */
function surplusMachines(
  { idle, freeCpus, usedCpus }: FleetUsage,
  priceOf: (candidate: Candidate) => number,
): Candidate[] {
  const reservedCpus = usedCpus * RESERVED_CPU_RATIO;
  const surplus: Candidate[] = [];
  let cpusLeft = freeCpus;
  for (const candidate of [...idle].sort((a, b) => priceOf(b) - priceOf(a))) {
    const { cpus, gpus } = candidate.capacity;
    const countsAsFree = gpus === 0;
    if (countsAsFree && cpusLeft - cpus < reservedCpus) continue;
    if (countsAsFree) cpusLeft -= cpus;
    surplus.push(candidate);
  }
  return surplus;
}
