/** Judges a simulated or real cluster by what users and workers observe, against the rules of the protocol. */
import type { JobSpec } from '../../src/model/job.js';
import {
  machinesWithRoom,
  mayStartOn,
  type AvailableMachine,
  type MachineTraits,
} from './available-machines.js';

/** Faults over, an unfinished job about which no question was answered for this long counts as forgotten. */
const FORGOTTEN_MS = 75_000;
/** Faults over, no job waits for this long while a suitable machine has room and its team is under its limit. */
const WAIT_MS = 90_000;
/** The largest jobs of a class, too, start within this time. */
const LARGEST_MS = 240_000;
/** Rounding errors of sums; any task uses far more. */
const EPSILON = 1e-6;

interface QuotaUse {
  cpus: number;
  gpus: number;
}

export interface CheckerLimits {
  /** Quota limit of each team. */
  teams: Map<string, QuotaUse>;
  /** Time within which all tasks of a cancelled job must have stopped. */
  cancelMs: number;
}

/** A task on a machine. */
export interface RunningTask {
  jobId: string;
  taskIndex: number;
  machineId: string;
}

/** What a user was answered; status 0: nothing. */
export interface UserAnswer {
  status: number;
  phase: string | null;
}

/** Answers by which a job is accepted or known, and those by which it is not. */
const ACCEPTED: readonly number[] = [200, 201];
const UNKNOWN_OR_INVALID: readonly number[] = [404, 400, 422];

const taskName = ({ jobId, taskIndex }: RunningTask): string => `${jobId}/${String(taskIndex)}`;

const reservationName = (task: RunningTask, attempt: number): string =>
  `${task.machineId} ${taskName(task)}#${String(attempt)}`;

const isFinal = (phase: string | null): phase is 'done' | 'cancelled' =>
  phase === 'done' || phase === 'cancelled';

/** Watches a cluster and notes every broken rule of the protocol. */
export class Checker {
  readonly violations: string[] = [];
  /** When the last injected fault is over. */
  faultsEndAt = 0;
  /** Job -> when a user was first told that it is cancelled. */
  readonly cancelledAt = new Map<string, number>();
  /** Starts after a user was told that the job is cancelled: how long after. */
  readonly startsAfterCancel: number[] = [];
  /** Every start, in order. */
  readonly starts: { machineId: string; jobId: string; atMs: number }[] = [];
  private readonly jobs = new Map<string, JobSpec>();
  private readonly submittedAt = new Map<string, number>();
  /** Job -> when a user was first told that it is accepted. */
  private readonly acceptedAt = new Map<string, number>();
  /** Job -> the phase that a user was told last, and when. */
  private readonly lastPhases = new Map<string, string>();
  private readonly lastAnswerAt = new Map<string, number>();
  /** Job -> the final state that some controller told first, and when. */
  private readonly finalStates = new Map<string, { phase: string; at: number }>();
  private readonly cancelRequests = new Set<string>();
  /** Jobs that can never run or lack a field: none may be accepted. */
  private readonly invalidJobs = new Set<string>();
  private readonly reportedForgotten = new Set<string>();
  private readonly runningTasks = new Map<string, RunningTask>();
  private readonly completedTasks = new Map<string, Set<number>>();
  /** What occupies machines from the launch on: images being fetched count, unreachable machines too. */
  private readonly reservations = new Map<string, RunningTask>();
  /** Teams over their limit now, what is being fetched counted. */
  private readonly teamsOverQuota = new Set<string>();
  /** Job -> machine -> since when the job has waited though that machine has room for it. */
  private readonly waitingSince = new Map<string, Map<string, number>>();
  private readonly traits = new Map<string, MachineTraits>();

  constructor(private readonly limits: CheckerLimits) {}

  jobSubmitted(jobId: string, spec: JobSpec, now = 0): void {
    this.jobs.set(jobId, spec);
    this.submittedAt.set(jobId, now);
  }

  /** A submission that no controller may accept. */
  invalidJobSubmitted(jobId: string): void {
    this.invalidJobs.add(jobId);
  }

  cancelRequested(jobId: string): void {
    this.cancelRequests.add(jobId);
  }

  /**
   * A user was answered. What was asked before a final state was told may get an older answer after it, but never
   * another final state.
   */
  userAnswered(jobId: string, answer: UserAnswer, now: number, askedAt: number = now): void {
    const { status, phase } = answer;
    if (ACCEPTED.includes(status)) {
      this.checkAcceptance(jobId, now);
      this.checkFinality(jobId, phase, now, askedAt);
      this.checkReason(jobId, phase, now);
      this.noteAnswer(jobId, phase, now);
    } else if (UNKNOWN_OR_INVALID.includes(status)) {
      const isKnown = askedAt >= (this.acceptedAt.get(jobId) ?? Infinity);
      if (isKnown) this.note('forgotten', `${jobId}: ${String(status)}`, now);
    }
  }

  /** A worker has taken up a start command: the task occupies resources before its image is there too. */
  taskLaunched(task: RunningTask, attempt: number, now: number): void {
    this.reservations.set(reservationName(task, attempt), task);
    const team = this.jobs.get(task.jobId)?.team;
    if (team === undefined) return;
    const isOver = this.isOverQuota(team, this.useOf(team, this.reservations.values()));
    if (isOver && !this.teamsOverQuota.has(team))
      this.note(
        'quota',
        `${team} with what is being fetched, by ${task.jobId} on ${task.machineId}`,
        now,
      );
    if (isOver) this.teamsOverQuota.add(team);
    else this.teamsOverQuota.delete(team);
  }

  /** The task occupies nothing on its machine any more. */
  taskReleased(task: RunningTask, attempt: number): void {
    this.reservations.delete(reservationName(task, attempt));
  }

  /** What occupies machines now, for the reader of a finding. */
  reservationNames(): string[] {
    return [...this.reservations.keys()].sort();
  }

  taskStarted(task: RunningTask, traits: MachineTraits, now: number): void {
    const { jobId, machineId } = task;
    const name = taskName(task);
    this.starts.push({ machineId, jobId, atMs: now });
    const spec = this.jobs.get(jobId);
    if (!spec) {
      this.note('invented', `${name} starts`, now);
      return;
    }
    const others = this.tasksOf(jobId);
    for (const other of others)
      if (other.taskIndex === task.taskIndex && other.machineId !== machineId)
        this.note('ran_twice', `${name} on ${machineId} and ${other.machineId}`, now);
    this.checkStartAfterCancel(task, now);
    const otherZones = this.zonesOf(others);
    this.traits.set(machineId, traits);
    if (!mayStartOn(spec, traits, otherZones))
      this.note('wrong_place', `${name} on ${machineId}`, now);
    this.runningTasks.set(`${machineId} ${name}`, task);
    this.checkQuota(spec.team, now);
  }

  taskEnded(task: RunningTask, completed: boolean): void {
    this.runningTasks.delete(`${task.machineId} ${taskName(task)}`);
    if (!completed) return;
    const done = this.completedTasks.get(task.jobId) ?? new Set();
    done.add(task.taskIndex);
    this.completedTasks.set(task.jobId, done);
  }

  /** Tasks on machines now. */
  running(): readonly RunningTask[] {
    return [...this.runningTasks.values()];
  }

  /** Checks the cluster as a whole, at any time. */
  check(now: number, machines: readonly AvailableMachine[] = []): void {
    this.checkForgotten(now);
    if (now >= this.faultsEndAt) this.checkWaiting(now, machines);
    for (const task of this.runningTasks.values())
      if (this.isPastCancelDeadline(task.jobId, now))
        this.note('ran_cancelled', `${taskName(task)} still on ${task.machineId}`, now);
  }

  /** Largest jobs of a class that started later than they should, or have not although it is time. */
  lateLargestJobs(now: number): string[] {
    const largest = this.largestByClass();
    const isLate = (jobId: string, spec: JobSpec): boolean => {
      if (spec.tasks !== largest.get(spec.jobClass) || this.cancelRequests.has(jobId)) return false;
      if (!this.lastPhases.has(jobId)) return false;
      const startedAt = this.starts.find((start) => start.jobId === jobId)?.atMs ?? now;
      return startedAt - (this.submittedAt.get(jobId) ?? 0) > LARGEST_MS;
    };
    return [...this.jobs].filter(([jobId, spec]) => isLate(jobId, spec)).map(([jobId]) => jobId);
  }

  /** Classes, teams and largest jobs of a class of which less than half have started. */
  starvedGroups(): string[] {
    const started = new Set(this.starts.map(({ jobId }) => jobId));
    const groups = new Map<string, string[]>();
    const largest = this.largestByClass();
    for (const [jobId, { jobClass, team, tasks }] of this.jobs) {
      if (this.cancelRequests.has(jobId) || !this.lastPhases.has(jobId)) continue;
      const names = [`class ${jobClass}`, `team ${team}`];
      if (tasks === largest.get(jobClass)) names.push(`largest of ${jobClass}`);
      for (const name of names) groups.set(name, [...(groups.get(name) ?? []), jobId]);
    }
    return [...groups]
      .filter(([, jobIds]) => jobIds.filter((id) => started.has(id)).length * 2 < jobIds.length)
      .map(([name]) => name);
  }

  /** The run is over: it shows something only if work was done. */
  finish(): void {
    if (this.jobs.size > 0 && this.starts.length === 0)
      this.note('nothing_ran', 'no task started', 0);
  }

  private note(rule: string, what: string, now: number): void {
    this.violations.push(`${rule} at ${String(Math.round(now))}: ${what}`);
  }

  private tasksOf(jobId: string): RunningTask[] {
    return [...this.runningTasks.values()].filter((task) => task.jobId === jobId);
  }

  private zonesOf(tasks: readonly RunningTask[]): string[] {
    return tasks.map(({ machineId }) => this.traits.get(machineId)?.zone ?? '');
  }

  private checkAcceptance(jobId: string, now: number): void {
    if (this.invalidJobs.has(jobId)) this.note('accepted_wrong', jobId, now);
    else if (!this.jobs.has(jobId)) this.note('invented', jobId, now);
  }

  private noteAnswer(jobId: string, phase: string | null, now: number): void {
    this.lastPhases.set(jobId, this.finalStates.get(jobId)?.phase ?? phase ?? 'pending');
    this.lastAnswerAt.set(jobId, now);
    if (!this.acceptedAt.has(jobId)) this.acceptedAt.set(jobId, now);
    if (phase === 'cancelled' && !this.cancelledAt.has(jobId)) this.cancelledAt.set(jobId, now);
  }

  /** A final state stays as it was first told. */
  private checkFinality(jobId: string, phase: string | null, now: number, askedAt: number): void {
    const known = this.finalStates.get(jobId);
    if (known && phase !== known.phase && (isFinal(phase) || askedAt >= known.at))
      this.note('went_back', `${jobId}: ${known.phase}, then ${String(phase)}`, now);
    if (isFinal(phase) && !known) this.finalStates.set(jobId, { phase, at: now });
  }

  /** A job is cancelled only if a user asked for it, and done only if all its tasks completed. */
  private checkReason(jobId: string, phase: string | null, now: number): void {
    if (phase === 'cancelled' && !this.cancelRequests.has(jobId))
      this.note('went_back', `${jobId}: cancelled without being asked`, now);
    const completed = this.completedTasks.get(jobId)?.size ?? 0;
    if (phase === 'done' && completed < (this.jobs.get(jobId)?.tasks ?? 0))
      this.note('not_done', jobId, now);
  }

  private isPastCancelDeadline(jobId: string, now: number): boolean {
    const cancelledAt = this.cancelledAt.get(jobId);
    return cancelledAt !== undefined && now > cancelledAt + this.limits.cancelMs;
  }

  private checkStartAfterCancel(task: RunningTask, now: number): void {
    const cancelledAt = this.cancelledAt.get(task.jobId);
    if (cancelledAt !== undefined) this.startsAfterCancel.push(now - cancelledAt);
    if (this.isPastCancelDeadline(task.jobId, now))
      this.note('ran_cancelled', `${taskName(task)} starts`, now);
  }

  private checkQuota(team: string, now: number): void {
    const used = this.useOf(team, this.runningTasks.values());
    if (this.isOverQuota(team, used))
      this.note('quota', `${team} uses ${String(used.cpus)} cpus, ${String(used.gpus)} gpus`, now);
  }

  private limitOf(team: string): QuotaUse {
    return this.limits.teams.get(team) ?? { cpus: 0, gpus: 0 };
  }

  private isOverQuota(team: string, used: QuotaUse): boolean {
    const limit = this.limitOf(team);
    return used.cpus > limit.cpus + EPSILON || used.gpus > limit.gpus + EPSILON;
  }

  private useOf(team: string, tasks: Iterable<RunningTask>): QuotaUse {
    const used = { cpus: 0, gpus: 0 };
    for (const { jobId } of tasks) {
      const spec = this.jobs.get(jobId);
      if (spec?.team !== team) continue;
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
    }
    return used;
  }

  private checkForgotten(now: number): void {
    for (const [jobId, phase] of this.lastPhases) {
      const isSettled = isFinal(phase) || this.cancelRequests.has(jobId);
      if (isSettled || this.reportedForgotten.has(jobId)) continue;
      const since = Math.max(this.lastAnswerAt.get(jobId) ?? 0, this.faultsEndAt);
      if (now - since <= FORGOTTEN_MS) continue;
      this.reportedForgotten.add(jobId);
      this.note('forgotten', `${jobId}: no question answered`, now);
    }
  }

  private checkWaiting(now: number, machines: readonly AvailableMachine[]): void {
    for (const [jobId, phase] of this.lastPhases) {
      const spec = this.jobs.get(jobId);
      const isSettled = isFinal(phase) || this.cancelRequests.has(jobId);
      const fitting = spec && !isSettled ? this.machinesFor(jobId, spec, machines) : [];
      const before = this.waitingSince.get(jobId);
      const since = new Map(fitting.map((id) => [id, before?.get(id) ?? now]));
      this.waitingSince.set(jobId, since);
      if (![...since.values()].some((start) => now - start > WAIT_MS)) continue;
      this.note('waited', `${jobId}: there was room`, now);
      this.waitingSince.delete(jobId);
    }
  }

  /** Machines with room for a waiting task of the job; none while its team is at its limit. */
  private machinesFor(
    jobId: string,
    spec: JobSpec,
    machines: readonly AvailableMachine[],
  ): string[] {
    const running = this.tasksOf(jobId);
    const completed = this.completedTasks.get(jobId)?.size ?? 0;
    const isGang = spec.kind === 'gang';
    if (running.length + completed >= (isGang ? 1 : spec.tasks)) return [];
    const tasks = isGang ? spec.tasks : 1;
    const limit = this.limitOf(spec.team);
    const used = this.useOf(spec.team, this.runningTasks.values());
    if (limit.cpus - used.cpus < tasks * spec.cpus || limit.gpus - used.gpus < tasks * spec.gpus)
      return [];
    return machinesWithRoom(spec, machines, this.zonesOf(running));
  }

  /** Class -> tasks of its largest jobs. */
  private largestByClass(): Map<string, number> {
    const largest = new Map<string, number>();
    for (const { jobClass, tasks } of this.jobs.values())
      largest.set(jobClass, Math.max(largest.get(jobClass) ?? 0, tasks));
    return largest;
  }
}
