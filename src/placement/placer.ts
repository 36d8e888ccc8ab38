/**
 * Places waiting jobs of the shared queue on the machines of this controller's domain: decides when to plan, and keeps
 * the state that is needed from one plan to the next.
 */
import type { Cancel, Clock } from '../clock.js';
import type { Integrity } from '../domain/integrity.js';
import type { DomainManager } from '../domain/manager.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import { waitingCount } from '../model/job-lifecycle.js';
import type { MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/team.js';
import type { Proposal, ProposalSource } from '../store/commit-loop.js';
import { keys } from '../store/records/index.js';
import type { State } from '../store/state.js';
import { maxNewAllocationBytes } from '../store/transaction-limits.js';
import type { WorkerManager } from '../workers/manager.js';
import { CandidateCache } from './candidates.js';
import { GangBorrowing } from './gang-borrowing.js';
import { PlacementPass, type PlacementPassOptions } from './placement-pass.js';
import { SnapshotFactory, type PlanningOptions } from './snapshot.js';
import { Turns } from './turns.js';
import type { Candidate, JobEntry } from './types.js';
import { QueueUsage } from './usage.js';

/**
 * Minimum pause between two plans, as a multiple of the time that the last plan took. Planning blocks the process;
 * without the pause, other work such as renewing the lease would come too late, and the lease would be lost.
 */
const MIN_PAUSE_IN_PLANNING_TIMES = 3;

/** Settings of placement. */
export interface PlacerOptions extends PlacementPassOptions, PlanningOptions {}

/** Parts of the controller that placement works with. */
export interface PlacerDependencies {
  state: State;
  domainManager: DomainManager;
  workerManager: WorkerManager;
  integrity: Integrity;
  metrics: Metrics;
  /** Quotas by team. */
  teams: ReadonlyMap<string, TeamQuota>;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Machines of peers that their owners report as cordoned. */
  cordonedByPeers: () => ReadonlySet<string>;
  clock: Clock;
  log: Log;
  /** Wakes the commit loop. */
  wake: () => void;
}

/** Resources of this controller's domain, and the waiting work. */
interface PlacementSummary {
  machines: number;
  /** Machines that tasks may be placed on. */
  usable: number;
  cpus: number;
  freeCpus: number;
  /** Free CPUs on machines without GPUs. */
  freeCpusWithoutGpus: number;
  jobs: number;
  waitingTasks: number;
}

/** Connects the parts of placement and runs a planning pass when one is due. */
export class Placer {
  /** The machines as placement candidates. */
  readonly candidates: CandidateCache;
  /** Makes snapshots with this controller's settings. */
  readonly snapshots: SnapshotFactory;
  private readonly usage = new QueueUsage();
  private readonly turns: Turns;
  private readonly pass: PlacementPass;
  private isPlanDue = true;
  private plannedAt = -Infinity;
  /** How long the last plan took, in milliseconds. */
  private planningMs = 0;
  /** When to plan again even if nothing has changed. */
  private replan: { at: number; cancel: Cancel } | null = null;

  constructor(
    private readonly options: PlacerOptions,
    private readonly dependencies: PlacerDependencies,
  ) {
    const { self, propagationMs, replacementMs } = options;
    const requestPlan = (): void => {
      this.requestPlan();
    };
    this.candidates = new CandidateCache({ self, ...dependencies });
    this.snapshots = new SnapshotFactory(options, { ...dependencies, usage: this.usage });
    this.turns = new Turns(self, propagationMs);
    const planning = {
      ...dependencies,
      candidates: this.candidates,
      snapshots: this.snapshots,
      requestPlan,
    };
    this.pass = new PlacementPass(options, {
      ...planning,
      usage: this.usage,
      turns: this.turns,
      borrowing: new GangBorrowing(
        {
          self,
          intervalMs: replacementMs,
          maxAllocationBytes: maxNewAllocationBytes(options.limits),
        },
        planning,
      ),
      replanIn: (delayMs) => {
        this.replanIn(delayMs);
      },
    });
  }

  /** Called when machine types have been read; candidates depend on them. */
  machineTypesChanged(): void {
    this.candidates.clear();
    this.requestPlan();
  }

  /** Called when something that a plan depends on has changed. */
  requestPlan(): void {
    this.isPlanDue = true;
  }

  /** The source of proposals that record placements, preemptions and task outcomes. */
  source(): ProposalSource {
    return { name: 'work', propose: () => this.propose() };
  }

  /** Called when a job's record has changed or has been deleted. */
  jobChanged(jobId: string): void {
    const { state, clock } = this.dependencies;
    const job = state.jobs.get(jobId);
    this.usage.update(jobId, job);
    if (job) this.turns.recordChanged(jobId, state.modRevisionOf(keys.job(jobId)), clock.now());
    else this.turns.forget(jobId);
  }

  /** Called when the tasks on these machines have changed. */
  tasksChanged(machineIds: Iterable<string>): void {
    this.candidates.tasksChanged(machineIds);
  }

  /** Called when a machine's record has changed or has been deleted. */
  machineChanged(machineId: string): void {
    this.candidates.machineChanged(machineId);
  }

  /** All jobs with waiting tasks, as recorded. */
  waitingJobs(): JobEntry[] {
    const jobs: JobEntry[] = [];
    for (const jobId of this.usage.waitingJobs) {
      const job = this.dependencies.state.jobs.get(jobId);
      if (job) jobs.push({ jobId, job });
    }
    return jobs;
  }

  /** Resources of this controller's domain and the waiting work, for the log. */
  summary(): PlacementSummary {
    const { state, domainManager } = this.dependencies;
    const { machines } = domainManager.ownDomain();
    const candidates = this.candidates.usableCandidates(machines.keys());
    let waitingTasks = 0;
    for (const { job } of this.waitingJobs()) waitingTasks += waitingCount(job);
    return {
      machines: machines.size,
      usable: candidates.length,
      cpus: roundedSum(candidates, ({ capacity }) => capacity.cpus),
      freeCpus: roundedSum(candidates, ({ free }) => free.cpus),
      freeCpusWithoutGpus: roundedSum(candidates, ({ capacity, free }) =>
        capacity.gpus === 0 ? free.cpus : 0,
      ),
      jobs: state.jobs.size,
      waitingTasks,
    };
  }

  private propose(): Proposal | null {
    const { domainManager, workerManager, integrity, metrics, clock, wake } = this.dependencies;
    const areOutcomesDue = workerManager.outcomesDue();
    const now = clock.now();
    if (!domainManager.isRegistered || (!this.isPlanDue && !areOutcomesDue)) return null;
    // Placements and task outcomes rely on indexes that are derived from the records; nothing is recorded while they
    // are unsound.
    if (!integrity.isSound) {
      metrics.refusals.inc('work');
      return null;
    }
    const pauseMs = this.pauseMs(areOutcomesDue);
    if (now - this.plannedAt < pauseMs) {
      clock.after(pauseMs, wake);
      return null;
    }
    this.isPlanDue = false;
    const proposal = this.pass.run(areOutcomesDue, now);
    this.plannedAt = clock.now();
    this.planningMs = this.plannedAt - now;
    return proposal;
  }

  /** Minimum time between two plans, in milliseconds. Changes in quick succession are handled by one plan. */
  private pauseMs(areOutcomesDue: boolean): number {
    const batchingMs = areOutcomesDue ? 0 : this.options.propagationMs;
    return Math.max(batchingMs, this.planningMs * MIN_PAUSE_IN_PLANNING_TIMES);
  }

  /** Schedules another plan after at most this time; only the earliest scheduled time is kept. */
  private replanIn(delayMs: number): void {
    const { clock, wake } = this.dependencies;
    const at = clock.now() + delayMs;
    if (this.replan && this.replan.at <= at) return;
    this.replan?.cancel();
    const cancel = clock.after(delayMs, () => {
      this.replan = null;
      this.requestPlan();
      wake();
    });
    this.replan = { at, cancel };
  }
}

function roundedSum(
  candidates: readonly Candidate[],
  amountOf: (candidate: Candidate) => number,
): number {
  let sum = 0;
  for (const candidate of candidates) sum += amountOf(candidate);
  return Math.round(sum);
}
