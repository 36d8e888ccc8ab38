/** Sends commands to workers, with at most one request in flight per machine. */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Heartbeat, WorkerCommand } from '../model/worker.js';
import { decodeHeartbeat, encodeCommandRequest } from '../protocol/workers.js';
import { NoAnswer, NotSent } from '../wire/client.js';
import { isAcknowledgement, withFencedAcknowledgements } from './acknowledgements.js';
import type { Connectivity } from './connectivity.js';
import { MAX_COMMANDS, type MachineReconciler } from './machine-reconciler.js';
import { taskKey } from './reconciliation.js';
import type { SessionStore } from './session-store.js';
import type { WorkerCallers } from './worker-callers.js';
import { applyHeartbeat, type RequestFence, type WorkerSession } from './worker-session.js';

/** Cap on the consecutive failed requests that count towards the retry delay. */
const MAX_FAILURES_COUNTED = 4;

/** Timing of command requests, in milliseconds. */
export interface CommandDispatcherOptions {
  /** A failed request is retried after this interval times the number of consecutive failures. */
  heartbeatIntervalMs: number;
  requestTimeoutMs: number;
}

/** Dependencies of a `CommandDispatcher`. */
export interface CommandDispatcherDependencies {
  sessions: SessionStore;
  reconciler: MachineReconciler;
  callers: WorkerCallers;
  connectivity: Connectivity;
  clock: Clock;
  log: Log;
  /** Called when a request with start commands got no answer: they may or may not be executed. */
  onUnknownOutcome: (session: WorkerSession) => void;
}

/** A worker's answer to a command request: accepted, or refused because of the request's fence. */
interface CommandAnswer {
  accepted: boolean;
  heartbeat: Heartbeat;
}

/** Sends each machine the commands that its reconciliation returns, and retries failed requests. */
export class CommandDispatcher {
  constructor(
    private readonly options: CommandDispatcherOptions,
    private readonly dependencies: CommandDispatcherDependencies,
  ) {}

  /** Sends the machine its commands, at once or as soon as the request in flight has ended. */
  requestReconcile(session: WorkerSession): void {
    if (session.requestInFlight) {
      session.requestPending = true;
      return;
    }
    if (session.retryAt > this.dependencies.clock.now() || session.address === '') return;
    const needed = session.fenced ? this.commandsFor(session) : [];
    // Acknowledgements alone are not worth a request: the answer to the next heartbeat carries them.
    if (session.fenced && needed.every(isAcknowledgement)) return;
    const commands = withFencedAcknowledgements(session, needed);
    if (commands.some(({ kind }) => kind === 'start')) session.tokens.noteStart();
    session.requestInFlight = true;
    void this.send(session, commands).finally(() => {
      this.requestEnded(session);
    });
  }

  private commandsFor(session: WorkerSession): WorkerCommand[] {
    const commands = this.dependencies.reconciler.reconcile(session);
    return session.unknownOutcome ? commands.filter(({ kind }) => kind !== 'start') : commands;
  }

  private async send(session: WorkerSession, commands: readonly WorkerCommand[]): Promise<void> {
    const { tokens, workerIncarnation } = session;
    const fence: RequestFence = { fencingToken: tokens.current, workerIncarnation };
    try {
      const answer = await this.request(session, fence, commands);
      this.dependencies.connectivity.noteContact();
      if (!this.dependencies.sessions.isCurrent(session)) return;
      this.applyAnswer(session, fence, answer);
      if (answer.accepted && mayHaveMore(session, commands)) session.requestPending = true;
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      this.requestFailed(session, fence, commands, error);
    }
  }

  private async request(
    { machineId, address }: WorkerSession,
    fence: RequestFence,
    commands: readonly WorkerCommand[],
  ): Promise<CommandAnswer> {
    const call = this.dependencies.callers.callerTo(machineId, address);
    const { status, body } = await call({
      method: 'POST',
      path: '/commands',
      body: encodeCommandRequest({ ...fence, commands }),
      timeoutMs: this.options.requestTimeoutMs,
    });
    const heartbeat = decodeHeartbeat(body);
    if (heartbeat?.machineId !== machineId || (status !== 200 && status !== 409))
      throw new NoAnswer(`commands: unusable answer, status ${String(status)}`);
    return { accepted: status === 200, heartbeat };
  }

  private applyAnswer(session: WorkerSession, sent: RequestFence, answer: CommandAnswer): void {
    const { clock, reconciler } = this.dependencies;
    session.requestInFlight = false;
    if (applyHeartbeat(session, answer.heartbeat, clock.now())) reconciler.reconcile(session);
    if (answer.accepted) return;
    // The first request to a machine is sent without knowing the worker's incarnation, so its refusal is not a failure.
    const sentCurrentIncarnation = answer.heartbeat.workerIncarnation === sent.workerIncarnation;
    session.failedRequests = sentCurrentIncarnation ? session.failedRequests + 1 : 0;
    session.requestPending = true;
  }

  private requestFailed(
    session: WorkerSession,
    fence: RequestFence,
    commands: readonly WorkerCommand[],
    error: NoAnswer,
  ): void {
    const { log, onUnknownOutcome } = this.dependencies;
    log.debug({ machineId: session.machineId, err: error }, 'worker did not answer');
    session.failedRequests = Math.min(MAX_FAILURES_COUNTED, session.failedRequests + 1);
    if (error instanceof NotSent || !commands.some(({ kind }) => kind === 'start')) return;
    session.unknownOutcome = fence;
    onUnknownOutcome(session);
  }

  private requestEnded(session: WorkerSession): void {
    const { clock, sessions } = this.dependencies;
    session.requestInFlight = false;
    const again = session.requestPending || !session.fenced;
    session.requestPending = false;
    // Back off, so that a command that has no effect is not resent in a tight loop.
    const delayMs = this.options.heartbeatIntervalMs * session.failedRequests;
    if (delayMs > 0) session.retryAt = clock.now() + delayMs;
    if (!again || !sessions.isCurrent(session)) return;
    clock.after(delayMs, () => {
      this.requestReconcile(session);
    });
  }
}

/**
 * Whether there may be more commands than the message had room for. False if the worker did not execute its last
 * command, which would otherwise be sent again and again.
 */
function mayHaveMore({ tasks }: WorkerSession, sent: readonly WorkerCommand[]): boolean {
  const last = sent.at(-1);
  if (!last || sent.length < MAX_COMMANDS) return false;
  const status = tasks.get(taskKey(last.taskName, last.attempt));
  if (last.kind === 'start') return status !== undefined;
  return status === undefined || status.phase === 'exited' || status.phase === 'checkpointing';
}
