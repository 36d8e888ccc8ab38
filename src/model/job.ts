/** Jobs: what users ask for, and how far each job is. */

/** A job array, a gang whose tasks run together, or a service whose replicas run until it is cancelled. */
export type JobKind = 'array' | 'gang' | 'service';

/** From the most urgent to the least; none may take room from its own or a higher one but as the protocol allows. */
export type Priority = 'critical' | 'urgent' | 'standard' | 'idle';

/** What a user has submitted. */
export interface JobSpec {
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  /** Tasks of an array, members of a gang, replicas of a service. */
  tasks: number;
  /** What each task uses. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Machine types that are allowed; null: any. */
  machineTypes: string[] | null;
  /** The only zone that is allowed; null: any. */
  zone: string | null;
  /** Whether all tasks must run in one zone, whichever it is. */
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
  /** Time from acceptance by which the job should be done; null: none. */
  deadlineSeconds: number | null;
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** Job by machine: task, attempt, task, attempt, ... of whatever may be on each machine. */
export type AllocationsByMachine = Record<string, number[]>;

/**
 * A job that is not over. Of the tasks below `firstUnplacedTask`, those neither allocated nor requeued are done, so the
 * record stays small however many tasks the job has.
 */
export interface JobRecord {
  spec: JobSpec;
  /** Time of day of its acceptance, in milliseconds. */
  acceptedAt: number;
  cancelled?: true;
  /** Last attempt number given out. */
  lastAttempt: number;
  /** Tasks from this one on were never placed. */
  firstUnplacedTask: number;
  /** Put together from what the domains record, so that one write can carry the starts and ends of many jobs. */
  allocationsByMachine: AllocationsByMachine;
  /** Tasks that were placed before and wait again. */
  requeuedTasks: number[];
  /** Tasks that are to stop for other work, with time to save a checkpoint. */
  preemptedTasks?: number[];
  /** A gang of which one task is done: all are. */
  gangDone?: true;
  /** A gang whose attempt is broken: none of it goes on. */
  gangBroken?: true;
  /** Failures since the last success. */
  failures?: number;
  /** Time of day before which no task is tried again, in milliseconds. */
  notBefore?: number;
  /** Machines on which it failed last. */
  avoidedMachines?: string[];
  /** Stored fields of a later version, kept when the record is written again. */
  unknownFields?: Readonly<Record<string, unknown>>;
}

/** A job as its own record has it: without the allocations, which the domains record. */
export type JobState = Omit<JobRecord, 'allocationsByMachine'>;

/** What is kept for good of a job that is over. */
export interface FinalState {
  phase: 'done' | 'cancelled';
  tasks: number;
}
