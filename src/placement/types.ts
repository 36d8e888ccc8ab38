/** What the planner works on: a snapshot of machines, waiting jobs and quotas, and the placements it decides on. */
import type { QuotaShortfall } from '../domain/quota-sharing.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { RentalOffer } from '../model/machine.js';
import type { ResourceAmount, Resources } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import type { DeadlineOptions } from './urgency.js';

/** A machine on which tasks may be placed. */
export interface Candidate extends RentalOffer {
  /** Machine id; empty for a machine that is yet to be rented. */
  id: string;
  /** What the machine has in all. */
  capacity: Resources;
  /** What no task uses and none may be using. Changed while planning. */
  free: Resources;
  /** Container images that are cached there, or will be. */
  images: ReadonlySet<string>;
}

/** A job with its id. */
export interface JobEntry {
  jobId: string;
  job: JobRecord;
}

/** Machines, jobs and quotas as of one moment. Planning changes it, so each plan takes a snapshot of its own. */
export interface Snapshot extends DeadlineOptions {
  /** Machines that tasks may be placed on. */
  candidates: Candidate[];
  /** Jobs to place; those without waiting tasks are ignored. */
  jobs: JobEntry[];
  /** Quotas by team. */
  teams: ReadonlyMap<string, TeamQuota>;
  /** What each team's tasks use on the whole fleet, tasks whose outcome is unknown included. */
  usageByTeam: Map<string, ResourceAmount>;
  /** The zone of any recorded machine; empty if it is not recorded. */
  zoneOf(machineId: string): string;
  /** Zones in which controllers run. */
  controllerZones: ReadonlySet<string>;
  /** Whether the operators set an objective for guarantees; only then are tasks of equal priority preempted for them. */
  enforcesGuarantees: boolean;
  /** What the job's own team uses for lower priorities: the job may have all of that preempted. */
  usageBelowPriority(job: JobRecord): ResourceAmount;
  /** Whether a machine type without GPUs could hold a task of the job. */
  fitsWithoutGpus(spec: JobSpec): boolean;
  /** Job to deadline class; computed on first use, see `urgencyOf`. */
  deadlineClassByJob?: ReadonlyMap<string, number> | undefined;
  /** What each team may still use on these candidates; absent: only the team's limit counts. */
  remainingQuota?: Map<string, ResourceAmount> | undefined;
  /** Set by the planner: what of the teams' limits is kept from lower priorities for jobs that were not placed. */
  reservedQuota?: Map<string, ResourceAmount> | undefined;
  /** Set by the planner: what would have been placed but for `remainingQuota`, by team. */
  shortfalls?: Map<string, QuotaShortfall> | undefined;
}

/** Machines for waiting tasks of a job, one entry for each task. */
export interface Placement {
  jobId: string;
  /** A machine occurs once for each task that it is to hold. */
  machineIds: string[];
}
