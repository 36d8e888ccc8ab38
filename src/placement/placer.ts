import { compareNames, turnOf } from '../util/order.js';
import { placeTasks, waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { Machine, MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/team.js';
import { keys } from '../store/records/index.js';
import type { Cancel, Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { Integrity } from '../domain/integrity.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { TransactionBuilder, TXN_BYTES } from '../store/transaction-builder.js';
import type { State } from '../store/state.js';
import type { WorkerManager } from '../workers/manager.js';
import { QueueUsage } from './usage.js';
import { plan, quotaShare, type Candidate, type Placement, type Snapshot } from './plan.js';
import { runningOn, selectPreemptions } from './preempt.js';
import { candidateOf, snapshotOf } from './snapshot.js';

export interface PlacerOptions {
  self: string;
  txnOps: number;
  writeRps: number;
  valueBytes: number;
  /** Zones in which controllers stand. */
  controllerZones: ReadonlySet<string>;
  /** Whether the operators state an aim for guarantees. */
  guarantees: boolean;
  /** How long a change takes to reach every controller, as a rule. */
  spreadMs: number;
  /** How long it takes to stop tasks and start others in their place, as a rule. */
  stopMs: number;
  /** Waiting this long without having begun, a job goes first in its rank. */
  agedMs: number;
  /** The multiples of a deadline that the operators have aims for, smallest first. */
  times: number[];
}

/** Part of a second's puts that one transaction may take. */
const MOST_OF_A_SECOND = 0.6;
/** A job and two parts, with as much again. */
const LEAST_OPS = 6;
/** Times of the last plan that pass before the next. */
const RESTS = 3;
/** Images remembered per machine beyond those in use there. */
const IMAGES_KEPT = 16;
/** A turn in spreads of a change: what is committed at its end reaches the next in time. */
const TURN_SPREADS = 1.5;

/**
 * Takes batches of the shared queue for the free machines of the own domain. For each job the controllers
 * have an order, so that they seldom take from the same one at a time; where they do, the guards decide.
 */
export class Placer {
  private dirty = true;
  private plannedAt = -Infinity;
  /** When to plan again though nothing has changed. */
  private again: { at: number; cancel: Cancel } | null = null;
  /** How long the last plan took. */
  private tookMs = 0;
  private borrowedAt = -Infinity;
  private readonly cached = new Map<string, Set<string>>();
  /** Machines as places, until something about them changes. */
  private readonly candidates = new Map<string, Candidate>();
  private readonly queueUsage = new QueueUsage();
  /** Job -> stamp of its record, and when this process first saw that. */
  private readonly seen = new Map<string, { stamp: number; at: number }>();

  constructor(
    private readonly options: PlacerOptions,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly workerManager: WorkerManager,
    private readonly teams: Map<string, TeamQuota>,
    private readonly machineTypes: () => ReadonlyMap<string, MachineType>,
    /** Machines of peers on which nothing may be placed, by the peers' word. */
    private readonly cordonedByPeers: () => ReadonlySet<string>,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
    private readonly integrity: Integrity,
    private readonly metrics: Metrics,
  ) {}

  /** Machine types have been read: places are made of them. */
  machineTypesChanged(): void {
    this.candidates.clear();
    this.requestPlan();
  }

  /** Something that the plan depends on has changed. */
  requestPlan(): void {
    this.dirty = true;
  }

  source(): ProposalSource {
    return { name: 'work', propose: () => this.propose() };
  }

  /** Notes what a job uses and waits for, and when it changed. */
  noteJob(uid: string): void {
    const job = this.state.jobs.get(uid);
    this.queueUsage.note(uid, job);
    if (!job) {
      this.seen.delete(uid);
      return;
    }
    const stamp = this.state.modRevisionOf(keys.job(uid));
    if (this.seen.get(uid)?.stamp !== stamp) this.seen.set(uid, { stamp, at: this.clock.now() });
  }

  /** The tasks on these machines have changed. */
  noteTasks(boxes: Iterable<string>): void {
    for (const box of boxes) {
      this.candidates.delete(box);
      let images = this.cached.get(box);
      if (!images) this.cached.set(box, (images = new Set()));
      for (const uid of this.state.jobsByMachine.get(box) ?? []) {
        const image = this.state.jobs.get(uid)?.spec.image;
        if (image === undefined) continue;
        images.delete(image);
        images.add(image);
      }
      for (const oldest of images) {
        if (images.size <= IMAGES_KEPT) break;
        images.delete(oldest);
      }
    }
  }

  noteMachine(id: string): void {
    this.candidates.delete(id);
    if (!this.state.machines.has(id)) this.cached.delete(id);
  }

  /** The machine as a place for work, if work may be put there. */
  candidateFor(id: string, transaction?: TransactionBuilder): Candidate | null {
    const box = this.state.machines.get(id);
    const owner = this.state.ownerOf(id);
    const flavor = this.machineTypes().get(box?.machineType ?? '');
    if (!box || !owner || !flavor || box.drainReason !== undefined) return null;
    const good =
      owner.host === this.options.self
        ? this.workerManager.isUsable(id)
        : box.address !== '' &&
          this.state.liveness.has(owner.host) &&
          !this.cordonedByPeers().has(id);
    return good ? this.candidateOf(id, box, flavor, transaction) : null;
  }

  /** Whether its owner holds the machine back: it is silent, sick or about to be taken. */
  isCordoned(id: string): boolean {
    const machine = this.workerManager.session(id);
    return machine && this.domainManager.fencingTokenFor(id) !== null
      ? this.workerManager.cordonReason(machine) !== undefined
      : this.cordonedByPeers().has(id);
  }

  candidateOf(
    id: string,
    box: Machine,
    flavor: MachineType,
    transaction?: TransactionBuilder,
  ): Candidate {
    const on = this.state.jobsByMachine.get(id) ?? [];
    if (transaction?.touched.has(id))
      return candidateOf(id, box, flavor, on, (uid) => transaction.job(uid), this.cached.get(id));
    let spot = this.candidates.get(id);
    if (!spot) {
      spot = candidateOf(
        id,
        box,
        flavor,
        on,
        (uid) => this.state.jobs.get(uid),
        this.cached.get(id),
      );
      this.candidates.set(id, spot);
    }
    return { ...spot, free: { ...spot.free } };
  }

  /** All jobs that wait, as recorded. */
  waitingJobs(): [string, JobRecord][] {
    return [...this.queueUsage.waiting].flatMap((uid) => {
      const job = this.state.jobs.get(uid);
      return job ? [[uid, job] as [string, JobRecord]] : [];
    });
  }

  snapshot(places: Candidate[], jobs: Iterable<[string, JobRecord]>): Snapshot {
    const { controllerZones, guarantees, agedMs, times } = this.options;
    const wall = this.clock.wall();
    return snapshotOf(
      this.state,
      this.teams,
      places,
      jobs,
      this.queueUsage,
      { wall, agedMs, deadlineMultiples: times, controllerZones, enforcesGuarantees: guarantees },
      this.machineTypes(),
    );
  }

  /** What the own domain has and what waits for it, for the log. */
  summary(): object {
    const own = [...this.domainManager.ownDomain().machines.keys()];
    const places = own.flatMap((id) => this.candidateFor(id) ?? []);
    const sum = (of: (place: Candidate) => number): number =>
      Math.round(places.reduce((total, place) => total + of(place), 0));
    let waiting = 0;
    for (const [, job] of this.waitingJobs()) waiting += waitingCount(job);
    return {
      machines: own.length,
      usable: places.length,
      cpus: sum(({ capacity: size }) => size.cpus),
      free: sum(({ free }) => free.cpus),
      freePlain: sum(({ capacity: size, free }) => (size.gpus === 0 ? free.cpus : 0)),
      jobs: this.state.jobs.size,
      waiting,
    };
  }

  /**
   * How long this controller leaves a job to others, in an order that differs from job to job and from one
   * state of it to the next. A turn is as long as a change takes to reach the others. With an array the turn
   * goes round and round: were one that has waited open to all, whoever gets room at the same time would
   * take from the same one. Gangs and services are left to nobody for long: they need what they can get.
   */
  private turnAt(
    uid: string,
    job: JobRecord,
    hosts: string[],
    now: number,
  ): { waitMs: number; turn: number; since: number } {
    const seen = this.seen.get(uid);
    const turn = turnOf(`${uid} ${String(seen?.stamp)}`, hosts, this.options.self);
    const since = seen?.at ?? -Infinity;
    const turnMs = this.options.spreadMs * TURN_SPREADS;
    const round = turnMs * hosts.length;
    const waitMs = since + turn * turnMs - now;
    if (job.spec.kind !== 'array' || waitMs > 0 || since === -Infinity)
      return { waitMs, turn, since };
    const into = -waitMs % round;
    return { waitMs: into < turnMs ? 0 : round - into, turn, since };
  }

  /** Plans again after this time at the latest; one such date is kept. */
  private againIn(ms: number): void {
    const at = this.clock.now() + ms;
    if (this.again && this.again.at <= at) return;
    this.again?.cancel();
    const cancel = this.clock.after(ms, () => {
      this.again = null;
      this.dirty = true;
      this.wake();
    });
    this.again = { at, cancel };
  }

  private propose(): Proposal | null {
    const due = this.workerManager.outcomesDue();
    const now = this.clock.now();
    if (!this.domainManager.isRegistered || (!this.dirty && !due)) return null;
    // What may be placed or recorded as ended rests on what is derived from the records.
    if (!this.integrity.isSound) {
      this.metrics.refusals.inc('work');
      return null;
    }
    // Changes that come thick are planned for in bunches, and planning leaves time for all else: a renewal
    // that is late behind it is a takeover for nothing.
    const rest = Math.max(due ? 0 : this.options.spreadMs, this.tookMs * RESTS);
    if (now - this.plannedAt < rest) {
      this.clock.after(rest, this.wake);
      return null;
    }
    this.dirty = false;
    const made = this.look(due, now);
    this.plannedAt = this.clock.now();
    this.tookMs = this.plannedAt - now;
    return made;
  }

  private look(due: boolean, now: number): Proposal | null {
    const { self, txnOps, writeRps, valueBytes } = this.options;
    // A transaction of a whole second's puts is refused as long as anybody else writes.
    const ops = Math.min(txnOps, Math.max(LEAST_OPS, Math.floor(writeRps * MOST_OF_A_SECOND)));
    const transaction = new TransactionBuilder(this.state, self, {
      maxWrites: ops,
      valueBytes,
      maxBytes: TXN_BYTES,
    });
    transaction.require(this.domainManager.ownershipCondition());
    const ended = this.workerManager.addOutcomes(transaction);
    const places: Candidate[] = [];
    for (const id of this.domainManager.ownDomain().machines.keys()) {
      const spot = this.candidateFor(id, transaction);
      if (spot) places.push(spot);
    }
    const hosts = [...this.state.liveness.keys()].sort(compareNames);
    const jobs: [string, JobRecord][] = [];
    const patient = new Set<string>();
    let later = Infinity;
    for (const uid of this.queueUsage.waiting) {
      const job = transaction.job(uid);
      if (!job || waitingCount(job) === 0) continue;
      const { waitMs, turn, since } = this.turnAt(uid, job, hosts, now);
      if (waitMs > 0) later = Math.min(later, waitMs);
      else jobs.push([uid, job]);
      if (now - since < turn * this.options.stopMs) patient.add(uid);
    }
    if (later < Infinity) this.againIn(later);
    const before = transaction.size;
    if (places.length === 0 || jobs.length === 0)
      return due ? this.commit(transaction, ended, 0) : null;
    const snapshot = this.snapshot(places, jobs);
    snapshot.quota = this.domainManager.quota.remaining();
    const placements = plan(snapshot);
    let tasks = 0;
    for (const { uid, machines: boxes } of placements)
      tasks += this.addPlacement(transaction, uid, boxes);
    delete snapshot.reserved;
    // After this the places show room that is only on its way: nothing more is planned with them.
    const planned = new Set(placements.map(({ uid }) => uid));
    const rest = jobs.flatMap(([uid]) => {
      // What the transaction could not hold of the plan has its room already.
      const job = planned.has(uid) || patient.has(uid) ? undefined : transaction.job(uid);
      return job ? [{ uid, job }] : [];
    });
    this.addStops(transaction, snapshot, rest);
    for (const [team, lack] of snapshot.shortfalls ?? [])
      this.domainManager.quota.noteShortfall(team, lack);
    if (snapshot.shortfalls) this.clock.after(this.options.spreadMs, this.wake);
    // Small work that arrives all the time must not keep a gang from its machines.
    const borrowed = this.borrow(jobs, placements, patient);
    if (borrowed) return borrowed;
    if (transaction.size === before && !due) return null;
    return this.commit(transaction, ended, tasks);
  }

  /** Record before act: a launch is sent only once this has been committed. */
  private commit(
    transaction: TransactionBuilder,
    ended: () => void,
    tasks: number,
  ): Proposal | null {
    if (transaction.size === 0) return null;
    return {
      transaction: transaction.build(),
      settled: (outcome) => {
        this.dirty = true;
        if (outcome.kind !== 'done') return;
        ended();
        const { size: changes } = transaction;
        this.log.debug(
          { changes, tasks, ...this.domainManager.decisionContext() },
          'work recorded',
        );
      },
    };
  }

  /** As many of a job's tasks as the transaction and the records can hold. */
  private addPlacement(transaction: TransactionBuilder, uid: string, boxes: string[]): number {
    const job = transaction.job(uid);
    if (!job) return 0;
    for (let count = boxes.length; count > 0; count = Math.floor(count / 2)) {
      if (job.spec.kind === 'gang' && count < boxes.length) return 0;
      const some = boxes.slice(0, count);
      if (transaction.set(uid, placeTasks(job, some))) return count;
    }
    return 0;
  }

  /** Marks tasks on own machines that are to stop; the worker manager halts them with time to save. */
  private addStops(
    transaction: TransactionBuilder,
    snapshot: Snapshot,
    waiting: Snapshot['jobs'],
  ): void {
    const able = waiting.filter(
      ({ job: { spec: s } }) =>
        this.queueUsage.anyBelow(s.priority) ||
        (snapshot.enforcesGuarantees && quotaShare(snapshot, s.team, s) <= 1),
    );
    if (able.length === 0) return;
    const running = runningOn(
      snapshot.candidates,
      (box) => this.state.jobsByMachine.get(box) ?? [],
      (uid) => transaction.job(uid),
    );
    const stop = selectPreemptions(snapshot, able, running, this.options.txnOps);
    for (const { uid, task } of stop) {
      const job = transaction.job(uid);
      if (job)
        transaction.set(uid, { ...job, preemptedTasks: [...(job.preemptedTasks ?? []), task] });
    }
    if (stop.length > 0) this.log.info({ stop }, 'tasks are to stop for others');
  }

  /**
   * A gang that the own domain cannot hold takes idle machines of peers, under a raised term; the
   * controller whose turn it is does that.
   */
  private borrow(
    jobs: [string, JobRecord][],
    placements: Placement[],
    patient: ReadonlySet<string>,
  ): Proposal | null {
    const placed = new Set(placements.map(({ uid }) => uid));
    const gangs = jobs.filter(
      ([uid, { spec: s }]) =>
        s.kind === 'gang' && s.tasks > 1 && !placed.has(uid) && !patient.has(uid),
    );
    const now = this.clock.now();
    if (gangs.length === 0 || now - this.borrowedAt < this.options.stopMs) return null;
    this.borrowedAt = now;
    const places: Candidate[] = [];
    for (const id of this.state.machines.keys()) {
      const spot = this.candidateFor(id);
      if (spot) places.push(spot);
    }
    for (const { machines: boxes } of plan(this.snapshot(places, gangs))) {
      for (const [host, domain] of this.state.domains) {
        if (host === this.options.self) continue;
        const wanted = [...new Set(boxes)].filter((box) => domain.machines.has(box));
        if (wanted.length === 0 || !this.integrity.mayLend(host)) continue;
        const proposal = this.domainManager.takeMachines(host, domain, wanted, true);
        return {
          ...proposal,
          settled: (outcome) => {
            this.dirty = true;
            proposal.settled?.(outcome);
          },
        };
      }
    }
    return null;
  }
}
