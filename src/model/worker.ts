/** Heartbeats that workers send, and commands that are sent to workers. */

/** The phase of a task on its machine. */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';

/** Why a task has exited, as reported by its worker. */
export type ExitReason =
  | 'done'
  | 'error'
  /** Stopped by a command. */
  | 'halted'
  /** Another attempt of the task is already on the machine. */
  | 'alreadyRunning'
  /** Another member of the gang is lost. */
  | 'peerLost'
  /** Not all members of the gang were present in time. */
  | 'gangIncomplete'
  /** The machine has too few free resources for the task. */
  | 'noResources'
  /** Any other reason; controllers do not distinguish these. */
  | 'other';

/** A task's status as reported by its worker. */
export interface TaskStatus {
  /** Job and task number, as in `j-1/0`. */
  taskName: string;
  attempt: number;
  phase: TaskPhase;
  exitReason: ExitReason | null;
}

/** A worker's status, sent in its heartbeats and in its answers to commands. */
export interface Heartbeat {
  machineId: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Increases whenever the worker restarts without its tasks. */
  workerIncarnation: number;
  /** Increases with each heartbeat of an incarnation. */
  sequence: number;
  /** Highest fencing token that the worker has seen. */
  fencingToken: number;
  /** Time until the cloud preempts a spot machine; null unless the cloud has announced it. */
  preemptionNoticeSeconds: number | null;
  tasks: TaskStatus[];
}

interface TaskCommand {
  taskName: string;
  attempt: number;
}

/** A command to a worker about one task. */
export type WorkerCommand =
  | (TaskCommand & { kind: 'start' })
  | (TaskCommand & { kind: 'stop'; gracePeriodSeconds: number })
  /** Allows the worker to drop a task that has exited. */
  | (TaskCommand & { kind: 'acknowledge' });
