import type { TaskStatus } from '../model/worker.js';
/** What a controller knows of the worker on one machine of its domain. */

/** A launch request without an answer: it may be executed as long as term and tenure match. */
export interface UnknownOutcome {
  fencingToken: number;
  workerIncarnation: number;
}

export interface WorkerSession {
  machineId: string;
  /** Where it said that it can be called; empty until it has. */
  address: string;
  fencingToken: number;
  /** When this process became its owner under this term. */
  ownedSince: number;
  /** Generation of the store in which it did. */
  ownedAtRevision: number;
  workerIncarnation: number;
  sequence: number;
  tasks: Map<string, TaskStatus>;
  /** What was launched under the present term and tenure: a copy of that request may come late. */
  startedTasks: Set<string>;
  /** The worker has shown this term, so no command of a lower one can be executed any more. */
  fenced: boolean;
  /** Last sign of life, or last answer that may have renewed its lease. */
  lastContactAt: number;
  /** The cloud has announced that it takes the machine back. */
  preemptionAnnounced: boolean;
  /** A request to it is under way; another is wanted after it. */
  requestInFlight: boolean;
  requestPending: boolean;
  unknownOutcome: UnknownOutcome | null;
  /** Its lease has run out for certain since it was last heard. */
  leaseExpired: boolean;
  /** Failures since the last success there, by job. */
  failedJobs: Set<string>;
  failedRequests: number;
  retryAt: number;
}

/** A worker of which nothing is known yet but its machine's record and owner. */
export function newSession(
  known: Pick<WorkerSession, 'machineId' | 'address' | 'fencingToken' | 'ownedAtRevision'>,
  now: number,
): WorkerSession {
  return {
    ...known,
    ownedSince: now,
    workerIncarnation: 0,
    sequence: 0,
    tasks: new Map(),
    startedTasks: new Set(),
    fenced: false,
    lastContactAt: now,
    preemptionAnnounced: false,
    requestInFlight: false,
    requestPending: false,
    unknownOutcome: null,
    leaseExpired: false,
    failedJobs: new Set(),
    failedRequests: 0,
    retryAt: 0,
  };
}
