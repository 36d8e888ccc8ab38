/** Bin packing: chooses the machines for the tasks of one job. */
import {
  fits,
  isAllowedOn,
  releaseResources,
  reserveResources,
  suitsGpuUse,
} from '../model/fit.js';
import type { JobSpec } from '../model/job.js';
import { RESOURCE_EPSILON, type MachineRoom } from '../model/resources.js';
import { compareNames } from '../util/order.js';
import { isWithinLimit, isWithinQuota, recordShortfall } from './quota.js';
import type { QueuedJob } from './queued-job.js';
import { isLexicographicallyLess } from './sort-key.js';
import type { Candidate, Snapshot } from './types.js';
import { addTasks, maxTasksPerZone } from './zones.js';

/** Chooses machines for one job after another and reserves their resources in the candidates. */
export class CandidateChooser {
  // Two sort keys, reused for all candidates, since a plan compares several hundred thousand of them.
  private bestKey: number[] = [];
  private candidateKey: number[] = [];

  constructor(
    private readonly snapshot: Snapshot,
    private readonly candidates: readonly Candidate[],
  ) {}

  /**
   * Returns one machine for the next tasks of an array (repeated for as many tasks as it holds, up to `maxTasks`), one
   * machine for the next replica of a service, or the machines for all tasks of a gang; null if there are none.
   */
  choose(queued: QueuedJob, maxTasks: number): string[] | null {
    const { snapshot } = this;
    const { job } = queued;
    const { spec } = job;
    const tasks = spec.kind === 'gang' ? spec.tasks : 1;
    if (!isWithinLimit(snapshot, spec, tasks)) return null;
    const eligible = this.eligibleCandidates(queued);
    if (eligible.length === 0) return null;
    if (!isWithinQuota(snapshot, spec, tasks)) {
      recordShortfall(snapshot, spec, queued.waiting);
      return null;
    }
    const tasksByZone = queued.zoneCounts(snapshot);
    for (const group of groupByZone(spec, eligible, tasksByZone)) {
      const chosen = this.placeTasks(queued, group, tasksByZone, tasks);
      if (chosen) return this.completeChoice(queued, chosen, maxTasks);
    }
    return null;
  }

  private eligibleCandidates(queued: QueuedJob): Candidate[] {
    const { spec, avoidedMachines } = queued.job;
    const avoidsGpuMachines = spec.kind === 'service' && this.snapshot.fitsWithoutGpus(spec);
    return this.candidates.filter(
      (candidate) =>
        isAllowedOn(spec, candidate) &&
        !avoidedMachines?.includes(candidate.id) &&
        fits(queued.size, candidate.free) &&
        queued.leavesRoomOn(candidate) &&
        (!avoidsGpuMachines || suitsGpuUse(spec, candidate.capacity)),
    );
  }

  /** Reserves resources for `tasks` tasks and returns their candidates; null if not all fit, with nothing reserved. */
  private placeTasks(
    { job: { spec }, size }: QueuedJob,
    candidates: readonly Candidate[],
    tasksByZone: ReadonlyMap<string, number>,
    tasks: number,
  ): Candidate[] | null {
    const chosen: Candidate[] = [];
    const plannedByZone = new Map(tasksByZone);
    while (chosen.length < tasks) {
      const best = this.bestCandidate({ spec, size }, candidates, plannedByZone);
      if (!best) {
        for (const candidate of chosen) releaseResources(size, candidate.free);
        return null;
      }
      reserveResources(size, best.free);
      chosen.push(best);
      addTasks(plannedByZone, best.zone);
    }
    return chosen;
  }

  /** The candidate with the lowest sort key (see `fillCandidateKey`) that fits one task and whose zone is not full. */
  private bestCandidate(
    { spec, size }: { spec: JobSpec; size: MachineRoom },
    candidates: readonly Candidate[],
    tasksByZone: ReadonlyMap<string, number>,
  ): Candidate | null {
    const maxPerZone = maxTasksPerZone(spec);
    let best: Candidate | null = null;
    for (const candidate of candidates) {
      const tasksInZone = tasksByZone.get(candidate.zone) ?? 0;
      if (tasksInZone >= maxPerZone || !fits(size, candidate.free)) continue;
      this.fillCandidateKey(spec, candidate, tasksInZone);
      if (best && !this.isBetter(candidate, best)) continue;
      best = candidate;
      [this.bestKey, this.candidateKey] = [this.candidateKey, this.bestKey];
    }
    return best;
  }

  private isBetter(candidate: Candidate, best: Candidate): boolean {
    if (isLexicographicallyLess(this.candidateKey, this.bestKey)) return true;
    return !isLexicographicallyLess(this.bestKey, this.candidateKey) && candidate.id < best.id;
  }

  /**
   * Criteria in order: no GPU machine for a task that uses no GPUs; cached image; fewest tasks of the job in the zone
   * (if they are to be spread); a zone with a controller (for services); a spot machine (if the job accepts them);
   * largest free fraction of the CPUs.
   */
  private fillCandidateKey(spec: JobSpec, candidate: Candidate, tasksInZone: number): void {
    const key = this.candidateKey;
    key[0] = suitsGpuUse(spec, candidate.capacity) ? 0 : 1;
    key[1] = candidate.images.has(spec.image) ? 0 : 1;
    key[2] = spec.spreadAcrossZones ? tasksInZone : 0;
    // Prefer zones with a controller for services, so that a network partition between zones does not cut them off.
    key[3] = spec.kind === 'service' && !this.snapshot.controllerZones.has(candidate.zone) ? 1 : 0;
    key[4] = spec.spot && !candidate.spot ? 1 : 0;
    key[5] = -candidate.free.cpus / Math.max(candidate.capacity.cpus, RESOURCE_EPSILON);
  }

  private completeChoice(
    queued: QueuedJob,
    chosen: readonly Candidate[],
    maxTasks: number,
  ): string[] {
    const { spec } = queued.job;
    // Tasks of an array or gang share one image pull on each machine. For a service the image is not counted as cached
    // yet: that would attract further replicas to the same machine.
    if (spec.kind !== 'service')
      for (const candidate of chosen) candidate.images = new Set([...candidate.images, spec.image]);
    const machineIds = chosen.map((candidate) => candidate.id);
    const [first] = chosen;
    if (spec.kind === 'array' && first) this.addArrayTasks(queued, first, maxTasks, machineIds);
    return machineIds;
  }

  /**
   * Adds further tasks of an array to the chosen machine, as many as its resources and the team's limits allow. Tasks
   * that are to be spread across zones are chosen one by one instead.
   */
  private addArrayTasks(
    queued: QueuedJob,
    candidate: Candidate,
    maxTasks: number,
    machineIds: string[],
  ): void {
    const { size } = queued;
    const { spec } = queued.job;
    while (
      machineIds.length < maxTasks &&
      !spec.spreadAcrossZones &&
      fits(size, candidate.free) &&
      queued.leavesRoomOn(candidate, machineIds.length) &&
      isWithinLimit(this.snapshot, spec, machineIds.length + 1) &&
      isWithinQuota(this.snapshot, spec, machineIds.length + 1)
    ) {
      reserveResources(size, candidate.free);
      machineIds.push(candidate.id);
    }
  }
}

/** One group of candidates per zone if all tasks must run in the same zone; otherwise all candidates as one group. */
function groupByZone(
  spec: JobSpec,
  eligible: readonly Candidate[],
  tasksByZone: ReadonlyMap<string, number>,
): (readonly Candidate[])[] {
  if (!spec.singleZone) return [eligible];
  const zones =
    tasksByZone.size > 0
      ? [...tasksByZone.keys()]
      : [...new Set(eligible.map((candidate) => candidate.zone))];
  return zones
    .sort(compareNames)
    .map((zone) => eligible.filter((candidate) => candidate.zone === zone));
}
