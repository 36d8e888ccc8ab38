/** Takes the workers' reports and sends them their commands. */
import { within, type Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import { allocationsOn, type TaskOutcome } from '../jobs/life.js';
import type { Log } from '../log.js';
import type { Proposal, Source } from '../store/commit-loop.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';
import { keys, type CordonReason, type JobRecord } from '../store/records.js';
import type { State } from '../store/state.js';
import type { Caller } from '../wire/client.js';
import { NoAnswer, NotSent } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import { AddressRecorder } from './address-recorder.js';
import { Connectivity } from './connectivity.js';
import { EndedTasks } from './ended-tasks.js';
import { difference, indexTasks, taskKey, type WorkerCommand } from './orders.js';
import { parseHeartbeat, splitTask, type Heartbeat } from './report.js';
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
  private readonly machines = new Map<string, WorkerSession>();
  private readonly callers = new Map<string, { address: string; caller: Caller }>();
  private readonly ended: EndedTasks;
  private readonly connectivity: Connectivity;
  private readonly addresses: AddressRecorder;
  /** Machines that have come into doubt; those that are out of it again are sorted out when it is asked. */
  private readonly doubtful = new Set<WorkerSession>();
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
    private readonly knownUntil: () => number,
    /** What peers say of jobs and machines before the replica does. */
    private readonly peers: { isCancelled(uid: string): boolean; isLost(box: string): boolean },
  ) {
    this.ended = new EndedTasks(
      { gatherMs: options.gatherMs, pauseMs: options.reportMs },
      state,
      clock,
      (machine) => domainManager.termFor(machine),
      wake,
    );
    this.connectivity = new Connectivity(
      options,
      state,
      clock,
      (id, address) => this.callerTo(id, address),
      () => {
        domainManager.reachable();
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
  usable(id: string): boolean {
    const machine = this.machines.get(id);
    return (
      machine !== undefined &&
      machine.term === this.domainManager.termFor(id) &&
      machine.fenced &&
      !machine.leaseExpired &&
      machine.unknownOutcome === null &&
      this.holdOf(machine) === undefined &&
      this.clock.now() - machine.heardAt < this.options.reportMs * 2.5
    );
  }

  machine(id: string): WorkerSession | undefined {
    return this.machines.get(id);
  }

  async checkin(body: Body): Promise<Reply> {
    const report = parseHeartbeat(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    this.connectivity.heard();
    const term = await this.authorize(report);
    if (typeof term !== 'number') return term;
    const machine = this.own(report.box, term);
    const orders = this.applyHeartbeat(machine, report) ?? this.reconcile(machine);
    // The difference counts this answer as an answer even if it gets lost: it may renew the lease.
    machine.heardAt = this.clock.now();
    // Launches go by /commands only, where every one of them has a known outcome or a fence.
    const told = orders.filter((order) => order.verb !== 'launch');
    if (told.length < orders.length || !machine.fenced) this.requestReconcile(machine);
    return { status: 200, body: { epoch: term, orders: told } };
  }

  /** Whether this process may answer for the machine; if not, the reply that says so. */
  private async authorize(report: Heartbeat): Promise<number | Reply> {
    const refuse: Reply = { status: 503, body: { error: 'not settled' } };
    if (!this.domainManager.registered || !this.knowsCancellations()) return refuse;
    let owner = this.state.ownerOf(report.box);
    if (!owner) {
      const { box, address, flavor, site, reclaimable, epoch } = report;
      this.domainManager.unowned.want(box, {
        address,
        flavor,
        site,
        reclaimable,
        epoch,
        at: this.clock.wall(),
      });
      await within(this.clock, this.options.reportMs, this.untilOwned(box), undefined);
      owner = this.state.ownerOf(box);
    }
    if (owner && owner.host !== this.options.self)
      return this.state.liveness.has(owner.host)
        ? { status: 421, body: { steward: owner.host } }
        : refuse;
    const term = this.domainManager.termFor(report.box);
    // An heir that cannot reach the worker counts its lease from the claim on.
    if (term === null || this.peers.isLost(report.box)) return refuse;
    // The worker has seen a higher term: somebody else owns it by now. It would drop a 200 from here,
    // and stay with this node while its lease runs out.
    if (report.epoch > term) return { status: 421, body: {} };
    return term;
  }

  /**
   * A controller that no longer hears of cancellations must stop keeping tasks alive early enough that
   * their leases end within the time that a cancellation has.
   */
  private knowsCancellations(): boolean {
    const age = this.clock.now() - this.knownUntil();
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
      const term = this.domainManager.termFor(box);
      if (term === null) {
        this.machines.delete(box);
        this.callers.delete(box);
      } else if (this.machines.get(box)?.term !== term) {
        // Phase 2 of the paper: all machines taken over are asked at once, under the raised term.
        this.requestReconcile(this.own(box, term));
      }
    }
  }

  /** Called when the tasks of these machines, or what is wanted of them, may have changed. */
  reconcileMachines(boxes: Iterable<string>): void {
    for (const box of boxes) {
      const machine = this.machines.get(box);
      if (machine) this.requestReconcile(machine);
    }
  }

  private own(id: string, term: number): WorkerSession {
    let machine = this.machines.get(id);
    if (!machine) {
      machine = newSession(
        {
          id,
          address: this.state.machines.get(id)?.address ?? '',
          term,
          asOf: this.ownedAsOf(id),
        },
        this.clock.now(),
      );
      this.machines.set(id, machine);
    } else if (machine.term !== term) {
      machine.term = term;
      machine.since = this.clock.now();
      machine.asOf = this.ownedAsOf(id);
      machine.fenced = false;
      machine.leaseExpired = false;
    }
    return machine;
  }

  /** Generation in which the machine came under this process's present term, or a later one. */
  private ownedAsOf(id: string): number {
    const head = this.state.stampOf(keys.domain(this.options.self));
    return Math.max(head, this.state.stampOf(this.state.ownerOf(id)?.shard ?? ''));
  }

  /** Takes up a report; returns the orders that follow from it, or null if it is older than what is known. */
  private applyHeartbeat(machine: WorkerSession, report: Heartbeat): WorkerCommand[] | null {
    if (
      report.tenure < machine.tenure ||
      (report.tenure === machine.tenure && report.tick <= machine.tick)
    )
      return null; // It was held up on the way.
    machine.address = report.address;
    if (report.tenure > machine.tenure) machine.launched.clear();
    machine.tenure = report.tenure;
    machine.tick = report.tick;
    machine.tasks = indexTasks(report.tasks);
    machine.heardAt = this.clock.now();
    machine.leaseExpired = false;
    machine.failedCalls = 0;
    machine.warned = typeof report.warning_s === 'number';
    if (report.epoch === machine.term) {
      if (!machine.fenced) machine.launched.clear();
      machine.fenced = true;
    }
    if (report.epoch < machine.term) machine.fenced = false;
    const doubt = machine.unknownOutcome;
    if (doubt && (report.epoch > doubt.term || report.tenure > doubt.tenure))
      machine.unknownOutcome = null;
    return this.reconcile(machine);
  }

  /** Notes what the picture proves; returns the orders that would close the difference. */
  private reconcile(machine: WorkerSession): WorkerCommand[] {
    if (
      !machine.fenced ||
      machine.leaseExpired ||
      machine.term !== this.domainManager.termFor(machine.id)
    )
      return [];
    // The replica may still miss what the former owner recorded before it lost the machine.
    if (this.state.replica.generation < machine.asOf) return [];
    const jobs: [string, JobRecord][] = [];
    for (const uid of this.state.jobsByMachine.get(machine.id) ?? []) {
      const job = this.state.jobs.get(uid);
      // The users' gap: refused by the store, an owner cannot read a cancellation that a peer has confirmed.
      // What is called off is halted at a peer's word; that needs no commit and is safe whoever owns it.
      if (job) jobs.push([uid, this.peers.isCancelled(uid) ? { ...job, cancelled: true } : job]);
    }
    const { orders, endings } = difference(machine.id, machine.tasks, jobs, (key) =>
      machine.launched.has(key),
    );
    // What the worker is told to forget needs no mark any more; kept, the marks would grow with every launch.
    for (const { verb, task, try: attempt } of orders)
      if (verb === 'reap') machine.launched.delete(taskKey(task, attempt));
    for (const [uid, list] of endings) {
      for (const ending of list) {
        const shown = machine.tasks.has(
          `${uid}/${String(ending.stay.task)}#${String(ending.stay.attempt)}`,
        );
        // Absence proves nothing while a launch may still be executed.
        if (!shown && (machine.unknownOutcome || machine.calling)) continue;
        this.ended.add(uid, ending.stay, ending.end);
        if (ending.end === 'error') machine.errors.add(uid);
        if (ending.end === 'done') machine.errors.clear();
      }
    }
    // A stay that is proved over must not begin again before that is committed: the commit would free
    // the task for another machine while it runs here.
    return orders
      .filter((order) => order.verb !== 'launch' || !this.isEnded(machine.id, order))
      .slice(0, MAX_ORDERS);
  }

  private isEnded(box: string, order: WorkerCommand): boolean {
    const { uid, task } = splitTask(order.task);
    return this.ended.has(uid, { machine: box, task, attempt: order.try });
  }

  /** Sends the machine its orders, one request at a time. */
  requestReconcile(machine: WorkerSession): void {
    if (machine.calling) {
      machine.again = true;
      return;
    }
    if (machine.retryAt > this.clock.now()) return;
    const { address } = machine;
    if (address === '') return;
    let orders: WorkerCommand[] = [];
    if (machine.fenced) {
      orders = this.reconcile(machine);
      if (machine.unknownOutcome) orders = orders.filter((order) => order.verb !== 'launch');
      // What may be forgotten can wait for the next answer to a report: a request costs more than it is worth.
      if (orders.every(({ verb }) => verb === 'reap')) return;
    }
    for (const { verb, task, try: attempt } of orders)
      if (verb === 'launch') machine.launched.add(taskKey(task, attempt));
    machine.calling = true;
    void this.command(machine, address, orders).finally(() => {
      machine.calling = false;
      const again = machine.again || !machine.fenced;
      machine.again = false;
      // An order that changes nothing must not be sent without end.
      const wait = machine.failedCalls > 0 ? this.options.reportMs * machine.failedCalls : 0;
      if (wait > 0) machine.retryAt = this.clock.now() + wait;
      if (again && this.machines.get(machine.id) === machine)
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
    const { term, tenure } = machine;
    try {
      const { status, body } = await this.callerTo(
        machine.id,
        address,
      )({
        method: 'POST',
        path: '/commands',
        body: { epoch: term, tenure, orders },
        timeoutMs: this.options.callMs,
      });
      const report = parseHeartbeat(body);
      if (!report || report.box !== machine.id || (status !== 200 && status !== 409))
        throw new NoAnswer(`commands: ${String(status)}`);
      this.connectivity.heard();
      if (this.machines.get(machine.id) !== machine) return;
      machine.calling = false;
      this.applyHeartbeat(machine, report);
      if (status === 409) {
        machine.failedCalls++;
        // The first request to a machine does not know its tenure; now it does.
        if (report.tenure !== tenure) machine.failedCalls = 0;
        machine.again = true;
      }
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      this.log.debug({ box: machine.id, err: error.message }, 'no answer from worker');
      machine.failedCalls = Math.min(4, machine.failedCalls + 1);
      if (error instanceof NotSent) return;
      if (orders.some((order) => order.verb === 'launch')) {
        machine.unknownOutcome = { term, tenure };
        this.doubtful.add(machine);
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
  cutOff(): boolean {
    if (!this.connectivity.silent()) return false;
    let heard = 0;
    for (const machine of this.machines.values())
      if (
        machine.fenced &&
        !machine.leaseExpired &&
        this.domainManager.termFor(machine.id) !== null
      )
        heard++;
    return heard >= 2;
  }

  /** Regular look at all machines: leases that have certainly run out, and holds. */
  tick(): void {
    const now = this.clock.now();
    this.connectivity.tick();
    if (this.domainManager.steppedDown) this.connectivity.probe();
    for (const machine of this.machines.values()) {
      const term = this.domainManager.termFor(machine.id);
      if (term !== machine.term || machine.leaseExpired) continue;
      if (!machine.fenced) {
        this.requestReconcile(machine);
        // Nothing was heard under this term. Whoever answered this worker before stops in time for a
        // cancellation; after that its lease is over too.
        // One that has never reported is still booting: nothing can be on it.
        if (machine.address === '' && !this.state.jobsByMachine.has(machine.id)) continue;
        if (now - machine.since > this.options.cancelMs * DRIFT + this.options.reportMs)
          this.lapse(machine);
      } else if (now - machine.heardAt > this.options.leaseMs * DRIFT + this.options.reportMs / 4) {
        // Only this process answers its reports under this term, and has not since: the lease is over,
        // and any command still on its way carries a tenure that has ended.
        this.lapse(machine);
      } else if (machine.failedCalls > 0) this.requestReconcile(machine);
    }
    this.wake();
  }

  private lapse(machine: WorkerSession): void {
    machine.leaseExpired = true;
    machine.tasks = new Map();
    machine.unknownOutcome = null;
    this.log.info({ box: machine.id }, 'lease of a worker has run out');
    this.clear(machine.id, 'back');
  }

  /** Everything recorded on this machine is proved to be gone. */
  clear(box: string, end: TaskOutcome): void {
    for (const uid of this.state.jobsByMachine.get(box) ?? []) {
      const job = this.state.jobs.get(uid);
      if (job) for (const stay of allocationsOn(job, box)) this.ended.add(uid, stay, end);
    }
  }

  /** Raising a term that ends a doubt goes before new work. */
  urgent(): Source[] {
    return [{ name: 'fence', propose: () => this.proposeFence() }];
  }

  sources(): Source[] {
    return [{ name: 'addresses', propose: () => this.addresses.propose(this.machines.values()) }];
  }

  /** Whether ends have waited long enough to be recorded even if nothing else is. */
  endingsDue(): boolean {
    return this.ended.due();
  }

  /** Takes the ends found so far into a transaction; returns what to do once it is done. */
  addEndings(transaction: TransactionBuilder): () => void {
    const recorded = this.ended.addTo(transaction);
    return () => {
      for (const box of recorded()) {
        const machine = this.machines.get(box);
        if (machine && !machine.leaseExpired) this.requestReconcile(machine);
      }
    };
  }

  /** A machine with a launch in doubt gets a raised term once it is heard again; older commands are then void. */
  private proposeFence(): Proposal | null {
    const term = this.state.term + 1;
    for (const machine of this.doubtful)
      if (!machine.unknownOutcome || this.machines.get(machine.id) !== machine)
        this.doubtful.delete(machine);
    const doubtful = [...this.doubtful, ...this.burdened()].filter(
      (machine) =>
        (!machine.unknownOutcome || machine.unknownOutcome.term === machine.term) &&
        this.domainManager.termFor(machine.id) === machine.term &&
        this.clock.now() - machine.heardAt < this.options.reportMs,
    );
    if (doubtful.length === 0) return null;
    const set = new Map(doubtful.map((machine) => [machine.id, term]));
    const { guards, apply } = this.domainManager.change({ set });
    return {
      txn: {
        guards: [...guards, { key: keys.term, stamp: this.state.stampOf(keys.term) }],
        apply: [...apply, { put: keys.term, value: { t: term } }],
      },
    };
  }

  /** Machines that show more stopped tasks than they should: under a raised term, they may forget them. */
  private burdened(): WorkerSession[] {
    const now = this.clock.now();
    if (now - this.burdenedAt < this.options.leaseMs) return [];
    this.burdenedAt = now;
    return [...this.machines.values()].filter(({ tasks }) => {
      let stopped = 0;
      for (const { phase, cause } of tasks.values()) {
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
    for (const machine of this.machines.values())
      if (this.domainManager.termFor(machine.id) !== null && machine.fenced && this.holdOf(machine))
        held.push(machine.id);
    return held;
  }

  /** Why nothing may be placed on a machine. */
  holdOf(machine: WorkerSession): CordonReason | undefined {
    if (machine.warned) return 'warned';
    // One job that fails may be at fault itself; several that fail one after the other point to the machine.
    if (machine.errors.size >= 2) return 'sick';
    return this.silent(machine) ? 'silent' : undefined;
  }

  silent(machine: WorkerSession): boolean {
    return machine.leaseExpired || this.clock.now() - machine.heardAt > this.options.reportMs * 3;
  }
}
