/** What a controller knows of the worker on one machine of its domain. */
import type { Heartbeat, TaskStatus } from '../model/worker.js';
import { indexTasks } from './reconciliation.js';

/** A worker executes a command request only while its own token and incarnation are these. */
export interface RequestFence {
  fencingToken: number;
  workerIncarnation: number;
}

/** What is known of one machine's worker, under one fencing token at a time. */
export interface WorkerSession {
  readonly machineId: string;
  /** Where the worker has said that it can be called; empty until it has. */
  address: string;
  fencingToken: number;
  /** When this process became the machine's owner under this token, in milliseconds of its clock. */
  ownedSince: number;
  /** Revision of the store in which it did. */
  ownedAtRevision: number;
  workerIncarnation: number;
  /** Sequence number of the last heartbeat taken up. */
  sequence: number;
  /** The tasks that the worker showed last, by `taskKey`. */
  tasks: Map<string, TaskStatus>;
  /** Tasks started under the present token and incarnation: a copy of such a request may come late. */
  startedTasks: Set<string>;
  /** The worker has shown this token, so no command of a lower one can be executed any more. */
  fenced: boolean;
  /** Last heartbeat, or last answer that may have renewed the worker's lease. */
  lastContactAt: number;
  /** The cloud has announced that it takes the machine back. */
  preemptionAnnounced: boolean;
  /** A command request is under way. */
  requestInFlight: boolean;
  /** Another request is wanted once that one has ended. */
  requestPending: boolean;
  /** Fence of a start request without an answer, which may still be executed. */
  unknownOutcome: RequestFence | null;
  /** The worker's lease has certainly run out since it was last heard. */
  leaseExpired: boolean;
  /** Jobs whose tasks failed here since the last task that completed. */
  failedJobs: Set<string>;
  /** Command requests that failed since the last heartbeat. */
  failedRequests: number;
  /** No command request is sent before this time. */
  retryAt: number;
}

/** The session of a worker of which nothing is known yet but its machine's record and owner. */
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

/** Puts a session under another fencing token, which the worker has yet to show. */
export function changeFencingToken(
  session: WorkerSession,
  fencingToken: number,
  ownedAtRevision: number,
  now: number,
): void {
  session.fencingToken = fencingToken;
  session.ownedSince = now;
  session.ownedAtRevision = ownedAtRevision;
  session.fenced = false;
  session.leaseExpired = false;
}

/** Takes up a heartbeat; false, and nothing changed, if it is older than what is known. */
export function applyHeartbeat(session: WorkerSession, heartbeat: Heartbeat, now: number): boolean {
  if (isOutdated(session, heartbeat)) return false;
  session.address = heartbeat.address;
  if (heartbeat.workerIncarnation > session.workerIncarnation) session.startedTasks.clear();
  session.workerIncarnation = heartbeat.workerIncarnation;
  session.sequence = heartbeat.sequence;
  session.tasks = indexTasks(heartbeat.tasks);
  session.lastContactAt = now;
  session.leaseExpired = false;
  session.failedRequests = 0;
  session.preemptionAnnounced = heartbeat.preemptionNoticeSeconds !== null;
  updateFence(session, heartbeat.fencingToken);
  if (session.unknownOutcome && hasPassed(heartbeat, session.unknownOutcome))
    session.unknownOutcome = null;
  return true;
}

/** Whether the heartbeat was held up on the way: a later one has been taken up. */
function isOutdated(session: WorkerSession, heartbeat: Heartbeat): boolean {
  if (heartbeat.workerIncarnation !== session.workerIncarnation)
    return heartbeat.workerIncarnation < session.workerIncarnation;
  return heartbeat.sequence <= session.sequence;
}

function updateFence(session: WorkerSession, shownToken: number): void {
  if (shownToken < session.fencingToken) session.fenced = false;
  if (shownToken !== session.fencingToken) return;
  if (!session.fenced) session.startedTasks.clear();
  session.fenced = true;
}

/** Whether the worker can no longer execute a request with that fence. */
function hasPassed(heartbeat: Heartbeat, fence: RequestFence): boolean {
  return (
    heartbeat.fencingToken > fence.fencingToken ||
    heartbeat.workerIncarnation > fence.workerIncarnation
  );
}
