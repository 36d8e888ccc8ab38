/** Raises the fencing tokens of machines, so that commands sent under older ones are void. */
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import { encodeFencingToken, keys } from '../store/records/index.js';
import type { Proposal } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import type { SessionStore } from './session-store.js';
import type { WorkerSession } from './worker-session.js';

/** Stopped tasks that a machine may go on showing before its token is raised. */
const MAX_STOPPED_TASKS = 16;

/** Times that decide which tokens are raised. */
export interface FencingTokenRaiserOptions {
  /** Only a machine heard within this time gets a raised token, in milliseconds. */
  heartbeatIntervalMs: number;
  /** How often machines are searched for stopped tasks, in milliseconds. */
  stoppedTasksCheckMs: number;
}

/** What the proposals are made from. */
export interface FencingTokenRaiserDependencies {
  state: State;
  sessions: SessionStore;
  domainManager: DomainManager;
  clock: Clock;
}

/** Proposes raised tokens for machines with a start of unknown outcome, and for those that show many stopped tasks. */
export class FencingTokenRaiser {
  /** Sessions that have had an unknown outcome; those that have none any more are removed by the next proposal. */
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
    for (const session of [...this.unknownOutcomes, ...this.withManyStoppedTasks()])
      if (this.canBeRaised(session)) raised.set(session.machineId, fencingToken);
    if (raised.size === 0) return null;
    const { conditions, writes } = domainManager.changeMachines({ set: raised });
    const putToken = { put: keys.fencingToken, value: encodeFencingToken(fencingToken) };
    return {
      transaction: {
        conditions: [...conditions, state.unchanged(keys.fencingToken)],
        writes: [...writes, putToken],
      },
    };
  }

  /** Whether the machine is owned and heard, and its unknown outcome is not that of a token raised already. */
  private canBeRaised(session: WorkerSession): boolean {
    const { sessions, clock } = this.dependencies;
    const { unknownOutcome, fencingToken, lastContactAt } = session;
    return (
      (!unknownOutcome || unknownOutcome.fencingToken === fencingToken) &&
      sessions.isOwned(session) &&
      clock.now() - lastContactAt < this.options.heartbeatIntervalMs
    );
  }

  /** Machines that show more stopped tasks than they should: under a raised token, they may forget them. */
  private withManyStoppedTasks(): WorkerSession[] {
    const { sessions, clock } = this.dependencies;
    const now = clock.now();
    if (now - this.stoppedTasksCheckedAt < this.options.stoppedTasksCheckMs) return [];
    this.stoppedTasksCheckedAt = now;
    return [...sessions.values()].filter(showsManyStoppedTasks);
  }
}

function showsManyStoppedTasks({ tasks }: WorkerSession): boolean {
  let stopped = 0;
  for (const { phase, exitReason } of tasks.values()) {
    // What the worker has not forgotten keeps another attempt of the same task away.
    if (exitReason === 'alreadyRunning') return true;
    if (phase === 'exited' && exitReason !== 'done') stopped++;
  }
  return stopped > MAX_STOPPED_TASKS;
}
