/** Jobs: their specifications and the records of their progress. */

/** A job array, a gang whose tasks run together, or a service whose replicas run until it is cancelled. */
export type JobKind = 'array' | 'gang' | 'service';

/**
 * Priority classes, from the most to the least important. A job may preempt tasks of lower classes; it may preempt
 * tasks of its own or a higher class only where the protocol allows it.
 */
export type Priority = 'critical' | 'urgent' | 'standard' | 'idle';

/** The specification of a job, as submitted by a user. */
export interface JobSpec {
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  /** Number of tasks of an array, members of a gang, or replicas of a service. */
  tasks: number;
  /** Resources that each task uses. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null allows any. */
  machineTypes: string[] | null;
  /** The only allowed zone; null allows any. */
  zone: string | null;
  /** Whether all tasks must run in the same zone, no matter which. */
  singleZone: boolean;
  /** Whether no zone may hold more than half of the tasks. */
  spreadAcrossZones: boolean;
  /** Whether tasks may run on spot machines. */
  spot: boolean;
  /** The user's estimate of a task's run time. */
  expectedSeconds: number;
  checkpointIntervalSeconds: number;
  /** How long a task takes to save a checkpoint when it is stopped. */
  checkpointSeconds: number;
  /** Time from acceptance within which the job should be done; null if it has no deadline. */
  deadlineSeconds: number | null;
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** The job's allocations by machine, packed as task, attempt, task, attempt, ... (see `PackedAllocations`). */
export type AllocationsByMachine = Record<string, number[]>;

/**
 * A job whose final state is not recorded yet. Completed tasks are not listed: they are the tasks below
 * `firstUnplacedTask` that are neither allocated nor requeued. So the record stays small however many tasks the job
 * has.
 */
export interface JobRecord {
  spec: JobSpec;
  /** Time of day of its acceptance, in milliseconds. */
  acceptedAt: number;
  cancelled?: true;
  /** The last attempt number that was assigned; 0 if no task was ever placed. */
  lastAttempt: number;
  /** Number of the first task that was never placed; no later task was placed either. */
  firstUnplacedTask: number;
  /**
   * Assembled from the domains' records. They are stored there, not with the job, so that one write can contain the
   * starts and ends of tasks of many jobs.
   */
  allocationsByMachine: AllocationsByMachine;
  /** Tasks that were placed before and are waiting again. */
  requeuedTasks: number[];
  /** Tasks to be stopped for other work, with time to save a checkpoint. */
  preemptedTasks?: number[];
  /** Set when one task of a gang is completed; then the whole gang counts as completed. */
  gangDone?: true;
  /** Set when a task of the gang's current attempt has ended without completing; all its other tasks are stopped. */
  gangBroken?: true;
  /** Number of failed tasks since a task last completed. */
  failures?: number;
  /** Time of day before which no task is started again, in milliseconds. */
  notBefore?: number;
  /** Machines on which tasks of the job failed most recently, the latest last. */
  avoidedMachines?: string[];
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** The part of a job that is stored in its own record; the allocations are stored with the domains. */
export type JobState = Omit<JobRecord, 'allocationsByMachine'>;

/** What is kept permanently of a job that has ended. */
export interface FinalState {
  phase: 'done' | 'cancelled';
  tasks: number;
}
