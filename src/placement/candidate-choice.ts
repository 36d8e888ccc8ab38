/** Bin packing: chooses the machines for the tasks of one job. */
import {
  fits,
  fittingTasks,
  isAllowedOn,
  releaseResources,
  reserveResources,
  suitsGpuUse,
} from '../model/fit.js';
import type { JobSpec } from '../model/job.js';
import type { MachineRoom } from '../model/resources.js';
import { compareNames } from '../util/order.js';
import { CandidateOrder } from './candidate-order.js';
import { CandidateQueue } from './candidate-queue.js';
import { isWithinLimit, isWithinQuota, recordShortfall, tasksWithinQuota } from './quota.js';
import type { QueuedJob } from './queued-job.js';
import type { Candidate, Snapshot } from './types.js';
import { maxTasksPerZone } from './zones.js';

/** Chooses machines for one job after another and reserves their resources in the candidates. */
export class CandidateChooser {
  // Two sort keys, reused for all candidates, since a plan compares several hundred thousand of them.
  private bestKey: number[] = [];
  private candidateKey: number[] = [];

  private readonly order: CandidateOrder;

  constructor(
    private readonly snapshot: Snapshot,
    private readonly candidates: readonly Candidate[],
  ) {
    this.order = new CandidateOrder(snapshot.controllerZones);
  }

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
    if (tasks === 1) return this.placeOne({ spec, size }, candidates, tasksByZone);
    if (!haveRoomFor(size, candidates, tasks)) return null;
    const plannedByZone = new Map(tasksByZone);
    const queue = new CandidateQueue({ spec, size }, candidates, plannedByZone, this.order);
    const chosen: Candidate[] = [];
    while (chosen.length < tasks) {
      const best = queue.place();
      if (!best) {
        for (const candidate of chosen) releaseResources(size, candidate.free);
        return null;
      }
      chosen.push(best);
    }
    return chosen;
  }

  /** Reserves resources for one task on the best candidate whose zone is not full, and returns it. */
  private placeOne(
    { spec, size }: { spec: JobSpec; size: MachineRoom },
    candidates: readonly Candidate[],
    tasksByZone: ReadonlyMap<string, number>,
  ): [Candidate] | null {
    const maxPerZone = maxTasksPerZone(spec);
    let best: Candidate | null = null;
    for (const candidate of candidates) {
      const tasksInZone = tasksByZone.get(candidate.zone) ?? 0;
      if (tasksInZone >= maxPerZone || !fits(size, candidate.free)) continue;
      this.order.fillKey(this.candidateKey, spec, candidate, tasksInZone);
      if (best && !this.isBetter(candidate, best)) continue;
      best = candidate;
      [this.bestKey, this.candidateKey] = [this.candidateKey, this.bestKey];
    }
    if (!best) return null;
    reserveResources(size, best.free);
    return [best];
  }

  private isBetter(candidate: Candidate, best: Candidate): boolean {
    return this.order.compare(this.candidateKey, candidate, this.bestKey, best) < 0;
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
      for (const candidate of chosen)
        if (!candidate.images.has(spec.image))
          candidate.images = new Set([...candidate.images, spec.image]);
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
    const { spec } = queued.job;
    if (spec.spreadAcrossZones) return;
    const further = Math.min(
      maxTasks - machineIds.length,
      queued.tasksWithRoomOn(candidate, machineIds.length),
      tasksWithinQuota(this.snapshot, spec) - machineIds.length,
    );
    for (let task = 0; task < further; task++) {
      reserveResources(queued.size, candidate.free);
      machineIds.push(candidate.id);
    }
  }
}

/** Whether the candidates together have room for the tasks. */
function haveRoomFor(size: MachineRoom, candidates: readonly Candidate[], tasks: number): boolean {
  let missing = tasks;
  for (const { free } of candidates) {
    missing -= fittingTasks(size, free, missing);
    if (missing === 0) return true;
  }
  return false;
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
