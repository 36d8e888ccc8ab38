/** The plan: which waiting tasks go to which machines. A pure function of a snapshot. */
import { fits, isAllowedOn, reserveResources } from '../model/fit.js';
import { waitingCount } from '../model/job-lifecycle.js';
import { RESOURCE_EPSILON } from '../model/resources.js';
import { CandidateChooser } from './candidate-choice.js';
import { compareJobs, isAgedArray, oldestAgedArray, urgencyOf } from './job-order.js';
import { PRIORITIES, priorityIndex } from './priority.js';
import { addUsage, fairShareOf, reserveQuota } from './quota.js';
import { isLexicographicallyLess } from './sort-key.js';
import type { Candidate, JobEntry, Placement, Snapshot } from './types.js';
import { AGED } from './urgency.js';

/**
 * Serves the teams in turn: by priority, then teams within their guarantee, then the team that uses the least of
 * its fair share. A job that cannot be placed is passed over, so that others may use what it cannot (backfilling).
 */
export function plan(snapshot: Snapshot): Placement[] {
  return new Planner(snapshot).run();
}

/** A job in its team's queue, with the number of its tasks that still wait. */
interface QueuedJob extends JobEntry {
  waiting: number;
}

interface TeamTurn {
  team: string;
  queue: QueuedJob[];
  key: readonly number[];
}

class Planner {
  /** The aged array that goes before all priorities. */
  private readonly oldestAged: string | undefined;
  /** Candidates with room for the smallest task: most of a fleet that is full has no room at all. */
  private readonly candidates: Candidate[];
  private readonly chooser: CandidateChooser;
  private readonly queues = new Map<string, QueuedJob[]>();
  private readonly machinesByJob = new Map<string, string[]>();

  constructor(private readonly snapshot: Snapshot) {
    const waiting = waitingJobs(snapshot);
    this.oldestAged = oldestAgedArray(snapshot, waiting);
    waiting.sort((a, b) => this.precedence(b) - this.precedence(a) || compareJobs(snapshot, a, b));
    const smallestCpus = waiting.reduce((cpus, { job }) => Math.min(cpus, job.spec.cpus), Infinity);
    this.candidates = snapshot.candidates.filter(
      (candidate) => candidate.free.cpus > smallestCpus - RESOURCE_EPSILON,
    );
    this.chooser = new CandidateChooser(snapshot, this.candidates);
    for (const entry of waiting) {
      const queue = this.queues.get(entry.job.spec.team);
      if (queue) queue.push(entry);
      else this.queues.set(entry.job.spec.team, [entry]);
    }
  }

  run(): Placement[] {
    for (;;) {
      const turn = this.nextTurn();
      const head = turn?.queue[0];
      if (!turn || !head) break;
      if (!this.serve(head)) turn.queue.shift();
    }
    return [...this.machinesByJob].map(([jobId, machineIds]) => ({ jobId, machineIds }));
  }

  /** 1 for the job that goes before all priorities, 0 for any other. */
  private precedence({ jobId }: JobEntry): number {
    return jobId === this.oldestAged ? 1 : 0;
  }

  /** The team whose turn it is; null once all queues are empty. */
  private nextTurn(): TeamTurn | null {
    let next: TeamTurn | null = null;
    for (const [team, queue] of this.queues) {
      const head = queue[0];
      if (!head) continue;
      const key = this.turnKey(team, head);
      if (!next || comesBefore(team, key, next)) next = { team, queue, key };
    }
    return next;
  }

  private turnKey(team: string, head: QueuedJob): number[] {
    const { spec } = head.job;
    const fairShare = fairShareOf(this.snapshot, team, spec);
    return [
      priorityIndex(spec.priority) - PRIORITIES.length * this.precedence(head),
      fairShare <= 1 + RESOURCE_EPSILON ? 0 : 1,
      urgencyOf(this.snapshot, head.jobId),
      fairShare,
    ];
  }

  /** Places the next tasks of the job at the head of a queue; false if the job is done with. */
  private serve(head: QueuedJob): boolean {
    const startsWithOneTask = isAgedArray(this.snapshot, head);
    const waiting = startsWithOneTask ? 1 : head.waiting;
    const placedOn = this.machinesByJob.get(head.jobId) ?? [];
    const machineIds = this.chooser.choose(head.job, placedOn, waiting);
    if (!machineIds) {
      this.reserveFor(head);
      return false;
    }
    addUsage(this.snapshot, head.job.spec, machineIds.length);
    this.machinesByJob.set(head.jobId, [...placedOn, ...machineIds]);
    head.waiting -= machineIds.length;
    return head.waiting > 0 && !startsWithOneTask;
  }

  /**
   * Keeps what lower priorities would take from a gang or service forever: its part of the team's limit, and, for a
   * gang that has aged, the machines that could hold its tasks already.
   */
  private reserveFor({ jobId, job, waiting }: QueuedJob): void {
    const { spec } = job;
    if (spec.kind === 'array') return;
    if (spec.kind === 'gang' && urgencyOf(this.snapshot, jobId) === AGED) {
      const open = this.candidates.filter(
        (candidate) => isAllowedOn(spec, candidate) && fits(spec, candidate.free),
      );
      for (const candidate of open.slice(0, waiting)) reserveResources(spec, candidate.free);
    }
    reserveQuota(this.snapshot, spec, waiting, this.snapshot.usageBelowPriority(job));
  }
}

/** Jobs with tasks that wait and may be placed now. */
function waitingJobs(snapshot: Snapshot): QueuedJob[] {
  return snapshot.jobs
    .map(({ jobId, job }) => ({ jobId, job, waiting: waitingCount(job) }))
    .filter(({ job, waiting }) => waiting > 0 && (job.notBefore ?? 0) <= snapshot.wallClockMs);
}

function comesBefore(team: string, key: readonly number[], other: TeamTurn): boolean {
  if (isLexicographicallyLess(key, other.key)) return true;
  return !isLexicographicallyLess(other.key, key) && team < other.team;
}
