/** Planning: assigns waiting tasks to machines. A pure function of a snapshot. */
import { fits, isAllowedOn, reserveResources } from '../model/fit.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { CandidateChooser } from './candidate-choice.js';
import { compareJobs, isAgedArray, oldestAgedArray, urgencyOf } from './job-order.js';
import { PlanBudget } from './plan-budget.js';
import { PRIORITIES, priorityIndex } from './priority.js';
import { QueuedJob } from './queued-job.js';
import { addUsage, fairShareOf, reserveQuota } from './quota.js';
import { isLexicographicallyLess } from './sort-key.js';
import type { Candidate, JobEntry, Placement, Snapshot } from './types.js';
import { AGED } from './urgency.js';

/**
 * Places tasks of one team after another. The next team is the one whose first job has the highest priority; among
 * equal ones, teams within their guarantee come first, then the more urgent deadline class, then the team that uses the
 * smallest part of its fair share. A job that cannot be placed is skipped, so that other jobs can use the resources
 * (backfilling).
 */
export function plan(snapshot: Snapshot): Placement[] {
  return new Planner(snapshot).run();
}

interface TeamQueue {
  team: string;
  queue: QueuedJob[];
  key: readonly number[];
}

class Planner {
  /** The aged array that is placed before jobs of all priorities. */
  private readonly oldestAged: string | undefined;
  /** Candidates with enough free CPUs for the smallest task; on a full fleet this excludes most machines. */
  private readonly candidates: Candidate[];
  private readonly chooser: CandidateChooser;
  private readonly queues = new Map<string, QueuedJob[]>();
  private readonly placed = new Set<QueuedJob>();
  private readonly budget: PlanBudget;

  constructor(private readonly snapshot: Snapshot) {
    const waiting = waitingJobs(snapshot);
    this.oldestAged = oldestAgedArray(snapshot, waiting);
    waiting.sort((a, b) => this.precedence(b) - this.precedence(a) || compareJobs(snapshot, a, b));
    const smallestCpus = waiting.reduce((cpus, { job }) => Math.min(cpus, job.spec.cpus), Infinity);
    this.candidates = snapshot.candidates.filter(
      (candidate) => candidate.free.cpus > smallestCpus - RESOURCE_EPSILON,
    );
    this.chooser = new CandidateChooser(snapshot, this.candidates);
    this.budget = new PlanBudget(snapshot.maxAllocationBytes ?? Infinity, this.candidates.length);
    for (const entry of waiting) {
      const queue = this.queues.get(entry.job.spec.team);
      if (queue) queue.push(entry);
      else this.queues.set(entry.job.spec.team, [entry]);
    }
  }

  run(): Placement[] {
    for (;;) {
      const next = this.nextTeam();
      const head = next?.queue[0];
      if (!next || !head) break;
      if (!this.placeNextTasks(head)) next.queue.shift();
    }
    return [...this.placed].map(({ jobId, machineIds }) => ({ jobId, machineIds }));
  }

  /** 1 for the job that is placed before all priorities, 0 for any other. */
  private precedence({ jobId }: JobEntry): number {
    return jobId === this.oldestAged ? 1 : 0;
  }

  /** The team to place tasks for next; null once all queues are empty. */
  private nextTeam(): TeamQueue | null {
    let next: TeamQueue | null = null;
    for (const [team, queue] of this.queues) {
      const head = queue[0];
      if (!head) continue;
      const key = this.teamKey(team, head);
      if (!next || comesBefore(team, key, next)) next = { team, queue, key };
    }
    return next;
  }

  private teamKey(team: string, head: QueuedJob): number[] {
    const { spec } = head.job;
    const fairShare = fairShareOf(this.snapshot, team, spec);
    return [
      priorityIndex(spec.priority) - PRIORITIES.length * this.precedence(head),
      fairShare <= 1 + RESOURCE_EPSILON ? 0 : 1,
      urgencyOf(this.snapshot, head.jobId),
      fairShare,
    ];
  }

  /** Places the next tasks of the job at the head of a queue; false if no more of it is placed in this plan. */
  private placeNextTasks(head: QueuedJob): boolean {
    const maxTasks = this.budget.tasksFor(head);
    if (maxTasks === 0) return false;
    const placesOneTask = isAgedArray(this.snapshot, head);
    const machineIds = this.chooser.choose(head, placesOneTask ? 1 : maxTasks);
    if (!machineIds) {
      this.reserveFor(head);
      return false;
    }
    addUsage(this.snapshot, head.job.spec, machineIds.length);
    this.placed.add(head);
    this.budget.take(head, machineIds.length);
    head.place(machineIds, this.snapshot);
    return head.waiting > 0 && !placesOneTask;
  }

  /**
   * Holds back resources for a gang or service that could not be placed, because lower priorities might otherwise take
   * them forever: its part of the team's limit and, for an aged gang, the machines that could already hold its tasks.
   */
  private reserveFor({ jobId, job, size, waiting }: QueuedJob): void {
    const { spec } = job;
    if (spec.kind === 'array') return;
    if (spec.kind === 'gang' && urgencyOf(this.snapshot, jobId) === AGED) {
      const suitable = this.candidates.filter(
        (candidate) => isAllowedOn(spec, candidate) && fits(size, candidate.free),
      );
      for (const candidate of suitable.slice(0, waiting)) reserveResources(size, candidate.free);
    }
    reserveQuota(this.snapshot, spec, waiting, this.snapshot.usageBelowPriority(job));
  }
}

/** Jobs with waiting tasks that may be placed now. */
function waitingJobs(snapshot: Snapshot): QueuedJob[] {
  return snapshot.jobs
    .map(({ jobId, job }) => new QueuedJob(jobId, job, snapshot))
    .filter(({ job, waiting }) => waiting > 0 && (job.notBefore ?? 0) <= snapshot.wallClockMs);
}

function comesBefore(team: string, key: readonly number[], other: TeamQueue): boolean {
  if (isLexicographicallyLess(key, other.key)) return true;
  return !isLexicographicallyLess(other.key, key) && team < other.team;
}
