/** Takes the workers' reports and sends them their commands. */
import { allocationsOn, type TaskOutcome } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { CordonReason } from '../model/machine.js';
import type { Heartbeat, WorkerCommand } from '../model/worker.js';
import { encodeFencingToken, keys } from '../store/records/index.js';
import { within, type Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';
import type { State } from '../store/state.js';
import type { Caller } from '../wire/client.js';
import { NoAnswer, NotSent } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import { AddressRecorder } from './address-recorder.js';
import { Connectivity } from './connectivity.js';
import { EndedTasks } from './ended-tasks.js';
import { reconcileMachine, indexTasks, taskKey } from './orders.js';
import {
  decodeHeartbeat,
  encodeCommandRequest,
  encodeHeartbeatAnswer,
  encodeRedirect,
  splitTaskName,
} from '../protocol/workers.js';
import { newSession, type WorkerSession } from './worker-session.js';

export interface WorkerManagerOptions {
  self: string;
  reportMs: number;
  leaseMs: number;
  cancelMs: number;
  txnOps: number;
  /** Ends of tasks are recorded together when the first has waited this long. */
  gatherMs: number;
  /** Addresses that are not recorded yet are recorded together this often. */
  addressMs: number;
  /** How long a request to a worker may take. */
  callMs: number;
}

const MAX_ORDERS = 200;
/** Stopped tasks that a machine goes on showing before its term is raised. */
const MOST_STOPPED = 16;
/** Clocks drift by up to 0.05% each; a lease is taken as over only after this much more. */
const DRIFT = 1.002;

/** Takes the workers' reports, and makes the machines of the own domain do what is recorded. */
export class WorkerManager {
  private readonly sessions = new Map<string, WorkerSession>();
  private readonly callers = new Map<string, { address: string; caller: Caller }>();
  private readonly ended: EndedTasks;
  private readonly connectivity: Connectivity;
  private readonly addresses: AddressRecorder;
  /** Machines that have come into doubt; those that are out of it again are sorted out when it is asked. */
  private readonly unknownOutcomes = new Set<WorkerSession>();
  private burdenedAt = -Infinity;
  constructor(
    private readonly options: WorkerManagerOptions,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly callerFor: (address: string) => Caller,
    private readonly wake: () => void,
    /** Steady time up to which all cancellations and claims are known here. */
    private readonly acknowledgedUntil: () => number,
    /** What peers say of jobs and machines before the replica does. */
    private readonly peers: {
      isCancelled(uid: string): boolean;
      hasLeftDomain(box: string): boolean;
    },
  ) {
    this.ended = new EndedTasks(
      { gatherMs: options.gatherMs, pauseMs: options.reportMs },
      state,
      clock,
      (session) => domainManager.fencingTokenFor(session),
      wake,
    );
    this.connectivity = new Connectivity(
      options,
      state,
      clock,
      (id, address) => this.callerTo(id, address),
      () => {
        domainManager.workersReachable();
      },
    );
    this.addresses = new AddressRecorder(
      { txnOps: options.txnOps, everyMs: options.addressMs },
      state,
      domainManager,
      clock,
    );
  }

  /** A machine that may be given work: seen under the present term, alive, and nothing in doubt. */
  isUsable(id: string): boolean {
    const machine = this.sessions.get(id);
    return (
      machine !== undefined &&
      machine.fencingToken === this.domainManager.fencingTokenFor(id) &&
      machine.fenced &&
      !machine.leaseExpired &&
      machine.unknownOutcome === null &&
      this.cordonReason(machine) === undefined &&
      this.clock.now() - machine.lastContactAt < this.options.reportMs * 2.5
    );
  }

  machine(id: string): WorkerSession | undefined {
    return this.sessions.get(id);
  }

  async handleHeartbeat(body: Body): Promise<Reply> {
    const report = decodeHeartbeat(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    this.connectivity.heard();
    const term = await this.authorize(report);
    if (typeof term !== 'number') return term;
    const machine = this.sessionFor(report.machineId, term);
    const orders = this.applyHeartbeat(machine, report) ?? this.reconcile(machine);
    // The difference counts this answer as an answer even if it gets lost: it may renew the lease.
    machine.lastContactAt = this.clock.now();
    // Launches go by /commands only, where every one of them has a known outcome or a fence.
    const told = orders.filter((order) => order.kind !== 'start');
    if (told.length < orders.length || !machine.fenced) this.requestReconcile(machine);
    return { status: 200, body: encodeHeartbeatAnswer(term, told) };
  }

  /** Whether this process may answer for the machine; if not, the reply that says so. */
  private async authorize(report: Heartbeat): Promise<number | Reply> {
    const refuse: Reply = { status: 503, body: { error: 'not settled' } };
    if (!this.domainManager.isRegistered || !this.knowsCancellations()) return refuse;
    let owner = this.state.ownerOf(report.machineId);
    if (!owner) {
      const {
        machineId: box,
        address,
        machineType: flavor,
        zone: site,
        spot: reclaimable,
        fencingToken: epoch,
      } = report;
      this.domainManager.unowned.requestClaim(box, {
        address,
        machineType: flavor,
        zone: site,
        spot: reclaimable,
        fencingToken: epoch,
        reportedAt: this.clock.wall(),
      });
      await within(this.clock, this.options.reportMs, this.untilOwned(box), undefined);
      owner = this.state.ownerOf(box);
    }
    if (owner && owner.host !== this.options.self)
      return this.state.liveness.has(owner.host)
        ? { status: 421, body: encodeRedirect(owner.host) }
        : refuse;
    const term = this.domainManager.fencingTokenFor(report.machineId);
    // An heir that cannot reach the worker counts its lease from the claim on.
    if (term === null || this.peers.hasLeftDomain(report.machineId)) return refuse;
    // The worker has seen a higher term: somebody else owns it by now. It would drop a 200 from here,
    // and stay with this node while its lease runs out.
    if (report.fencingToken > term) return { status: 421, body: encodeRedirect() };
    return term;
  }

  /**
   * A controller that no longer hears of cancellations must stop keeping tasks alive early enough that
   * their leases end within the time that a cancellation has.
   */
  private knowsCancellations(): boolean {
    const age = this.clock.now() - this.acknowledgedUntil();
    return age < (this.options.cancelMs - this.options.leaseMs * DRIFT) * 0.85;
  }

  private readonly ownedWaiters = new Map<string, (() => void)[]>();

  private untilOwned(box: string): Promise<void> {
    return new Promise((resolve) => {
      const list = this.ownedWaiters.get(box);
      if (list) list.push(resolve);
      else this.ownedWaiters.set(box, [resolve]);
    });
  }

  /** Called when these machines have changed hands or come under another term. */
  ownersChanged(boxes: Iterable<string>): void {
    for (const box of boxes) {
      if (this.state.ownerOf(box)) {
        for (const resolve of this.ownedWaiters.get(box) ?? []) resolve();
        this.ownedWaiters.delete(box);
      }
      const term = this.domainManager.fencingTokenFor(box);
      if (term === null) {
        this.sessions.delete(box);
        this.callers.delete(box);
      } else if (this.sessions.get(box)?.fencingToken !== term) {
        // Phase 2 of the paper: all machines taken over are asked at once, under the raised term.
        this.requestReconcile(this.sessionFor(box, term));
      }
    }
  }

  /** Called when the tasks of these machines, or what is wanted of them, may have changed. */
  reconcileMachines(boxes: Iterable<string>): void {
    for (const box of boxes) {
      const machine = this.sessions.get(box);
      if (machine) this.requestReconcile(machine);
    }
  }

  private sessionFor(id: string, term: number): WorkerSession {
    let machine = this.sessions.get(id);
    if (!machine) {
      machine = newSession(
        {
          machineId: id,
          address: this.state.machines.get(id)?.address ?? '',
          fencingToken: term,
          ownedAtRevision: this.ownedAsOf(id),
        },
        this.clock.now(),
      );
      this.sessions.set(id, machine);
    } else if (machine.fencingToken !== term) {
      machine.fencingToken = term;
      machine.ownedSince = this.clock.now();
      machine.ownedAtRevision = this.ownedAsOf(id);
      machine.fenced = false;
      machine.leaseExpired = false;
    }
    return machine;
  }

  /** Generation in which the machine came under this process's present term, or a later one. */
  private ownedAsOf(id: string): number {
    const head = this.state.modRevisionOf(keys.domain(this.options.self));
    return Math.max(head, this.state.modRevisionOf(this.state.ownerOf(id)?.shard ?? ''));
  }

  /** Takes up a report; returns the orders that follow from it, or null if it is older than what is known. */
  private applyHeartbeat(machine: WorkerSession, report: Heartbeat): WorkerCommand[] | null {
    if (
      report.workerIncarnation < machine.workerIncarnation ||
      (report.workerIncarnation === machine.workerIncarnation &&
        report.sequence <= machine.sequence)
    )
      return null; // It was held up on the way.
    machine.address = report.address;
    if (report.workerIncarnation > machine.workerIncarnation) machine.startedTasks.clear();
    machine.workerIncarnation = report.workerIncarnation;
    machine.sequence = report.sequence;
    machine.tasks = indexTasks(report.tasks);
    machine.lastContactAt = this.clock.now();
    machine.leaseExpired = false;
    machine.failedRequests = 0;
    machine.preemptionAnnounced = typeof report.preemptionNoticeSeconds === 'number';
    if (report.fencingToken === machine.fencingToken) {
      if (!machine.fenced) machine.startedTasks.clear();
      machine.fenced = true;
    }
    if (report.fencingToken < machine.fencingToken) machine.fenced = false;
    const doubt = machine.unknownOutcome;
    if (
      doubt &&
      (report.fencingToken > doubt.fencingToken ||
        report.workerIncarnation > doubt.workerIncarnation)
    )
      machine.unknownOutcome = null;
    return this.reconcile(machine);
  }

  /** Notes what the picture proves; returns the orders that would close the difference. */
  private reconcile(machine: WorkerSession): WorkerCommand[] {
    if (
      !machine.fenced ||
      machine.leaseExpired ||
      machine.fencingToken !== this.domainManager.fencingTokenFor(machine.machineId)
    )
      return [];
    // The replica may still miss what the former owner recorded before it lost the machine.
    if (this.state.replica.revision < machine.ownedAtRevision) return [];
    const jobs: [string, JobRecord][] = [];
    for (const uid of this.state.jobsByMachine.get(machine.machineId) ?? []) {
      const job = this.state.jobs.get(uid);
      // The users' gap: refused by the store, an owner cannot read a cancellation that a peer has confirmed.
      // What is called off is halted at a peer's word; that needs no commit and is safe whoever owns it.
      if (job) jobs.push([uid, this.peers.isCancelled(uid) ? { ...job, cancelled: true } : job]);
    }
    const { commands: orders, outcomes: endings } = reconcileMachine(
      machine.machineId,
      machine.tasks,
      jobs,
      (key) => machine.startedTasks.has(key),
    );
    // What the worker is told to forget needs no mark any more; kept, the marks would grow with every launch.
    for (const { kind: verb, taskName: task, attempt: attempt } of orders)
      if (verb === 'acknowledge') machine.startedTasks.delete(taskKey(task, attempt));
    for (const [uid, list] of endings) {
      for (const ending of list) {
        const shown = machine.tasks.has(
          `${uid}/${String(ending.stay.task)}#${String(ending.stay.attempt)}`,
        );
        // Absence proves nothing while a launch may still be executed.
        if (!shown && (machine.unknownOutcome || machine.requestInFlight)) continue;
        this.ended.add(uid, ending.stay, ending.end);
        if (ending.end === 'error') machine.failedJobs.add(uid);
        if (ending.end === 'done') machine.failedJobs.clear();
      }
    }
    // A stay that is proved over must not begin again before that is committed: the commit would free
    // the task for another machine while it runs here.
    return orders
      .filter((order) => order.kind !== 'start' || !this.isEnded(machine.machineId, order))
      .slice(0, MAX_ORDERS);
  }

  private isEnded(box: string, order: WorkerCommand): boolean {
    const { jobId: uid, task } = splitTaskName(order.taskName);
    return this.ended.has(uid, { machine: box, task, attempt: order.attempt });
  }

  /** Sends the machine its orders, one request at a time. */
  requestReconcile(machine: WorkerSession): void {
    if (machine.requestInFlight) {
      machine.requestPending = true;
      return;
    }
    if (machine.retryAt > this.clock.now()) return;
    const { address } = machine;
    if (address === '') return;
    let orders: WorkerCommand[] = [];
    if (machine.fenced) {
      orders = this.reconcile(machine);
      if (machine.unknownOutcome) orders = orders.filter((order) => order.kind !== 'start');
      // What may be forgotten can wait for the next answer to a report: a request costs more than it is worth.
      if (orders.every(({ kind: verb }) => verb === 'acknowledge')) return;
    }
    for (const { kind: verb, taskName: task, attempt: attempt } of orders)
      if (verb === 'start') machine.startedTasks.add(taskKey(task, attempt));
    machine.requestInFlight = true;
    void this.command(machine, address, orders).finally(() => {
      machine.requestInFlight = false;
      const again = machine.requestPending || !machine.fenced;
      machine.requestPending = false;
      // An order that changes nothing must not be sent without end.
      const wait = machine.failedRequests > 0 ? this.options.reportMs * machine.failedRequests : 0;
      if (wait > 0) machine.retryAt = this.clock.now() + wait;
      if (again && this.sessions.get(machine.machineId) === machine)
        this.clock.after(wait, () => {
          this.requestReconcile(machine);
        });
    });
  }

  private async command(
    machine: WorkerSession,
    address: string,
    orders: WorkerCommand[],
  ): Promise<void> {
    const { fencingToken: term, workerIncarnation: tenure } = machine;
    try {
      const { status, body } = await this.callerTo(
        machine.machineId,
        address,
      )({
        method: 'POST',
        path: '/commands',
        body: encodeCommandRequest({
          fencingToken: term,
          workerIncarnation: tenure,
          commands: orders,
        }),
        timeoutMs: this.options.callMs,
      });
      const report = decodeHeartbeat(body);
      if (!report || report.machineId !== machine.machineId || (status !== 200 && status !== 409))
        throw new NoAnswer(`commands: ${String(status)}`);
      this.connectivity.heard();
      if (this.sessions.get(machine.machineId) !== machine) return;
      machine.requestInFlight = false;
      this.applyHeartbeat(machine, report);
      if (status === 409) {
        machine.failedRequests++;
        // The first request to a machine does not know its tenure; now it does.
        if (report.workerIncarnation !== tenure) machine.failedRequests = 0;
        machine.requestPending = true;
      }
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      this.log.debug({ box: machine.machineId, err: error.message }, 'no answer from worker');
      machine.failedRequests = Math.min(4, machine.failedRequests + 1);
      if (error instanceof NotSent) return;
      if (orders.some((order) => order.kind === 'start')) {
        machine.unknownOutcome = { fencingToken: term, workerIncarnation: tenure };
        this.unknownOutcomes.add(machine);
        this.wake();
      }
    }
  }

  private callerTo(id: string, address: string): Caller {
    const known = this.callers.get(id);
    if (known?.address === address) return known.caller;
    const caller = this.callerFor(address);
    this.callers.set(id, { address, caller });
    return caller;
  }

  /** No worker is heard any more, though several own ones had been. */
  isIsolated(): boolean {
    if (!this.connectivity.isSilent()) return false;
    let heard = 0;
    for (const machine of this.sessions.values())
      if (
        machine.fenced &&
        !machine.leaseExpired &&
        this.domainManager.fencingTokenFor(machine.machineId) !== null
      )
        heard++;
    return heard >= 2;
  }

  /** Regular look at all machines: leases that have certainly run out, and holds. */
  tick(): void {
    const now = this.clock.now();
    this.connectivity.tick();
    if (this.domainManager.isReleased) this.connectivity.probe();
    for (const machine of this.sessions.values()) {
      const term = this.domainManager.fencingTokenFor(machine.machineId);
      if (term !== machine.fencingToken || machine.leaseExpired) continue;
      if (!machine.fenced) {
        this.requestReconcile(machine);
        // Nothing was heard under this term. Whoever answered this worker before stops in time for a
        // cancellation; after that its lease is over too.
        // One that has never reported is still booting: nothing can be on it.
        if (machine.address === '' && !this.state.jobsByMachine.has(machine.machineId)) continue;
        if (now - machine.ownedSince > this.options.cancelMs * DRIFT + this.options.reportMs)
          this.expireLease(machine);
      } else if (
        now - machine.lastContactAt >
        this.options.leaseMs * DRIFT + this.options.reportMs / 4
      ) {
        // Only this process answers its reports under this term, and has not since: the lease is over,
        // and any command still on its way carries a tenure that has ended.
        this.expireLease(machine);
      } else if (machine.failedRequests > 0) this.requestReconcile(machine);
    }
    this.wake();
  }

  private expireLease(machine: WorkerSession): void {
    machine.leaseExpired = true;
    machine.tasks = new Map();
    machine.unknownOutcome = null;
    this.log.info({ box: machine.machineId }, 'lease of a worker has run out');
    this.clear(machine.machineId, 'back');
  }

  /** Everything recorded on this machine is proved to be gone. */
  clear(box: string, end: TaskOutcome): void {
    for (const uid of this.state.jobsByMachine.get(box) ?? []) {
      const job = this.state.jobs.get(uid);
      if (job) for (const stay of allocationsOn(job, box)) this.ended.add(uid, stay, end);
    }
  }

  /** Raising a term that ends a doubt goes before new work. */
  urgentSources(): ProposalSource[] {
    return [{ name: 'fence', propose: () => this.proposeFence() }];
  }

  sources(): ProposalSource[] {
    return [{ name: 'addresses', propose: () => this.addresses.propose(this.sessions.values()) }];
  }

  /** Whether ends have waited long enough to be recorded even if nothing else is. */
  outcomesDue(): boolean {
    return this.ended.due();
  }

  /** Takes the ends found so far into a transaction; returns what to do once it is done. */
  addOutcomes(transaction: TransactionBuilder): () => void {
    const recorded = this.ended.addTo(transaction);
    return () => {
      for (const box of recorded()) {
        const machine = this.sessions.get(box);
        if (machine && !machine.leaseExpired) this.requestReconcile(machine);
      }
    };
  }

  /** A machine with a launch in doubt gets a raised term once it is heard again; older commands are then void. */
  private proposeFence(): Proposal | null {
    const term = this.state.fencingToken + 1;
    for (const machine of this.unknownOutcomes)
      if (!machine.unknownOutcome || this.sessions.get(machine.machineId) !== machine)
        this.unknownOutcomes.delete(machine);
    const doubtful = [...this.unknownOutcomes, ...this.overloadedWithStoppedTasks()].filter(
      (machine) =>
        (!machine.unknownOutcome || machine.unknownOutcome.fencingToken === machine.fencingToken) &&
        this.domainManager.fencingTokenFor(machine.machineId) === machine.fencingToken &&
        this.clock.now() - machine.lastContactAt < this.options.reportMs,
    );
    if (doubtful.length === 0) return null;
    const set = new Map(doubtful.map((machine) => [machine.machineId, term]));
    const { conditions: guards, writes: apply } = this.domainManager.changeMachines({ set });
    return {
      transaction: {
        conditions: [
          ...guards,
          { key: keys.fencingToken, modRevision: this.state.modRevisionOf(keys.fencingToken) },
        ],
        writes: [...apply, { put: keys.fencingToken, value: encodeFencingToken(term) }],
      },
    };
  }

  /** Machines that show more stopped tasks than they should: under a raised term, they may forget them. */
  private overloadedWithStoppedTasks(): WorkerSession[] {
    const now = this.clock.now();
    if (now - this.burdenedAt < this.options.leaseMs) return [];
    this.burdenedAt = now;
    return [...this.sessions.values()].filter(({ tasks }) => {
      let stopped = 0;
      for (const { phase, exitReason: cause } of tasks.values()) {
        // What it has not forgotten keeps another attempt of the same task away.
        if (cause === 'in_use') return true;
        if (phase === 'exited' && cause !== 'done') stopped++;
      }
      return stopped > MOST_STOPPED;
    });
  }

  /** Own machines that nothing may be placed on, for the peers to know. */
  cordoned(): string[] {
    const held: string[] = [];
    for (const machine of this.sessions.values())
      if (
        this.domainManager.fencingTokenFor(machine.machineId) !== null &&
        machine.fenced &&
        this.cordonReason(machine)
      )
        held.push(machine.machineId);
    return held;
  }

  /** Why nothing may be placed on a machine. */
  cordonReason(machine: WorkerSession): CordonReason | undefined {
    if (machine.preemptionAnnounced) return 'warned';
    // One job that fails may be at fault itself; several that fail one after the other point to the machine.
    if (machine.failedJobs.size >= 2) return 'sick';
    return this.isSilent(machine) ? 'silent' : undefined;
  }

  isSilent(machine: WorkerSession): boolean {
    return (
      machine.leaseExpired || this.clock.now() - machine.lastContactAt > this.options.reportMs * 3
    );
  }
}
