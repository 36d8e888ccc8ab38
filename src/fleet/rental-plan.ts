/** The rental plan: which machines to rent so that waiting tasks can run. A pure function of a snapshot. */
import { fits, isAllowedOn, reserveResources } from '../model/fit.js';
import { waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { MachineType, RentalOffer } from '../model/machine.js';
import { RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import { plan } from '../placement/plan.js';
import { priorityIndex } from '../placement/priority.js';
import type { Candidate, JobEntry, Snapshot } from '../placement/types.js';
import { addTask, countTasksByZone, maxTasksPerZone } from '../placement/zones.js';
import { getOrAdd } from '../util/maps.js';
import { cheapestOffer, taskPrices, type Market, type TaskPrices } from './offers.js';

/** Time kept in reserve when tasks run one after the other, as a multiple of the expected run time. */
const RUN_TIME_MARGIN = 1.5;

/** What the cloud offers, and how much of it may be taken up. */
export interface RentalPlanOptions {
  machineTypes: ReadonlyMap<string, MachineType>;
  /** Keys of offers that the cloud had no capacity for recently. */
  refusedOffers: ReadonlySet<string>;
  /** Offers to take up at most. */
  maxOffers: number;
}

/** What to rent, and what need not be rented. */
export interface RentalPlan {
  /** Offers to take up, one for each machine. */
  offers: RentalOffer[];
  /** Candidates that waiting tasks will use. */
  neededMachines: Set<string>;
}

/**
 * Offers to take up so that waiting tasks can run, beyond what the snapshot's candidates (machines that boot included)
 * hold; and the candidates that they will use.
 */
export function planRentals(snapshot: Snapshot, options: RentalPlanOptions): RentalPlan {
  return new RentalPlanner(snapshot, options).run();
}

/** How many waiting tasks of the job are worth having machines for at once. */
function tasksWorthRunning(job: JobRecord, waiting: number, wallClockMs: number): number {
  const { kind, deadlineSeconds, expectedSeconds } = job.spec;
  if (kind !== 'array' || deadlineSeconds === null || expectedSeconds <= 0) return waiting;
  const secondsLeft = (job.acceptedAt + deadlineSeconds * 1000 - wallClockMs) / 1000;
  const rounds = Math.floor(secondsLeft / (expectedSeconds * RUN_TIME_MARGIN));
  // Late already: all at once. Otherwise as many at a time as are done by the deadline.
  return rounds < 1 ? waiting : Math.min(waiting, Math.ceil(waiting / rounds));
}

/** A job's tasks that lack machines. */
interface Demand {
  spec: JobSpec;
  /** Tasks of the job that lack machines. */
  missingTasks: number;
  /** Tasks of any job that lack machines and could use what this job leaves of one. */
  sharedTasks: number;
  tasksByZone: Map<string, number>;
  /** Planned machines up to this one hold no more tasks of the job: resources only shrink and zones only fill up. */
  nextPlanned: number;
  prices: TaskPrices;
  market: Market;
}

class RentalPlanner {
  private readonly offers: RentalOffer[] = [];
  private readonly offersByZone = new Map<string, number>();
  /** The machines that the offers will bring. */
  private readonly planned: Candidate[] = [];
  /** Job to tasks that have found candidates. */
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
    const demand = this.demandOf(job, missingTasks);
    while (demand.missingTasks > 0) {
      const candidate = this.plannedMachineFor(demand) ?? this.rentFor(demand);
      if (!candidate) return;
      this.assignTask(demand, candidate, used);
    }
  }

  /** How many more tasks the team's limit allows; what the job may have preempted in its own team does not count. */
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

  private demandOf(job: JobRecord, missingTasks: number): Demand {
    const { spec } = job;
    const maxPerZone = maxTasksPerZone(spec);
    const tasksByZone = countTasksByZone(this.snapshot, job, []);
    return {
      spec,
      missingTasks,
      sharedTasks: this.sharedTasksFor(spec),
      tasksByZone,
      nextPlanned: 0,
      prices: taskPrices(spec, this.options.machineTypes),
      market: {
        refusedOffers: this.options.refusedOffers,
        offersByZone: this.offersByZone,
        tasksByZone,
        isOpen: (offer) => isOpen(spec, offer, tasksByZone, maxPerZone),
      },
    };
  }

  /** Tasks of any job that found no candidate and could run beside those of this job. */
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

  /** The first planned machine that holds one more task of the job. */
  private plannedMachineFor(demand: Demand): Candidate | null {
    for (; demand.nextPlanned < this.planned.length; demand.nextPlanned++) {
      const candidate = this.planned[demand.nextPlanned];
      if (!candidate || !demand.market.isOpen(candidate)) continue;
      if (fits(demand.spec, candidate.free)) return candidate;
    }
    return null;
  }

  /** Takes up one more offer; null if none is worth it, or if there are enough. */
  private rentFor({ spec, missingTasks, sharedTasks, prices, market }: Demand): Candidate | null {
    if (this.offers.length >= this.options.maxOffers) return null;
    const offer = cheapestOffer(spec, Math.max(missingTasks, sharedTasks), prices, market);
    const machineType = offer && this.options.machineTypes.get(offer.machineType);
    if (!machineType) return null;
    const { cpus, gpus, memoryGb } = machineType;
    const candidate: Candidate = {
      id: '',
      ...offer,
      capacity: { cpus, gpus, memoryGb },
      free: { cpus, gpus, memoryGb },
      images: new Set(),
    };
    this.planned.push(candidate);
    this.offers.push(offer);
    this.offersByZone.set(offer.zone, (this.offersByZone.get(offer.zone) ?? 0) + 1);
    return candidate;
  }

  private assignTask(demand: Demand, candidate: Candidate, used: ResourceAmount): void {
    const { spec, tasksByZone } = demand;
    reserveResources(spec, candidate.free);
    used.cpus += spec.cpus;
    used.gpus += spec.gpus;
    addTask(tasksByZone, candidate.zone);
    demand.missingTasks--;
    demand.sharedTasks--;
  }
}

/** Jobs by priority, then by acceptance. */
function byPriority(jobs: readonly JobEntry[]): JobEntry[] {
  return [...jobs].sort(
    (a, b) =>
      priorityIndex(a.job.spec.priority) - priorityIndex(b.job.spec.priority) ||
      a.job.acceptedAt - b.job.acceptedAt,
  );
}

function isOpen(
  spec: JobSpec,
  offer: RentalOffer,
  tasksByZone: ReadonlyMap<string, number>,
  maxPerZone: number,
): boolean {
  return isAllowedOn(spec, offer) && (tasksByZone.get(offer.zone) ?? 0) < maxPerZone;
}
