/** Finds workers whose leases have certainly run out: nothing that was started on them goes on. */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { State } from '../store/state.js';
import type { CommandDispatcher } from './command-dispatcher.js';
import type { SessionStore } from './session-store.js';
import type { TaskOutcomes } from './task-outcomes.js';
import { CLOCK_DRIFT_FACTOR } from './timing.js';
import type { WorkerSession } from './worker-session.js';

/** Heartbeat intervals after a lease's end for which an answer of this process may still be on its way out. */
const ANSWER_MARGIN_INTERVALS = 0.25;

/** Times of the worker protocol, in milliseconds. */
export interface LeaseMonitorOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Time within which a cancelled job must have stopped, in milliseconds. */
  cancellationMs: number;
}

/** What the monitor looks at, and what it tells. */
export interface LeaseMonitorDependencies {
  state: State;
  sessions: SessionStore;
  outcomes: TaskOutcomes;
  dispatcher: CommandDispatcher;
  clock: Clock;
  log: Log;
}

/** Expires the sessions of workers whose leases are over. */
export class LeaseMonitor {
  constructor(
    private readonly options: LeaseMonitorOptions,
    private readonly dependencies: LeaseMonitorDependencies,
  ) {}

  /** Looks at all sessions, at regular times. */
  checkLeases(): void {
    const { sessions, clock } = this.dependencies;
    const now = clock.now();
    for (const session of sessions.values())
      if (sessions.isOwned(session) && !session.leaseExpired) this.check(session, now);
  }

  private check(session: WorkerSession, now: number): void {
    const { dispatcher } = this.dependencies;
    if (!session.fenced) {
      dispatcher.requestReconcile(session);
      if (this.isUnfencedLeaseOver(session, now)) this.expire(session);
    } else if (this.isFencedLeaseOver(session, now)) this.expire(session);
    else if (session.failedRequests > 0) dispatcher.requestReconcile(session);
  }

  /**
   * Nothing was heard under this token. Whoever answered this worker before stops in time for a cancellation; after
   * that its lease is over too.
   */
  private isUnfencedLeaseOver(session: WorkerSession, now: number): boolean {
    const { cancellationMs, heartbeatIntervalMs } = this.options;
    // One that has never sent a heartbeat is still booting: nothing can be on it.
    const mayHoldTasks =
      session.address !== '' || this.dependencies.state.jobsByMachine.has(session.machineId);
    const limitMs = cancellationMs * CLOCK_DRIFT_FACTOR + heartbeatIntervalMs;
    return mayHoldTasks && now - session.ownedSince > limitMs;
  }

  /**
   * Only this process answers the worker's heartbeats under this token, and has not since: the lease is over, and any
   * command still on its way carries an incarnation that has ended.
   */
  private isFencedLeaseOver(session: WorkerSession, now: number): boolean {
    const { leaseMs, heartbeatIntervalMs } = this.options;
    const marginMs = heartbeatIntervalMs * ANSWER_MARGIN_INTERVALS;
    return now - session.lastContactAt > leaseMs * CLOCK_DRIFT_FACTOR + marginMs;
  }

  private expire(session: WorkerSession): void {
    const { log, outcomes } = this.dependencies;
    const { machineId, fencingToken } = session;
    session.leaseExpired = true;
    session.tasks = new Map();
    session.unknownOutcome = null;
    log.info({ machineId, fencingToken }, 'worker lease expired');
    outcomes.requeueAllOn(machineId);
  }
}
