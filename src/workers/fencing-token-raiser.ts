/** Raises the fencing tokens of machines, so that workers refuse commands sent under lower tokens. */
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import { encodeFencingToken, keys } from '../store/records/index.js';
import type { Proposal } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import type { SessionStore } from './session-store.js';
import type { WorkerSession } from './worker-session.js';

/** Stopped tasks that a machine may keep reporting before its token is raised. */
const MAX_STOPPED_TASKS = 16;

/** Timing of a `FencingTokenRaiser`, in milliseconds. */
export interface FencingTokenRaiserOptions {
  /** A token is raised only if there was contact to the machine within this time. */
  heartbeatIntervalMs: number;
  /** Interval at which machines are checked for stopped tasks. */
  stoppedTasksCheckMs: number;
}

/** Dependencies of a `FencingTokenRaiser`. */
export interface FencingTokenRaiserDependencies {
  state: State;
  sessions: SessionStore;
  domainManager: DomainManager;
  clock: Clock;
}

/** Proposes raised tokens for machines with a start of unknown outcome and for those that report many stopped tasks. */
export class FencingTokenRaiser {
  /** Sessions that had an unknown outcome; `propose` removes those where it has been resolved. */
  private readonly unknownOutcomes = new Set<WorkerSession>();
  private stoppedTasksCheckedAt = -Infinity;

  constructor(
    private readonly options: FencingTokenRaiserOptions,
    private readonly dependencies: FencingTokenRaiserDependencies,
  ) {}

  noteUnknownOutcome(session: WorkerSession): void {
    this.unknownOutcomes.add(session);
  }

  propose(): Proposal | null {
    const { state, sessions, domainManager } = this.dependencies;
    const fencingToken = state.fencingToken + 1;
    for (const session of this.unknownOutcomes)
      if (!session.unknownOutcome || !sessions.isCurrent(session))
        this.unknownOutcomes.delete(session);
    const raised = new Map<string, number>();
    for (const session of [...this.unknownOutcomes, ...this.sessionsWithManyStoppedTasks()])
      if (this.canBeRaised(session)) raised.set(session.machineId, fencingToken);
    if (raised.size === 0) return null;
    const { conditions, writes } = domainManager.changeMachines({ set: raised });
    const putToken = { put: keys.fencingToken, value: encodeFencingToken(fencingToken) };
    return {
      transaction: {
        conditions: [...conditions, state.unchangedCondition(keys.fencingToken)],
        writes: [...writes, putToken],
      },
    };
  }

  /**
   * Whether the machine is owned and was in contact recently, and the token has not already been raised since the
   * request with unknown outcome.
   */
  private canBeRaised(session: WorkerSession): boolean {
    const { sessions, clock } = this.dependencies;
    const { unknownOutcome, fencingToken, lastContactAt } = session;
    return (
      (!unknownOutcome || unknownOutcome.fencingToken === fencingToken) &&
      sessions.isOwned(session) &&
      clock.now() - lastContactAt < this.options.heartbeatIntervalMs
    );
  }

  /**
   * Machines that report too many stopped tasks. Under a raised token, late start requests can no longer be executed,
   * so the workers may be told to forget these tasks.
   */
  private sessionsWithManyStoppedTasks(): WorkerSession[] {
    const { sessions, clock } = this.dependencies;
    const now = clock.now();
    if (now - this.stoppedTasksCheckedAt < this.options.stoppedTasksCheckMs) return [];
    this.stoppedTasksCheckedAt = now;
    return [...sessions.values()].filter(reportsManyStoppedTasks);
  }
}

function reportsManyStoppedTasks({ tasks }: WorkerSession): boolean {
  let stopped = 0;
  for (const { phase, exitReason } of tasks.values()) {
    // An attempt that the worker has not forgotten prevents another attempt of the same task from starting there.
    if (exitReason === 'alreadyRunning') return true;
    if (phase === 'exited' && exitReason !== 'done') stopped++;
  }
  return stopped > MAX_STOPPED_TASKS;
}
