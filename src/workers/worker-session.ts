/** A controller's state about the worker on one machine of its domain. */
import type { Heartbeat, TaskStatus } from '../model/worker.js';
import { lastTokenOfRange } from '../model/fencing-token.js';
import { CommandTokens } from './command-tokens.js';
import { indexTasks } from './reconciliation.js';

/** A worker executes a command request only if its own fencing token and incarnation match the request's fence. */
export interface RequestFence {
  fencingToken: number;
  workerIncarnation: number;
}

/** State of one machine's worker, under one range of fencing tokens at a time. */
export interface WorkerSession {
  readonly machineId: string;
  /** Address at which the worker can be called, as recorded or last reported; empty if unknown. */
  address: string;
  /** First token of the range under which the machine is owned. */
  fencingToken: number;
  /** Tokens of the messages to the worker, within that range. */
  tokens: CommandTokens;
  /** Clock time at which this process became the machine's owner under this range, in milliseconds. */
  ownedSince: number;
  /** Store revision at which it became the owner, or a later one. */
  ownedAtRevision: number;
  workerIncarnation: number;
  /** Sequence number of the last heartbeat applied. */
  sequence: number;
  /** Tasks that the worker reported last, by `taskKey`. */
  tasks: Map<string, TaskStatus>;
  /** Bytes in the heartbeats of those tasks that are not recorded on the machine; most of them have ended. */
  unrecordedBytes: number;
  /** Whether the worker has reported a token of the range, so that it refuses commands of earlier owners. */
  fenced: boolean;
  /** Time of the last heartbeat, or of the last answer that may have renewed the worker's lease. */
  lastContactAt: number;
  /** Whether the cloud has announced that it will preempt the spot machine. */
  preemptionAnnounced: boolean;
  /** Whether a command request is in flight. */
  requestInFlight: boolean;
  /** Whether another request should follow the one in flight. */
  requestPending: boolean;
  /** Fence of a start request that got no answer and may still be executed; null if there is none. */
  unknownOutcome: RequestFence | null;
  /** Whether the worker's lease has certainly expired since the last contact. */
  leaseExpired: boolean;
  /** Jobs with tasks that failed on this machine since a task last completed. */
  failedJobs: Set<string>;
  /** Failed command requests since the last heartbeat applied. */
  failedRequests: number;
  /** No command request is sent before this time. */
  retryAt: number;
}

/** The initial session of a worker, made from its machine's record and owner alone. */
export function newSession(
  initial: Pick<WorkerSession, 'machineId' | 'address' | 'fencingToken' | 'ownedAtRevision'>,
  now: number,
): WorkerSession {
  return {
    ...initial,
    tokens: new CommandTokens(initial.fencingToken),
    ownedSince: now,
    workerIncarnation: 0,
    sequence: 0,
    tasks: new Map(),
    unrecordedBytes: 0,
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

/** Moves a session to another range of fencing tokens, of which the worker has not reported any yet. */
export function changeFencingToken(
  session: WorkerSession,
  fencingToken: number,
  ownedAtRevision: number,
  now: number,
): void {
  session.fencingToken = fencingToken;
  session.tokens = new CommandTokens(fencingToken);
  session.ownedSince = now;
  session.ownedAtRevision = ownedAtRevision;
  session.fenced = false;
  session.leaseExpired = false;
}

/** Applies a heartbeat to the session; returns false, without changes, if this or a later one was already applied. */
export function applyHeartbeat(session: WorkerSession, heartbeat: Heartbeat, now: number): boolean {
  if (isOutdated(session, heartbeat)) return false;
  session.address = heartbeat.address;
  session.workerIncarnation = heartbeat.workerIncarnation;
  session.sequence = heartbeat.sequence;
  session.tasks = indexTasks(heartbeat.tasks);
  session.lastContactAt = now;
  session.leaseExpired = false;
  session.failedRequests = 0;
  session.preemptionAnnounced = heartbeat.preemptionNoticeSeconds !== null;
  updateFence(session, heartbeat.fencingToken);
  if (session.unknownOutcome && invalidatesFence(heartbeat, session.unknownOutcome))
    session.unknownOutcome = null;
  return true;
}

/** Whether the heartbeat was delayed: the same or a later one has already been applied. */
function isOutdated(session: WorkerSession, heartbeat: Heartbeat): boolean {
  if (heartbeat.workerIncarnation !== session.workerIncarnation)
    return heartbeat.workerIncarnation < session.workerIncarnation;
  return heartbeat.sequence <= session.sequence;
}

function updateFence(session: WorkerSession, reportedToken: number): void {
  if (reportedToken < session.fencingToken) session.fenced = false;
  else if (reportedToken <= lastTokenOfRange(session.fencingToken)) {
    session.fenced = true;
    session.tokens.noteReported(reportedToken);
  }
}

/** Whether the heartbeat shows that the worker can no longer execute a request with this fence. */
function invalidatesFence(heartbeat: Heartbeat, fence: RequestFence): boolean {
  return (
    heartbeat.fencingToken > fence.fencingToken ||
    heartbeat.workerIncarnation > fence.workerIncarnation
  );
}
