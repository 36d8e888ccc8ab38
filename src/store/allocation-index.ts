/**
 * An index of jobs with their allocations, and of the resources that teams use, derived from job and allocation
 * records.
 */
import {
  allocatedTasksOn,
  allocationCount,
  concatAllocations,
  machinesOfEither,
  sameAllocations,
  sameAllocationsByMachine,
} from '../model/allocations.js';
import type { AllocationsByMachine, JobRecord, JobSpec, JobState } from '../model/job.js';
import type { ResourceAmount } from '../model/resources.js';
import { getOrAdd, setOrDelete } from '../util/maps.js';
import { compareNames } from '../util/order.js';
import type { OwnerChange } from './ownership-index.js';
import type { AllocationRecord } from './records/index.js';

/** The jobs and machines affected by a change of job or allocation records. */
export interface AllocationChanges {
  jobs: Set<string>;
  /** Machines whose tasks changed, or whose tasks have another desired state: to continue or to stop. */
  machines: Set<string>;
}

/**
 * Assembles each job from its own record and from all allocation partitions that contain it, and maintains the totals
 * of the resources that teams use. Tasks whose outcome is unknown count as using their resources.
 */
export class AllocationIndex {
  readonly jobs = new Map<string, JobRecord>();
  /** Jobs that may have tasks on a machine, by machine id. */
  readonly jobsOn = new Map<string, Set<string>>();
  /** Resources used by the tasks of each team. */
  readonly usageByTeam = new Map<string, ResourceAmount>();
  /** Resources used by the tasks of each team on the machines of a domain, by host and team. */
  private readonly usageByHost = new Map<string, Map<string, ResourceAmount>>();
  private readonly jobStates = new Map<string, JobState>();
  /** Allocation partitions by key. */
  private readonly partitions = new Map<string, AllocationRecord>();
  /** For each job, the keys of the partitions that contain it, with the job's allocations in each. */
  private readonly partitionsByJob = new Map<string, Map<string, AllocationsByMachine>>();

  /** `hostOf` returns the name of the controller that owns a machine. */
  constructor(private readonly hostOf: (machineId: string) => string | undefined) {}

  /** The allocation partition under a key; empty if there is none. */
  partition(key: string): AllocationRecord {
    return this.partitions.get(key) ?? {};
  }

  /** The keys of the partitions that contain a job, with the job's allocations in each. */
  partitionsOf(jobId: string): ReadonlyMap<string, AllocationsByMachine> {
    return this.partitionsByJob.get(jobId) ?? new Map<string, AllocationsByMachine>();
  }

  /** Resources used by the tasks of each team on the machines of a domain. */
  usageInDomain(host: string): ReadonlyMap<string, ResourceAmount> {
    return this.usageSums(host);
  }

  /** Moves the usage of tasks on machines that changed owner from the former domain's totals to the new domain's. */
  ownersChanged(changes: readonly OwnerChange[]): void {
    for (const { machine, before, after } of changes) {
      if (before?.host === after?.host) continue;
      for (const jobId of this.jobsOn.get(machine) ?? []) {
        const job = this.jobs.get(jobId);
        if (!job) continue;
        const tasks = allocatedTasksOn(job, machine);
        if (before) addUsage(this.usageSums(before.host), job.spec, -tasks);
        if (after) addUsage(this.usageSums(after.host), job.spec, tasks);
      }
    }
  }

  /** Applies changed allocation partitions (by key) and jobs (by id). Null stands for a deleted record. */
  update(
    partitions: ReadonlyMap<string, AllocationRecord | null>,
    jobs: ReadonlyMap<string, JobState | null>,
  ): AllocationChanges {
    const changes: AllocationChanges = { jobs: new Set(), machines: new Set() };
    for (const [key, partition] of partitions) this.replacePartition(key, partition ?? {}, changes);
    for (const [jobId, job] of jobs) this.replaceJobState(jobId, job, changes);
    for (const jobId of changes.jobs) this.rebuildJob(jobId);
    return changes;
  }

  private replaceJobState(jobId: string, after: JobState | null, changes: AllocationChanges): void {
    const before = this.jobStates.get(jobId);
    setOrDelete(this.jobStates, jobId, after);
    changes.jobs.add(jobId);
    if (before && after && sameDesiredState(before, after)) return;
    for (const allocations of this.partitionsOf(jobId).values())
      for (const machineId of Object.keys(allocations)) changes.machines.add(machineId);
  }

  private replacePartition(key: string, after: AllocationRecord, changes: AllocationChanges): void {
    const before = this.partitions.get(key) ?? {};
    this.partitions.set(key, after);
    for (const jobId of Object.keys(before))
      if (!(jobId in after)) this.setAllocations(jobId, key, null, changes);
    for (const [jobId, allocations] of Object.entries(after)) {
      const former = before[jobId];
      if (!former || !sameAllocationsByMachine(former, allocations))
        this.setAllocations(jobId, key, allocations, changes);
    }
  }

  /** Replaces a job's allocations in one partition. Null means that the partition no longer contains the job. */
  private setAllocations(
    jobId: string,
    key: string,
    after: AllocationsByMachine | null,
    changes: AllocationChanges,
  ): void {
    const partitions = getOrAdd(
      this.partitionsByJob,
      jobId,
      () => new Map<string, AllocationsByMachine>(),
    );
    const before = partitions.get(key) ?? {};
    for (const machineId of machinesOfEither(before, after ?? {}))
      if (!sameAllocations(before[machineId], after?.[machineId])) changes.machines.add(machineId);
    setOrDelete(partitions, key, after);
    if (partitions.size === 0) this.partitionsByJob.delete(jobId);
    changes.jobs.add(jobId);
  }

  /** Assembles a job again from its own record and the partitions, and updates the totals of what is used. */
  private rebuildJob(jobId: string): void {
    const before = this.jobs.get(jobId);
    if (before) this.updateUsage(jobId, before, -1);
    const jobState = this.jobStates.get(jobId);
    if (!jobState) {
      this.jobs.delete(jobId);
      return;
    }
    const job = { ...jobState, allocationsByMachine: merge(this.partitionsOf(jobId)) };
    this.jobs.set(jobId, job);
    this.updateUsage(jobId, job, 1);
  }

  /** Adds a job's usage to all totals, or subtracts it, and updates the jobs of each machine. */
  private updateUsage(jobId: string, job: JobRecord, sign: 1 | -1): void {
    let total = 0;
    for (const [machineId, allocations] of Object.entries(job.allocationsByMachine)) {
      const tasks = allocationCount(allocations);
      total += tasks;
      this.setJobOnMachine(machineId, jobId, sign > 0);
      const host = this.hostOf(machineId);
      if (host !== undefined) addUsage(this.usageSums(host), job.spec, sign * tasks);
    }
    addUsage(this.usageByTeam, job.spec, sign * total);
  }

  private setJobOnMachine(machineId: string, jobId: string, isListed: boolean): void {
    const jobIds = getOrAdd(this.jobsOn, machineId, () => new Set<string>());
    if (isListed) jobIds.add(jobId);
    else jobIds.delete(jobId);
    if (jobIds.size === 0) this.jobsOn.delete(machineId);
  }

  private usageSums(host: string): Map<string, ResourceAmount> {
    return getOrAdd(this.usageByHost, host, () => new Map<string, ResourceAmount>());
  }
}

/** All allocations of a job. Partitions are merged in key order, so that the result depends only on the records. */
function merge(partitions: ReadonlyMap<string, AllocationsByMachine>): AllocationsByMachine {
  const merged: AllocationsByMachine = {};
  const inOrder =
    partitions.size > 1
      ? [...partitions].sort(([one], [two]) => compareNames(one, two))
      : [...partitions];
  for (const [, partition] of inOrder)
    for (const [machineId, allocations] of Object.entries(partition)) {
      const others = merged[machineId];
      merged[machineId] = others ? concatAllocations(others, allocations) : allocations;
    }
  return merged;
}

/** Adds the resources of a number of a job's tasks to the total of its team. */
export function addUsage(sums: Map<string, ResourceAmount>, spec: JobSpec, tasks: number): void {
  const sum = sums.get(spec.team);
  sums.set(spec.team, {
    cpus: (sum?.cpus ?? 0) + tasks * spec.cpus,
    gpus: (sum?.gpus ?? 0) + tasks * spec.gpus,
  });
}

/** Whether two states of a job have the same desired state for its tasks: to continue, or to stop. */
function sameDesiredState(one: JobState, two: JobState): boolean {
  return (
    one.cancelled === two.cancelled &&
    one.gangDone === two.gangDone &&
    one.gangBroken === two.gangBroken &&
    sameNumbers(one.preemptedTasks ?? [], two.preemptedTasks ?? [])
  );
}

function sameNumbers(one: number[], two: number[]): boolean {
  return one.length === two.length && one.every((value, index) => value === two[index]);
}
