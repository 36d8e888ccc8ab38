/** One planning pass over this controller's domain: placements, task outcomes and preemptions in one transaction. */
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import { placeTasks, waitingCount } from '../model/job-lifecycle.js';
import { MAX_REPORTED_TASKS_BYTES } from '../protocol/heartbeat-size.js';
import type { Proposal } from '../store/commit-loop.js';
import type { State } from '../store/state.js';
import { TransactionBuilder } from '../store/transaction-builder.js';
import { maxNewAllocationBytes, type TransactionLimits } from '../store/transaction-limits.js';
import { compareNames } from '../util/order.js';
import type { WorkerManager } from '../workers/manager.js';
import type { CandidateCache } from './candidates.js';
import type { GangBorrowing } from './gang-borrowing.js';
import { plan } from './plan.js';
import { selectPreemptions } from './preemption.js';
import { fairShareOf } from './quota.js';
import { runningTasksOn } from './running-tasks.js';
import type { SnapshotFactory } from './snapshot.js';
import type { Turns } from './turns.js';
import type { Candidate, JobEntry, Placement, Snapshot } from './types.js';
import type { QueueUsage } from './usage.js';

/** Share of a heartbeat from which on tasks that are no longer recorded take noticeable room. */
const MANY_UNRECORDED_TASKS_SHARE = 0.125;

/** Limits of the state service, and the cluster's typical reaction times. */
export interface PlacementPassOptions {
  /** Name of this controller's host. */
  self: string;
  /** Limits of one pass's transaction. */
  limits: TransactionLimits;
  /** Maximum number of tasks that one pass preempts. */
  maxPreemptedTasks: number;
  /** How long a change usually takes to reach every controller, in milliseconds. */
  propagationMs: number;
  /** How long it usually takes to stop tasks and start others in their place, in milliseconds. */
  replacementMs: number;
}

/** What `PlacementPass` works with. */
export interface PlacementPassDependencies {
  state: State;
  domainManager: DomainManager;
  workerManager: WorkerManager;
  candidates: CandidateCache;
  snapshots: SnapshotFactory;
  usage: QueueUsage;
  turns: Turns;
  borrowing: GangBorrowing;
  clock: Clock;
  log: Log;
  /** Wakes the commit loop. */
  wake: () => void;
  /** Called when something that a plan depends on has changed. */
  requestPlan: () => void;
  /** Schedules another planning pass after at most this time, in milliseconds. */
  replanIn: (delayMs: number) => void;
}

/** The jobs that one pass handles. */
interface PassJobs {
  /** Jobs that this controller may place now. */
  jobs: JobEntry[];
  /**
   * Jobs for which it does not yet preempt tasks or borrow machines, because controllers that come earlier in the job's
   * order may still place them.
   */
  deferred: Set<string>;
}

/** Plans for the waiting jobs and puts the decisions into a transaction. */
export class PlacementPass {
  constructor(
    private readonly options: PlacementPassOptions,
    private readonly dependencies: PlacementPassDependencies,
  ) {}

  /** Plans and returns the decisions as a proposal; null if there is nothing to record. */
  run(areOutcomesDue: boolean, now: number): Proposal | null {
    const { domainManager, workerManager, snapshots, borrowing } = this.dependencies;
    const transaction = this.newTransaction();
    const outcomesRecorded = workerManager.addOutcomes(transaction);
    const candidates = this.ownCandidates(transaction);
    const { jobs, deferred } = this.jobsToPlace(transaction, now);
    const sizeBefore = transaction.size;
    if (candidates.length === 0 || jobs.length === 0)
      return areOutcomesDue ? this.commit(transaction, outcomesRecorded, 0) : null;

    const snapshot = snapshots.create(candidates, jobs, maxNewAllocationBytes(this.options.limits));
    snapshot.remainingQuota = domainManager.quota.remaining();
    const placements = plan(snapshot);
    const placedTasks = this.addPlacements(transaction, placements);
    this.replanAfterAcknowledgements(candidates);
    // From here on the candidates' free resources include those of tasks that are still stopping, so nothing more is
    // placed.
    const placed = new Set(placements.map(({ jobId }) => jobId));
    const unplaced = jobs.filter(({ jobId }) => !placed.has(jobId) && !deferred.has(jobId));
    this.addPreemptions(transaction, snapshot, unplaced);
    this.reportShortfalls(snapshot);

    // Takes precedence over the placements, so that a steady stream of small jobs cannot starve a gang.
    const borrowed = borrowing.propose(unplaced);
    if (borrowed) return borrowed;
    if (transaction.size === sizeBefore && !areOutcomesDue) return null;
    return this.commit(transaction, outcomesRecorded, placedTasks);
  }

  private newTransaction(): TransactionBuilder {
    const { self, limits } = this.options;
    const transaction = new TransactionBuilder(this.dependencies.state, self, limits);
    transaction.require(this.dependencies.domainManager.ownershipCondition());
    return transaction;
  }

  private ownCandidates(transaction: TransactionBuilder): Candidate[] {
    const { domainManager, candidates } = this.dependencies;
    return candidates.usableCandidates(domainManager.ownDomain().machines.keys(), transaction);
  }

  private jobsToPlace(transaction: TransactionBuilder, now: number): PassJobs {
    const { state, usage, turns, replanIn } = this.dependencies;
    const hosts = [...state.liveness.keys()].sort(compareNames);
    const jobs: JobEntry[] = [];
    const deferred = new Set<string>();
    let nextTurnMs = Infinity;
    for (const jobId of usage.waitingJobs) {
      const job = transaction.job(jobId);
      if (!job || waitingCount(job) === 0) continue;
      const { waitMs, position, firstSeenAt } = turns.turnFor(jobId, job, hosts, now);
      if (waitMs > 0) nextTurnMs = Math.min(nextTurnMs, waitMs);
      else jobs.push({ jobId, job });
      if (now - firstSeenAt < position * this.options.replacementMs) deferred.add(jobId);
    }
    if (nextTurnMs < Infinity) replanIn(nextTurnMs);
    return { jobs, deferred };
  }

  /** Adds the placements to the transaction; returns the number of tasks that fit into it. */
  private addPlacements(transaction: TransactionBuilder, placements: readonly Placement[]): number {
    let tasks = 0;
    for (const placement of placements) tasks += this.addPlacement(transaction, placement);
    return tasks;
  }

  /** Adds as many of a job's tasks as fit into the transaction and the records; a gang entirely or not at all. */
  private addPlacement(transaction: TransactionBuilder, { jobId, machineIds }: Placement): number {
    const job = transaction.job(jobId);
    if (!job) return 0;
    for (let count = machineIds.length; count > 0; count = Math.floor(count / 2)) {
      if (job.spec.kind === 'gang' && count < machineIds.length) return 0;
      if (transaction.set(jobId, placeTasks(job, machineIds.slice(0, count)))) return count;
    }
    return 0;
  }

  /**
   * Records tasks on this domain's machines as preempted; the worker manager then lets them save a checkpoint and stop.
   */
  private addPreemptions(
    transaction: TransactionBuilder,
    snapshot: Snapshot,
    unplaced: readonly JobEntry[],
  ): void {
    const { state, log } = this.dependencies;
    const { maxPreemptedTasks } = this.options;
    // The reservations only had to hold back lower priorities while planning.
    snapshot.reservedQuota = undefined;
    const preempting = this.preemptingJobs(transaction, snapshot, unplaced);
    if (preempting.length === 0) return;
    const running = runningTasksOn(
      snapshot.candidates,
      {
        jobsOn: (machineId) => state.jobsByMachine.get(machineId) ?? [],
        jobOf: (jobId) => transaction.job(jobId),
      },
      // One more than may be preempted shows that the tasks of one job on one machine are not enough.
      maxPreemptedTasks + 1,
    );
    const preempted = selectPreemptions(snapshot, preempting, running, maxPreemptedTasks);
    for (const { jobId, task } of preempted) {
      const job = transaction.job(jobId);
      if (!job) continue;
      const preemptedTasks = [...(job.preemptedTasks ?? []), task];
      transaction.set(jobId, { ...job, preemptedTasks });
    }
    if (preempted.length > 0) log.info({ tasks: preempted }, 'tasks preempted');
  }

  /** The unplaced jobs for which tasks might be preempted, with their records as the transaction leaves them. */
  private preemptingJobs(
    transaction: TransactionBuilder,
    snapshot: Snapshot,
    unplaced: readonly JobEntry[],
  ): JobEntry[] {
    const { usage } = this.dependencies;
    const preempting: JobEntry[] = [];
    for (const { jobId } of unplaced) {
      const job = transaction.job(jobId);
      if (!job) continue;
      const { team, priority } = job.spec;
      const mayPreempt =
        usage.hasUsageBelow(priority) ||
        (snapshot.enforcesGuarantees && fairShareOf(snapshot, team, job.spec) <= 1);
      if (mayPreempt) preempting.push({ jobId, job });
    }
    return preempting;
  }

  /**
   * Schedules another plan if workers report many tasks whose end is recorded. They drop them soon, which makes room in
   * their heartbeats without a change of any record.
   */
  private replanAfterAcknowledgements(candidates: readonly Candidate[]): void {
    const { workerManager, replanIn } = this.dependencies;
    const manyBytes = MAX_REPORTED_TASKS_BYTES * MANY_UNRECORDED_TASKS_SHARE;
    const areMany = ({ id }: Candidate): boolean =>
      (workerManager.session(id)?.unrecordedBytes ?? 0) > manyBytes;
    if (candidates.some(areMany)) replanIn(this.options.replacementMs);
  }

  private reportShortfalls({ shortfalls }: Snapshot): void {
    if (!shortfalls) return;
    const { domainManager, clock, wake } = this.dependencies;
    for (const [team, shortfall] of shortfalls) domainManager.quota.noteShortfall(team, shortfall);
    clock.after(this.options.propagationMs, wake);
  }

  /** The proposal for the transaction. Workers are told to start tasks only after it has been committed. */
  private commit(
    transaction: TransactionBuilder,
    outcomesRecorded: () => void,
    tasks: number,
  ): Proposal | null {
    if (transaction.size === 0) return null;
    const { domainManager, log, requestPlan } = this.dependencies;
    return {
      transaction: transaction.build(),
      onSettled: (outcome) => {
        requestPlan();
        if (outcome.kind !== 'done') return;
        outcomesRecorded();
        const { size: writes } = transaction;
        log.debug({ writes, tasks, ...domainManager.decisionContext() }, 'placements recorded');
      },
    };
  }
}
