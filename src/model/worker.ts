/** Heartbeats of workers, and the commands that they are sent. */

/** How far a task is on its machine. */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';

/** Why a task has exited, as its worker says. */
export type ExitReason =
  | 'done'
  | 'error'
  /** By a stop command. */
  | 'halted'
  /** Another attempt of the task is on the machine. */
  | 'alreadyRunning'
  /** A member of the gang is gone. */
  | 'peerLost'
  /** The members of the gang were not together in time. */
  | 'gangIncomplete'
  /** The machine has too little left for it. */
  | 'noResources'
  /** Any other reason: it says nothing that makes a difference here. */
  | 'other';

/** A task that a worker shows. */
export interface TaskStatus {
  /** Job and task number, as in `j-1/0`. */
  taskName: string;
  attempt: number;
  phase: TaskPhase;
  exitReason: ExitReason | null;
}

/** A worker's status, which comes with its heartbeats and with its answers to commands. */
export interface Heartbeat {
  machineId: string;
  address: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** Rises whenever the worker starts over without its tasks. */
  workerIncarnation: number;
  /** Rises with each heartbeat of an incarnation. */
  sequence: number;
  /** Highest fencing token that the worker has seen. */
  fencingToken: number;
  /** Time until the cloud takes a spot machine back, once it has announced that. */
  preemptionNoticeSeconds: number | null;
  tasks: TaskStatus[];
}

interface TaskCommand {
  taskName: string;
  attempt: number;
}

/** What a worker is told to do with a task. */
export type WorkerCommand =
  | (TaskCommand & { kind: 'start' })
  | (TaskCommand & { kind: 'stop'; gracePeriodSeconds: number })
  /** Lets the worker forget a task that has exited. */
  | (TaskCommand & { kind: 'acknowledge' });
