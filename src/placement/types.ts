/** Input and output of the planner: a snapshot of machines, waiting jobs and quotas, and the resulting placements. */
import type { QuotaShortfall } from '../domain/quota-sharing.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { RentalOffer } from '../model/machine.js';
import type { MachineRoom, ResourceAmount, Resources } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import type { DeadlineOptions } from './urgency.js';

/** A machine on which tasks may be placed. */
export interface Candidate extends RentalOffer {
  /** Machine id; empty for a machine that is not rented yet. */
  id: string;
  /** Total resources of the machine. */
  capacity: Resources;
  /** Room that no task uses or might still be using. Changed during planning. */
  free: MachineRoom;
  /** Container images that are cached there, or will be once its tasks have started. */
  images: ReadonlySet<string>;
}

/** A job with its id. */
export interface JobEntry {
  jobId: string;
  job: JobRecord;
}

/** Machines, jobs and quotas at one moment. Planning modifies it, so each plan needs a snapshot of its own. */
export interface Snapshot extends DeadlineOptions {
  /** Machines that tasks may be placed on. */
  candidates: Candidate[];
  /** Jobs to place; jobs without waiting tasks are ignored. */
  jobs: JobEntry[];
  /** Bytes of the allocations that the plan may make: as many as one transaction can record. If absent, any number. */
  maxAllocationBytes?: number | undefined;
  /**
   * Whether to ignore the limited size of heartbeats for arrays. Machines are not rented for want of room there, because
   * the tasks of an array can wait for each other.
   */
  ignoresHeartbeatsOfArrays?: boolean | undefined;
  /** Quotas by team. */
  teams: ReadonlyMap<string, TeamQuota>;
  /** What each team's tasks use on the whole fleet, including tasks whose outcome is unknown. */
  usageByTeam: Map<string, ResourceAmount>;
  /** The zone of a machine of any domain; empty if the machine is not recorded. */
  zoneOf(machineId: string): string;
  /** Zones in which controllers run. */
  controllerZones: ReadonlySet<string>;
  /**
   * Whether the operators have set a service level objective for guarantees. Only then are tasks of equal priority
   * preempted for a team within its guarantee.
   */
  enforcesGuarantees: boolean;
  /** What the job's team uses for lower priorities; the job may preempt all of it. */
  usageBelowPriority(job: JobRecord): ResourceAmount;
  /** Whether a machine type without GPUs could hold a task of the job. */
  fitsWithoutGpus(spec: JobSpec): boolean;
  /** Deadline class of each job; computed on first use, see `urgencyOf`. */
  deadlineClassByJob?: ReadonlyMap<string, number> | undefined;
  /** What each team may still use on these candidates; if absent, only the team's limit applies. */
  remainingQuota?: Map<string, ResourceAmount> | undefined;
  /**
   * Set by the planner: by team, the part of its limit reserved for jobs that were not placed, against lower
   * priorities.
   */
  reservedQuota?: Map<string, ResourceAmount> | undefined;
  /** Set by the planner: by team, what could not be placed only because of `remainingQuota`. */
  shortfalls?: Map<string, QuotaShortfall> | undefined;
}

/** The machines chosen for waiting tasks of a job. */
export interface Placement {
  jobId: string;
  /** One entry for each task, so a machine may occur several times. */
  machineIds: string[];
}
