/** Handles the heartbeats of the workers in the own domain, and sends them commands. The facade of this folder. */
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import type { CordonReason } from '../model/machine.js';
import { decodeHeartbeat, encodeHeartbeatAnswer, encodeRedirect } from '../protocol/workers.js';
import type { ProposalSource } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';
import type { Caller } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import { withFencedAcknowledgements } from './acknowledgements.js';
import { AddressRecorder } from './address-recorder.js';
import { CommandDispatcher } from './command-dispatcher.js';
import { Connectivity } from './connectivity.js';
import { Cordons } from './cordons.js';
import { FencingTokenRaiser } from './fencing-token-raiser.js';
import { HeartbeatAuthorizer, type HeartbeatAuthorization } from './heartbeat-authorizer.js';
import { LeaseMonitor } from './lease-monitor.js';
import { MachineReconciler } from './machine-reconciler.js';
import type { PeerReports } from './peer-reports.js';
import { SessionStore } from './session-store.js';
import { TaskOutcomes } from './task-outcomes.js';
import { WorkerCallers } from './worker-callers.js';
import { applyHeartbeat, type WorkerSession } from './worker-session.js';

/** Timing, in milliseconds, and limits. */
export interface WorkerManagerOptions {
  /** Name of this controller. */
  self: string;
  /** Interval at which a worker sends heartbeats. */
  heartbeatIntervalMs: number;
  /** How long a worker keeps its tasks running after the last answer to a heartbeat. */
  leaseMs: number;
  /** Time within which a cancelled job must have stopped. */
  cancellationMs: number;
  /** Maximum number of writes in a transaction. */
  maxWrites: number;
  /** Task outcomes are recorded in one batch when the oldest has waited this long. */
  outcomeBatchingMs: number;
  /** Interval at which unrecorded addresses are recorded in one batch. */
  addressBatchingMs: number;
  /** Timeout of a request to a worker. */
  requestTimeoutMs: number;
}

/** Dependencies of a `WorkerManager`. */
export interface WorkerManagerDependencies {
  state: State;
  domainManager: DomainManager;
  clock: Clock;
  log: Log;
  /** Makes a caller for the worker at an address. */
  callerFor: (address: string) => Caller;
  /** Wakes the commit loop. */
  wake: () => void;
  /** Clock time in milliseconds up to which this controller has all cancellations and claims. */
  acknowledgedUntil: () => number;
  peers: PeerReports;
}

/** With fewer workers that hold a lease than this, their silence does not show that this controller is isolated. */
const MIN_WORKERS_FOR_ISOLATION = 2;

/** Answers the workers' heartbeats, and reconciles the machines of the own domain with the recorded allocations. */
export class WorkerManager {
  private readonly sessions: SessionStore;
  private readonly callers: WorkerCallers;
  private readonly connectivity: Connectivity;
  private readonly outcomes: TaskOutcomes;
  private readonly authorizer: HeartbeatAuthorizer;
  private readonly reconciler: MachineReconciler;
  private readonly dispatcher: CommandDispatcher;
  private readonly leaseMonitor: LeaseMonitor;
  private readonly cordons: Cordons;
  private readonly fencingTokenRaiser: FencingTokenRaiser;
  private readonly addressRecorder: AddressRecorder;

  constructor(
    private readonly options: WorkerManagerOptions,
    private readonly dependencies: WorkerManagerDependencies,
  ) {
    const { state, domainManager, clock, peers } = dependencies;
    this.sessions = new SessionStore(options.self, state, domainManager, clock);
    this.callers = new WorkerCallers((address) => dependencies.callerFor(address));
    this.connectivity = this.makeConnectivity();
    this.outcomes = this.makeTaskOutcomes();
    this.authorizer = new HeartbeatAuthorizer(options, dependencies);
    this.reconciler = new MachineReconciler(state, this.sessions, this.outcomes, peers);
    this.cordons = new Cordons(this.sessions, clock, options.heartbeatIntervalMs);
    this.fencingTokenRaiser = this.makeFencingTokenRaiser();
    this.dispatcher = this.makeDispatcher();
    this.leaseMonitor = this.makeLeaseMonitor();
    this.addressRecorder = this.makeAddressRecorder();
  }

  async handleHeartbeat(body: Body): Promise<Reply> {
    const heartbeat = decodeHeartbeat(body);
    if (!heartbeat) return { status: 400, body: { error: 'not a report' } };
    this.connectivity.noteContact();
    const authorization = await this.authorizer.authorize(heartbeat);
    if (authorization.kind !== 'authorized') return refusal(authorization);
    const session = this.sessions.open(heartbeat.machineId, authorization.fencingToken);
    applyHeartbeat(session, heartbeat, this.dependencies.clock.now());
    const commands = this.reconciler.reconcile(session);
    // The answer may renew the worker's lease, so it counts as contact from when it is sent, even if it gets lost.
    session.lastContactAt = this.dependencies.clock.now();
    // Starts are sent only by /commands, where each of them has a known outcome or a fence.
    const withoutStarts = commands.filter(({ kind }) => kind !== 'start');
    const answered = withFencedAcknowledgements(session, withoutStarts);
    const token = session.tokens.current;
    if (withoutStarts.length < commands.length || !session.fenced)
      this.dispatcher.requestReconcile(session);
    return { status: 200, body: encodeHeartbeatAnswer(token, answered) };
  }

  /** Called when these machines have changed owners or fencing tokens. */
  ownersChanged(machineIds: Iterable<string>): void {
    for (const machineId of machineIds) {
      this.authorizer.ownerChanged(machineId);
      const fencingToken = this.dependencies.domainManager.fencingTokenFor(machineId);
      if (fencingToken === null) {
        this.sessions.delete(machineId);
        this.callers.delete(machineId);
      } else if (this.sessions.get(machineId)?.fencingToken !== fencingToken) {
        // Phase 2 of the paper's failover (see domain/takeover.ts): all machines taken over are contacted at once,
        // under the raised token.
        this.dispatcher.requestReconcile(this.sessions.open(machineId, fencingToken));
      }
    }
  }

  /** Called when the tasks or the recorded allocations of these machines may have changed. */
  reconcileMachines(machineIds: Iterable<string>): void {
    for (const machineId of machineIds) {
      const session = this.sessions.get(machineId);
      if (session) this.dispatcher.requestReconcile(session);
    }
  }

  /** Checks for pauses of this process and for expired leases; called at regular intervals. */
  checkWorkers(): void {
    this.connectivity.detectPause();
    if (this.dependencies.domainManager.isReleased) this.connectivity.probe();
    this.leaseMonitor.checkLeases();
    this.dependencies.wake();
  }

  /** Whether there is no contact to any worker although several workers of the own domain still hold leases. */
  isIsolated(): boolean {
    if (!this.connectivity.isSilent()) return false;
    let workersWithLease = 0;
    for (const session of this.sessions.values())
      if (session.fenced && !session.leaseExpired && this.sessions.isInDomain(session))
        workersWithLease++;
    return workersWithLease >= MIN_WORKERS_FOR_ISOLATION;
  }

  session(machineId: string): WorkerSession | undefined {
    return this.sessions.get(machineId);
  }

  /** Whether tasks may be placed on a machine. */
  isUsable(machineId: string): boolean {
    return this.cordons.isUsable(machineId);
  }

  /** Why a machine is cordoned; undefined if it is not. */
  cordonReason(session: WorkerSession): CordonReason | undefined {
    return this.cordons.reasonFor(session);
  }

  isSilent(session: WorkerSession): boolean {
    return this.cordons.isSilent(session);
  }

  /** Cordoned machines of the own domain, as reported to the peers. */
  cordonedMachines(): string[] {
    return this.cordons.cordonedMachines();
  }

  /** Requeues all tasks recorded on a machine; called when it is proven that none of them still runs. */
  requeueTasksOn(machineId: string): void {
    this.outcomes.requeueAllOn(machineId);
  }

  /** Whether pending outcomes have waited long enough to be committed on their own. */
  outcomesDue(): boolean {
    return this.outcomes.isDue();
  }

  /** Adds the pending outcomes to a transaction; returns a function to call once it is committed. */
  addOutcomes(transaction: TransactionBuilder): () => void {
    const committed = this.outcomes.addTo(transaction);
    return () => {
      for (const machineId of committed()) {
        const session = this.sessions.get(machineId);
        if (!session || session.leaseExpired) continue;
        // Counts the ended tasks as unrecorded from now on, also if a request is in flight.
        this.reconciler.reconcile(session);
        this.dispatcher.requestReconcile(session);
      }
    };
  }

  /** Raising a fencing token to settle an unknown outcome takes precedence over placing new tasks. */
  urgentSources(): ProposalSource[] {
    return [{ name: 'fence', propose: () => this.fencingTokenRaiser.propose() }];
  }

  sources(): ProposalSource[] {
    return [{ name: 'addresses', propose: () => this.addressRecorder.propose() }];
  }

  private makeConnectivity(): Connectivity {
    const { state, clock, domainManager } = this.dependencies;
    const onWorkerReached = (): void => {
      domainManager.workersReachable();
    };
    return new Connectivity(this.options, { state, clock, callers: this.callers, onWorkerReached });
  }

  private makeTaskOutcomes(): TaskOutcomes {
    const { state, clock, domainManager, wake } = this.dependencies;
    return new TaskOutcomes(
      {
        batchingMs: this.options.outcomeBatchingMs,
        retryDelayMs: this.options.heartbeatIntervalMs,
      },
      {
        state,
        clock,
        fencingTokenFor: (machineId) => domainManager.fencingTokenFor(machineId),
        wake,
      },
    );
  }

  private makeFencingTokenRaiser(): FencingTokenRaiser {
    const { state, clock, domainManager } = this.dependencies;
    const { heartbeatIntervalMs, leaseMs, maxWrites } = this.options;
    return new FencingTokenRaiser(
      { heartbeatIntervalMs, rangeCheckMs: leaseMs, maxWrites },
      { state, clock, domainManager, sessions: this.sessions },
    );
  }

  private makeDispatcher(): CommandDispatcher {
    const { clock, log, wake } = this.dependencies;
    const { sessions, reconciler, callers, connectivity, fencingTokenRaiser } = this;
    return new CommandDispatcher(this.options, {
      sessions,
      reconciler,
      callers,
      connectivity,
      clock,
      log,
      onUnknownOutcome: (session) => {
        fencingTokenRaiser.noteUnknownOutcome(session);
        wake();
      },
    });
  }

  private makeLeaseMonitor(): LeaseMonitor {
    const { state, clock, log } = this.dependencies;
    const { sessions, outcomes, dispatcher } = this;
    return new LeaseMonitor(this.options, { state, sessions, outcomes, dispatcher, clock, log });
  }

  private makeAddressRecorder(): AddressRecorder {
    const { state, clock, domainManager } = this.dependencies;
    const { maxWrites, addressBatchingMs: batchingMs } = this.options;
    return new AddressRecorder(
      { maxWrites, batchingMs },
      { state, clock, domainManager, sessions: this.sessions },
    );
  }
}

/** The reply to a heartbeat that this controller may not answer. */
function refusal(authorization: Exclude<HeartbeatAuthorization, { kind: 'authorized' }>): Reply {
  switch (authorization.kind) {
    case 'redirected':
      return { status: 421, body: encodeRedirect(authorization.owner) };
    case 'unsettled':
      return { status: 503, body: { error: 'not settled' } };
  }
}
