/** The rental plan: which machines to rent so that waiting tasks can run. It depends only on a snapshot and options. */
import { fits, fittingTasks, isAllowedOn, reserveResources } from '../model/fit.js';
import { waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { MachineType, RentalOffer } from '../model/machine.js';
import { RESOURCE_EPSILON, type MachineRoom, type ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import { MAX_REPORTED_TASKS_BYTES } from '../protocol/heartbeat-size.js';
import { plan } from '../placement/plan.js';
import { priorityIndex } from '../placement/priority.js';
import { sizeOfTask } from '../placement/task-size.js';
import type { Candidate, JobEntry, Snapshot } from '../placement/types.js';
import { addTasks, countTasksByZone, maxTasksPerZone } from '../placement/zones.js';
import { getOrAdd } from '../util/maps.js';
import { cheapestOffer, taskPrices, type OfferContext, type TaskPrices } from './offers.js';

/** Time planned for each task when tasks run one after the other, as a multiple of the expected run time. */
const RUN_TIME_MARGIN = 1.5;

/** What the cloud offers, and how much of it may be rented. */
export interface RentalPlanOptions {
  machineTypes: ReadonlyMap<string, MachineType>;
  /** Keys of offers that the cloud had no capacity for recently. */
  refusedOffers: ReadonlySet<string>;
  /** Maximum number of machines to rent. */
  maxOffers: number;
}

/** What to rent, and which existing machines are needed. */
export interface RentalPlan {
  /** Offers to request, one entry for each machine. */
  offers: RentalOffer[];
  /** Ids of existing candidates that waiting tasks will use. */
  neededMachines: Set<string>;
}

/**
 * Plans which machines to rent for waiting tasks that do not fit on the snapshot's candidates, which include booting
 * machines. Also returns the candidates that the other waiting tasks will use.
 */
export function planRentals(snapshot: Snapshot, options: RentalPlanOptions): RentalPlan {
  return new RentalPlanner(snapshot, options).run();
}

/** How many of the waiting tasks of a job should have machines at the same time. */
function tasksWorthRunning(job: JobRecord, waiting: number, wallClockMs: number): number {
  const { kind, deadlineSeconds, expectedSeconds } = job.spec;
  if (kind !== 'array' || deadlineSeconds === null || expectedSeconds <= 0) return waiting;
  const secondsLeft = (job.acceptedAt + deadlineSeconds * 1000 - wallClockMs) / 1000;
  const rounds = Math.floor(secondsLeft / (expectedSeconds * RUN_TIME_MARGIN));
  // If not even one round fits before the deadline, run all tasks at once. Otherwise run only as many at a time as it
  // takes to finish all of them by the deadline.
  return rounds < 1 ? waiting : Math.min(waiting, Math.ceil(waiting / rounds));
}

/** The state of planning machines for one job. */
interface Demand {
  spec: JobSpec;
  /** What each task takes of a machine. */
  size: Readonly<MachineRoom>;
  /** Tasks of the job that still lack machines. */
  missingTasks: number;
  /** Tasks of all jobs that lack machines and could run on the same machines as those of this job. */
  sharedTasks: number;
  tasksByZone: Map<string, number>;
  /**
   * Index of the next planned machine to try. Earlier ones cannot hold another task of the job: free resources only
   * shrink, and the task counts of zones only grow.
   */
  nextPlanned: number;
  prices: TaskPrices;
  offerContext: OfferContext;
}

class RentalPlanner {
  private readonly offers: RentalOffer[] = [];
  private readonly offersByZone = new Map<string, number>();
  /** The machines that the chosen offers will add to the fleet. */
  private readonly planned: Candidate[] = [];
  /** Job to the number of its tasks that were placed on candidates. */
  private readonly placedTasks = new Map<string, number>();
  private readonly neededMachines = new Set<string>();
  private readonly sharedTasksByKind = new Map<string, number>();

  constructor(
    private readonly snapshot: Snapshot,
    private readonly options: RentalPlanOptions,
  ) {
    for (const { jobId, machineIds } of plan(snapshot)) {
      this.placedTasks.set(jobId, machineIds.length);
      for (const machineId of machineIds) this.neededMachines.add(machineId);
    }
  }

  run(): RentalPlan {
    for (const entry of byPriority(this.snapshot.jobs)) {
      if (this.offers.length >= this.options.maxOffers) break;
      this.planJob(entry);
    }
    return { offers: this.offers, neededMachines: this.neededMachines };
  }

  private planJob({ jobId, job }: JobEntry): void {
    const { spec } = job;
    const waiting = waitingCount(job);
    const quota = this.snapshot.teams.get(spec.team);
    if (waiting === 0 || !quota) return;
    const used = getOrAdd(this.snapshot.usageByTeam, spec.team, () => ({ cpus: 0, gpus: 0 }));
    const missingTasks = Math.min(
      tasksWorthRunning(job, waiting, this.snapshot.wallClockMs) -
        (this.placedTasks.get(jobId) ?? 0),
      this.tasksWithinLimit(job, quota, used),
    );
    if (missingTasks <= 0) return;
    const demand = this.demandOf({ jobId, job }, missingTasks);
    while (demand.missingTasks > 0) {
      const candidate = this.plannedMachineFor(demand) ?? this.rentFor(demand);
      if (!candidate) return;
      const tasks = this.tasksAtOnce(demand, candidate);
      for (let task = 0; task < tasks; task++) this.assignTask(demand, candidate, used);
    }
  }

  /**
   * How many more tasks of the job the team's limit allows. What the team uses for lower priorities does not count,
   * because the job may preempt it.
   */
  private tasksWithinLimit(job: JobRecord, quota: TeamQuota, used: ResourceAmount): number {
    const { cpus, gpus } = job.spec;
    const preemptible = this.snapshot.usageBelowPriority(job);
    const cpusLeft = quota.cpuLimit + preemptible.cpus - used.cpus;
    const gpusLeft = quota.gpuLimit + preemptible.gpus - used.gpus;
    return Math.min(
      cpus > 0 ? Math.floor(cpusLeft / cpus + RESOURCE_EPSILON) : Infinity,
      gpus > 0 ? Math.floor(gpusLeft / gpus + RESOURCE_EPSILON) : Infinity,
    );
  }

  private demandOf({ jobId, job }: JobEntry, missingTasks: number): Demand {
    const { spec } = job;
    const maxPerZone = maxTasksPerZone(spec);
    const tasksByZone = countTasksByZone(this.snapshot, job);
    return {
      spec,
      size: sizeOfTask(jobId, spec, this.snapshot),
      missingTasks,
      sharedTasks: this.sharedTasksFor(spec),
      tasksByZone,
      nextPlanned: 0,
      prices: taskPrices(spec, this.options.machineTypes),
      offerContext: {
        refusedOffers: this.options.refusedOffers,
        offersByZone: this.offersByZone,
        tasksByZone,
        isAllowed: (offer) => isOfferAllowed(spec, offer, tasksByZone, maxPerZone),
      },
    };
  }

  /** Number of tasks of all jobs that were not placed and could run on the same machines as those of this job. */
  private sharedTasksFor(spec: JobSpec): number {
    const kind = `${String(spec.gpus > 0)} ${String(spec.spot)}`;
    return getOrAdd(this.sharedTasksByKind, kind, () => {
      let tasks = 0;
      for (const { jobId, job } of this.snapshot.jobs)
        if (job.spec.gpus > 0 === spec.gpus > 0 && (job.spec.spot || !spec.spot))
          tasks += waitingCount(job) - (this.placedTasks.get(jobId) ?? 0);
      return tasks;
    });
  }

  /** The first planned machine on which one more task of the job fits. */
  private plannedMachineFor(demand: Demand): Candidate | null {
    for (; demand.nextPlanned < this.planned.length; demand.nextPlanned++) {
      const candidate = this.planned[demand.nextPlanned];
      if (!candidate || !demand.offerContext.isAllowed(candidate)) continue;
      if (fits(demand.size, candidate.free)) return candidate;
    }
    return null;
  }

  /** Plans to rent one more machine; null if no offer is acceptable or the maximum number is reached. */
  private rentFor({
    spec,
    missingTasks,
    sharedTasks,
    prices,
    offerContext,
  }: Demand): Candidate | null {
    if (this.offers.length >= this.options.maxOffers) return null;
    const offer = cheapestOffer(spec, Math.max(missingTasks, sharedTasks), prices, offerContext);
    const machineType = offer && this.options.machineTypes.get(offer.machineType);
    if (!machineType) return null;
    const { cpus, gpus, memoryGb } = machineType;
    const candidate: Candidate = {
      id: '',
      ...offer,
      capacity: { cpus, gpus, memoryGb },
      free: { cpus, gpus, memoryGb, heartbeatBytes: MAX_REPORTED_TASKS_BYTES },
      images: new Set(),
    };
    this.planned.push(candidate);
    this.offers.push(offer);
    this.offersByZone.set(offer.zone, (this.offersByZone.get(offer.zone) ?? 0) + 1);
    return candidate;
  }

  /** How many tasks are assigned to a machine before the next machine is chosen. */
  private tasksAtOnce({ spec, size, missingTasks }: Demand, { free }: Candidate): number {
    return spec.spreadAcrossZones ? 1 : Math.max(1, fittingTasks(size, free, missingTasks));
  }

  private assignTask(demand: Demand, candidate: Candidate, used: ResourceAmount): void {
    const { spec, size, tasksByZone } = demand;
    reserveResources(size, candidate.free);
    used.cpus += spec.cpus;
    used.gpus += spec.gpus;
    addTasks(tasksByZone, candidate.zone);
    demand.missingTasks--;
    demand.sharedTasks--;
  }
}

/** Jobs sorted by priority, then by time of acceptance. */
function byPriority(jobs: readonly JobEntry[]): JobEntry[] {
  return [...jobs].sort(
    (a, b) =>
      priorityIndex(a.job.spec.priority) - priorityIndex(b.job.spec.priority) ||
      a.job.acceptedAt - b.job.acceptedAt,
  );
}

function isOfferAllowed(
  spec: JobSpec,
  offer: RentalOffer,
  tasksByZone: ReadonlyMap<string, number>,
  maxPerZone: number,
): boolean {
  return isAllowedOn(spec, offer) && (tasksByZone.get(offer.zone) ?? 0) < maxPerZone;
}
