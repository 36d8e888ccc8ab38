/** Finds workers whose leases have certainly expired: no task that was started on them is still running. */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { State } from '../store/state.js';
import type { CommandDispatcher } from './command-dispatcher.js';
import type { SessionStore } from './session-store.js';
import type { TaskOutcomes } from './task-outcomes.js';
import { CLOCK_DRIFT_FACTOR } from './timing.js';
import type { WorkerSession } from './worker-session.js';

/** Margin after the end of a lease, in heartbeat intervals, for an answer that is still leaving this process. */
const ANSWER_MARGIN_INTERVALS = 0.25;

/** Timing of the worker protocol, in milliseconds. */
export interface LeaseMonitorOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Time within which a cancelled job must have stopped. */
  cancellationMs: number;
}

/** Dependencies of a `LeaseMonitor`. */
export interface LeaseMonitorDependencies {
  state: State;
  sessions: SessionStore;
  outcomes: TaskOutcomes;
  dispatcher: CommandDispatcher;
  clock: Clock;
  log: Log;
}

/** Marks sessions of workers whose leases have expired, and requeues their tasks. */
export class LeaseMonitor {
  constructor(
    private readonly options: LeaseMonitorOptions,
    private readonly dependencies: LeaseMonitorDependencies,
  ) {}

  /** Checks all sessions of owned machines; called at regular intervals. */
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
   * The worker has not reported this token yet, so a former owner may still have renewed its lease. A former owner
   * stops answering early enough that the lease ends within the cancellation time; after that, it has expired.
   */
  private isUnfencedLeaseOver(session: WorkerSession, now: number): boolean {
    const { cancellationMs, heartbeatIntervalMs } = this.options;
    // A worker that has never sent a heartbeat is still booting: no task can be on its machine.
    const mayHoldTasks =
      session.address !== '' || this.dependencies.state.jobsByMachine.has(session.machineId);
    const limitMs = cancellationMs * CLOCK_DRIFT_FACTOR + heartbeatIntervalMs;
    return mayHoldTasks && now - session.ownedSince > limitMs;
  }

  /**
   * Only this process answers the worker's heartbeats under this token, so without an answer for a full lease it has
   * expired. Any command still on its way carries an incarnation that has ended.
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
    session.unrecordedBytes = 0;
    session.unknownOutcome = null;
    log.info({ machineId, fencingToken }, 'worker lease expired');
    outcomes.requeueAllOn(machineId);
  }
}
