/** Jobs with what may be on machines for them, and what teams use by it, derived from jobs and run parts. */
import { getOrAdd, setOrDelete } from '../util/maps.js';
import type { AllocationsByMachine, JobRecord, JobSpec, JobState } from '../model/job.js';
import type { ResourceAmount } from '../model/resources.js';
import type { AllocationRecord } from './records/index.js';
import type { OwnerChange } from './ownership-index.js';

/** What a change of jobs or run parts touched. */
export interface AllocationChanges {
  jobs: Set<string>;
  /** Machines of which the tasks, or what is wanted of them, changed. */
  machines: Set<string>;
}

export class AllocationIndex {
  readonly jobs = new Map<string, JobRecord>();
  /** Machine -> jobs that may have tasks on it. */
  readonly jobsOn = new Map<string, Set<string>>();
  /** Team -> what its tasks use, those in doubt counted. */
  readonly usage = new Map<string, ResourceAmount>();
  /** Host -> team -> what its tasks use on the machines of that domain. */
  private readonly usageByHost = new Map<string, Map<string, ResourceAmount>>();
  private readonly stored = new Map<string, JobState>();
  private readonly runs = new Map<string, AllocationRecord>();
  /** Job -> part -> what that part records of it. */
  private readonly runsOf = new Map<string, Map<string, AllocationsByMachine>>();

  constructor(private readonly hostOf: (machine: string) => string | undefined) {}

  run(key: string): AllocationRecord {
    return this.runs.get(key) ?? {};
  }

  /** The parts that record anything of a job, with what they record. */
  partsOf(uid: string): ReadonlyMap<string, AllocationsByMachine> {
    return this.runsOf.get(uid) ?? new Map<string, AllocationsByMachine>();
  }

  usedOn(host: string): ReadonlyMap<string, ResourceAmount> {
    return getOrAdd(this.usageByHost, host, () => new Map<string, ResourceAmount>());
  }

  /** Machines have changed hands: their tasks count for the new domains. */
  ownersChanged(changes: readonly OwnerChange[]): void {
    for (const { machine, before, after } of changes) {
      if (before?.host === after?.host) continue;
      for (const uid of this.jobsOn.get(machine) ?? []) {
        const job = this.jobs.get(uid);
        if (!job) continue;
        const tasks = (job.allocationsByMachine[machine]?.length ?? 0) / 2;
        if (before) this.addUse(before.host, job.spec, -tasks);
        if (after) this.addUse(after.host, job.spec, tasks);
      }
    }
  }

  /** Takes up changed run parts by key and jobs by name, null for those that were deleted. */
  update(
    runs: ReadonlyMap<string, AllocationRecord | null>,
    jobs: ReadonlyMap<string, JobState | null>,
  ): AllocationChanges {
    const changes: AllocationChanges = { jobs: new Set(), machines: new Set() };
    for (const [key, run] of runs) this.replaceRun(key, run ?? {}, changes);
    for (const [uid, job] of jobs) this.replaceJob(uid, job, changes);
    for (const uid of changes.jobs) this.settle(uid);
    return changes;
  }

  private replaceJob(uid: string, after: JobState | null, changes: AllocationChanges): void {
    const before = this.stored.get(uid);
    setOrDelete(this.stored, uid, after);
    changes.jobs.add(uid);
    if (before && after && !wantsOtherwise(before, after)) return;
    for (const runs of this.partsOf(uid).values())
      for (const machine of Object.keys(runs)) changes.machines.add(machine);
  }

  private replaceRun(key: string, after: AllocationRecord, changes: AllocationChanges): void {
    const before = this.runs.get(key) ?? {};
    this.runs.set(key, after);
    for (const uid of Object.keys(before))
      if (!(uid in after)) this.setRuns(uid, key, null, changes);
    for (const [uid, runs] of Object.entries(after))
      if (!sameRuns(before[uid], runs)) this.setRuns(uid, key, runs, changes);
  }

  private setRuns(
    uid: string,
    key: string,
    after: AllocationsByMachine | null,
    changes: AllocationChanges,
  ): void {
    const parts = getOrAdd(this.runsOf, uid, () => new Map<string, AllocationsByMachine>());
    const before = parts.get(key) ?? {};
    for (const machine of new Set([...Object.keys(before), ...Object.keys(after ?? {})]))
      if (!samePairs(before[machine], after?.[machine])) changes.machines.add(machine);
    setOrDelete(parts, key, after);
    if (parts.size === 0) this.runsOf.delete(uid);
    changes.jobs.add(uid);
  }

  /** Puts a job together anew from its record and the parts, and counts what it uses. */
  private settle(uid: string): void {
    const before = this.jobs.get(uid);
    if (before) this.count(uid, before, -1);
    const stored = this.stored.get(uid);
    if (!stored) {
      this.jobs.delete(uid);
      return;
    }
    const job = { ...stored, allocationsByMachine: merged(this.partsOf(uid)) };
    this.jobs.set(uid, job);
    this.count(uid, job, 1);
  }

  private count(uid: string, job: JobRecord, sign: 1 | -1): void {
    let tasks = 0;
    for (const [machine, pairs] of Object.entries(job.allocationsByMachine)) {
      const here = pairs.length / 2;
      tasks += here;
      const set = getOrAdd(this.jobsOn, machine, () => new Set<string>());
      if (sign > 0) set.add(uid);
      else set.delete(uid);
      if (set.size === 0) this.jobsOn.delete(machine);
      const host = this.hostOf(machine);
      if (host !== undefined) this.addUse(host, job.spec, sign * here);
    }
    addTasks(this.usage, job.spec, sign * tasks);
  }

  private addUse(host: string, spec: JobSpec, tasks: number): void {
    addTasks(
      getOrAdd(this.usageByHost, host, () => new Map<string, ResourceAmount>()),
      spec,
      tasks,
    );
  }
}

/** What all parts record of a job together, in the order of their keys. */
function merged(parts: ReadonlyMap<string, AllocationsByMachine>): AllocationsByMachine {
  const merged: AllocationsByMachine = {};
  const inOrder =
    parts.size > 1 ? [...parts].sort(([one], [two]) => (one < two ? -1 : 1)) : [...parts];
  for (const [, runs] of inOrder)
    for (const [machine, pairs] of Object.entries(runs))
      merged[machine] = merged[machine] ? [...merged[machine], ...pairs] : pairs;
  return merged;
}

/** Adds what so many tasks of a job use to its team's sum. */
export function addTasks(sums: Map<string, ResourceAmount>, spec: JobSpec, tasks: number): void {
  const sum = sums.get(spec.team);
  sums.set(spec.team, {
    cpus: (sum?.cpus ?? 0) + tasks * spec.cpus,
    gpus: (sum?.gpus ?? 0) + tasks * spec.gpus,
  });
}

function sameRuns(one: AllocationsByMachine | undefined, two: AllocationsByMachine): boolean {
  if (!one) return false;
  const machines = Object.keys(two);
  if (Object.keys(one).length !== machines.length) return false;
  return machines.every((machine) => samePairs(one[machine], two[machine]));
}

function samePairs(a: number[] | undefined, b: number[] | undefined): boolean {
  if (a === b) return true;
  return a?.length === b?.length && a?.every((value, at) => value === b?.[at]) === true;
}

/** Whether the two states of a job want its tasks to go on or stop in another way. */
function wantsOtherwise(one: JobState, two: JobState): boolean {
  return (
    one.cancelled !== two.cancelled ||
    one.gangDone !== two.gangDone ||
    one.gangBroken !== two.gangBroken ||
    !samePairs(one.preemptedTasks ?? [], two.preemptedTasks ?? [])
  );
}
