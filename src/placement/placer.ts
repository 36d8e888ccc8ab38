/**
 * Places waiting jobs of the shared queue on the machines of the own domain: decides when to plan, and keeps what plans
 * need between them.
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
import type { WorkerManager } from '../workers/manager.js';
import { CandidateCache } from './candidates.js';
import { GangBorrowing } from './gang-borrowing.js';
import { PlacementPass, type PlacementPassOptions } from './placement-pass.js';
import { SnapshotFactory, type PlanningOptions } from './snapshot.js';
import { Turns } from './turns.js';
import type { Candidate, JobEntry } from './types.js';
import { QueueUsage } from './usage.js';

/** A pause as long as so many plans leaves time for all else: a lease that is renewed late is lost. */
const PAUSE_PLANS = 3;

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
  /** Machines of peers that their owners say are cordoned. */
  cordonedByPeers: () => ReadonlySet<string>;
  clock: Clock;
  log: Log;
  /** Wakes the commit loop. */
  wake: () => void;
}

/** What the own domain has and what waits for it. */
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

/** Puts the parts of placement together and runs a planning pass when one is due. */
export class Placer {
  /** Machines as candidates. */
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
  /** When to plan again though nothing has changed. */
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
      borrowing: new GangBorrowing({ self, intervalMs: replacementMs }, planning),
      replanIn: (delayMs) => {
        this.replanIn(delayMs);
      },
    });
  }

  /** Machine types have been read: candidates are made of them. */
  machineTypesChanged(): void {
    this.candidates.clear();
    this.requestPlan();
  }

  /** Something that a plan depends on has changed. */
  requestPlan(): void {
    this.isPlanDue = true;
  }

  /** Records placements, preemptions and outcomes of tasks. */
  source(): ProposalSource {
    return { name: 'work', propose: () => this.propose() };
  }

  /** A job's record has changed or gone. */
  noteJob(jobId: string): void {
    const { state, clock } = this.dependencies;
    const job = state.jobs.get(jobId);
    this.usage.update(jobId, job);
    if (job) this.turns.recordChanged(jobId, state.modRevisionOf(keys.job(jobId)), clock.now());
    else this.turns.forget(jobId);
  }

  /** The tasks on these machines have changed. */
  noteTasks(machineIds: Iterable<string>): void {
    this.candidates.tasksChanged(machineIds);
  }

  /** A machine's record has changed or gone. */
  noteMachine(machineId: string): void {
    this.candidates.machineChanged(machineId);
  }

  /** All jobs that wait, as recorded. */
  waitingJobs(): JobEntry[] {
    const jobs: JobEntry[] = [];
    for (const jobId of this.usage.waitingJobs) {
      const job = this.dependencies.state.jobs.get(jobId);
      if (job) jobs.push({ jobId, job });
    }
    return jobs;
  }

  /** What the own domain has and what waits for it, for the log. */
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
    // What may be placed or recorded as ended rests on indexes that are derived from the records.
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

  /** Least time between two plans, in milliseconds. Changes that come in quick succession are planned for together. */
  private pauseMs(areOutcomesDue: boolean): number {
    const gatheringMs = areOutcomesDue ? 0 : this.options.propagationMs;
    return Math.max(gatheringMs, this.planningMs * PAUSE_PLANS);
  }

  /** Plans again after this time at the latest; only the earliest such time is kept. */
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
