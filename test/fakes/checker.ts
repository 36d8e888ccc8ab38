/** Checks what users and workers of a simulated or real cluster observe against the rules of the protocol. */
import type { JobSpec } from '../../src/model/job.js';
import {
  machinesWithRoom,
  mayStartOn,
  type AvailableMachine,
  type MachineTraits,
} from './available-machines.js';

/** An unfinished job counts as forgotten if, after the last fault, no request about it was answered for this long. */
const FORGOTTEN_AFTER_MS = 75_000;
/**
 * After the last fault, no job may wait for longer than this while a suitable machine has room and the job's team is
 * below its limit.
 */
const MAX_WAIT_MS = 90_000;
/** The largest jobs of a class must also start within this time after submission. */
const MAX_LARGEST_JOB_START_MS = 240_000;
/** Tolerance for rounding errors in sums, far below the resources of any task. */
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

/** The answer that a user received; status 0: no answer. */
export interface UserAnswer {
  status: number;
  phase: string | null;
}

/** Statuses of answers for a job that was accepted. */
const ACCEPTED: readonly number[] = [200, 201];
/** Statuses of answers for a job that is unknown or was rejected. */
const UNKNOWN_OR_INVALID: readonly number[] = [404, 400, 422];

const taskName = ({ jobId, taskIndex }: RunningTask): string => `${jobId}/${String(taskIndex)}`;

const reservationName = (task: RunningTask, attempt: number): string =>
  `${task.machineId} ${taskName(task)}#${String(attempt)}`;

const isFinal = (phase: string | null): phase is 'done' | 'cancelled' =>
  phase === 'done' || phase === 'cancelled';

/** Receives events of a cluster and records each violation of the protocol's rules. */
export class Checker {
  readonly violations: string[] = [];
  /** When the last injected fault ends. */
  faultsEndAt = 0;
  /** Job -> when a user first received an answer with phase `cancelled`. */
  readonly cancelledAt = new Map<string, number>();
  /** For each start of a task after its job was reported cancelled to a user: how long after. */
  readonly startsAfterCancel: number[] = [];
  /** All task starts, in order. */
  readonly starts: { machineId: string; jobId: string; atMs: number }[] = [];
  private readonly jobs = new Map<string, JobSpec>();
  private readonly submittedAt = new Map<string, number>();
  /** Job -> when a user first received an answer that it is accepted. */
  private readonly acceptedAt = new Map<string, number>();
  /** Job -> the phase in the last answer to a user; once a final phase was reported, that one. */
  private readonly lastPhases = new Map<string, string>();
  /** Job -> the time of the last answer to a user. */
  private readonly lastAnswerAt = new Map<string, number>();
  /** Job -> the first final phase that any controller reported, and when. */
  private readonly finalStates = new Map<string, { phase: string; at: number }>();
  private readonly cancelRequests = new Set<string>();
  /** Jobs that can never run or lack a field, so that no controller may accept them. */
  private readonly invalidJobs = new Set<string>();
  private readonly reportedForgotten = new Set<string>();
  private readonly runningTasks = new Map<string, RunningTask>();
  private readonly completedTasks = new Map<string, Set<number>>();
  /**
   * Tasks that occupy a machine, from their launch on. Includes tasks whose image is being fetched, and tasks on
   * unreachable machines.
   */
  private readonly reservations = new Map<string, RunningTask>();
  /** Teams that currently exceed their limit, including tasks whose image is being fetched. */
  private readonly teamsOverQuota = new Set<string>();
  /** Job -> machine -> since when the job has been waiting although the machine has room for it. */
  private readonly waitingSince = new Map<string, Map<string, number>>();
  private readonly traits = new Map<string, MachineTraits>();

  constructor(private readonly limits: CheckerLimits) {}

  jobSubmitted(jobId: string, spec: JobSpec, now = 0): void {
    this.jobs.set(jobId, spec);
    this.submittedAt.set(jobId, now);
  }

  /** Records a submission that no controller may accept. */
  invalidJobSubmitted(jobId: string): void {
    this.invalidJobs.add(jobId);
  }

  cancelRequested(jobId: string): void {
    this.cancelRequests.add(jobId);
  }

  /**
   * Records an answer to a user. A request sent before a final state was reported may be answered with an older state
   * after that, but never with a different final state.
   */
  userAnswered(jobId: string, answer: UserAnswer, now: number, askedAt: number = now): void {
    const { status, phase } = answer;
    if (ACCEPTED.includes(status)) {
      this.checkAcceptance(jobId, now);
      this.checkFinality(jobId, phase, now, askedAt);
      this.checkReason(jobId, phase, now);
      this.recordAnswer(jobId, phase, now);
    } else if (UNKNOWN_OR_INVALID.includes(status)) {
      const isKnown = askedAt >= (this.acceptedAt.get(jobId) ?? Infinity);
      if (isKnown) this.addViolation('forgotten', `${jobId}: ${String(status)}`, now);
    }
  }

  /** Called when a worker starts an attempt that it has started before in its incarnation, and has forgotten since. */
  attemptStartedAgain(task: RunningTask, attempt: number, now: number): void {
    this.addViolation('started_again', reservationName(task, attempt), now);
  }

  /** Called when a worker accepts a start command. The task occupies resources already while its image is fetched. */
  taskLaunched(task: RunningTask, attempt: number, now: number): void {
    this.reservations.set(reservationName(task, attempt), task);
    const team = this.jobs.get(task.jobId)?.team;
    if (team === undefined) return;
    const isOver = this.isOverQuota(team, this.useOf(team, this.reservations.values()));
    if (isOver && !this.teamsOverQuota.has(team))
      this.addViolation(
        'quota',
        `${team} over its limit, including tasks that fetch images, by ${task.jobId} on ${task.machineId}`,
        now,
      );
    if (isOver) this.teamsOverQuota.add(team);
    else this.teamsOverQuota.delete(team);
  }

  /** Called when the task no longer occupies resources on its machine. */
  taskReleased(task: RunningTask, attempt: number): void {
    this.reservations.delete(reservationName(task, attempt));
  }

  /** Attempts of tasks that occupy machines now, to explain a violation in reports. */
  reservationNames(): string[] {
    return [...this.reservations.keys()].sort();
  }

  taskStarted(task: RunningTask, traits: MachineTraits, now: number): void {
    const { jobId, machineId } = task;
    const name = taskName(task);
    this.starts.push({ machineId, jobId, atMs: now });
    const spec = this.jobs.get(jobId);
    if (!spec) {
      this.addViolation('invented', `${name} starts`, now);
      return;
    }
    const others = this.tasksOf(jobId);
    for (const other of others)
      if (other.taskIndex === task.taskIndex && other.machineId !== machineId)
        this.addViolation('ran_twice', `${name} on ${machineId} and ${other.machineId}`, now);
    this.checkStartAfterCancel(task, now);
    const otherZones = this.zonesOf(others);
    this.traits.set(machineId, traits);
    if (!mayStartOn(spec, traits, otherZones))
      this.addViolation('wrong_place', `${name} on ${machineId}`, now);
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

  /** Tasks that are currently started on machines. */
  running(): readonly RunningTask[] {
    return [...this.runningTasks.values()];
  }

  /** Checks the rules that concern the whole cluster; may be called at any time. */
  check(now: number, machines: readonly AvailableMachine[] = []): void {
    this.checkForgotten(now);
    if (now >= this.faultsEndAt) this.checkWaiting(now, machines);
    for (const task of this.runningTasks.values())
      if (this.isPastCancelDeadline(task.jobId, now))
        this.addViolation('ran_cancelled', `${taskName(task)} still on ${task.machineId}`, now);
  }

  /** The largest jobs of each class that started too late, or have not started although their time is over. */
  lateLargestJobs(now: number): string[] {
    const largest = this.largestByClass();
    const isLate = (jobId: string, spec: JobSpec): boolean => {
      if (spec.tasks !== largest.get(spec.jobClass) || this.cancelRequests.has(jobId)) return false;
      if (!this.lastPhases.has(jobId)) return false;
      const startedAt = this.starts.find((start) => start.jobId === jobId)?.atMs ?? now;
      return startedAt - (this.submittedAt.get(jobId) ?? 0) > MAX_LARGEST_JOB_START_MS;
    };
    return [...this.jobs].filter(([jobId, spec]) => isLate(jobId, spec)).map(([jobId]) => jobId);
  }

  /** Groups of jobs (of a class, of a team, the largest of a class) of which less than half have started. */
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

  /** Called at the end of a run. A run in which no task started is a violation, since it proves nothing. */
  finish(): void {
    if (this.jobs.size > 0 && this.starts.length === 0)
      this.addViolation('nothing_ran', 'no task started', 0);
  }

  private addViolation(rule: string, what: string, now: number): void {
    this.violations.push(`${rule} at ${String(Math.round(now))}: ${what}`);
  }

  private tasksOf(jobId: string): RunningTask[] {
    return [...this.runningTasks.values()].filter((task) => task.jobId === jobId);
  }

  private zonesOf(tasks: readonly RunningTask[]): string[] {
    return tasks.map(({ machineId }) => this.traits.get(machineId)?.zone ?? '');
  }

  private checkAcceptance(jobId: string, now: number): void {
    if (this.invalidJobs.has(jobId)) this.addViolation('accepted_wrong', jobId, now);
    else if (!this.jobs.has(jobId)) this.addViolation('invented', jobId, now);
  }

  private recordAnswer(jobId: string, phase: string | null, now: number): void {
    this.lastPhases.set(jobId, this.finalStates.get(jobId)?.phase ?? phase ?? 'pending');
    this.lastAnswerAt.set(jobId, now);
    if (!this.acceptedAt.has(jobId)) this.acceptedAt.set(jobId, now);
    if (phase === 'cancelled' && !this.cancelledAt.has(jobId)) this.cancelledAt.set(jobId, now);
  }

  /** Checks that a final state never changes after it was first reported. */
  private checkFinality(jobId: string, phase: string | null, now: number, askedAt: number): void {
    const known = this.finalStates.get(jobId);
    if (known && phase !== known.phase && (isFinal(phase) || askedAt >= known.at))
      this.addViolation('went_back', `${jobId}: ${known.phase}, then ${String(phase)}`, now);
    if (isFinal(phase) && !known) this.finalStates.set(jobId, { phase, at: now });
  }

  /** Checks that a job is cancelled only if a user requested it, and done only if all its tasks completed. */
  private checkReason(jobId: string, phase: string | null, now: number): void {
    if (phase === 'cancelled' && !this.cancelRequests.has(jobId))
      this.addViolation('went_back', `${jobId}: cancelled without a request`, now);
    const completed = this.completedTasks.get(jobId)?.size ?? 0;
    if (phase === 'done' && completed < (this.jobs.get(jobId)?.tasks ?? 0))
      this.addViolation('not_done', jobId, now);
  }

  private isPastCancelDeadline(jobId: string, now: number): boolean {
    const cancelledAt = this.cancelledAt.get(jobId);
    return cancelledAt !== undefined && now > cancelledAt + this.limits.cancelMs;
  }

  private checkStartAfterCancel(task: RunningTask, now: number): void {
    const cancelledAt = this.cancelledAt.get(task.jobId);
    if (cancelledAt !== undefined) this.startsAfterCancel.push(now - cancelledAt);
    if (this.isPastCancelDeadline(task.jobId, now))
      this.addViolation('ran_cancelled', `${taskName(task)} starts`, now);
  }

  private checkQuota(team: string, now: number): void {
    const used = this.useOf(team, this.runningTasks.values());
    if (this.isOverQuota(team, used))
      this.addViolation(
        'quota',
        `${team} uses ${String(used.cpus)} cpus, ${String(used.gpus)} gpus`,
        now,
      );
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
      if (now - since <= FORGOTTEN_AFTER_MS) continue;
      this.reportedForgotten.add(jobId);
      this.addViolation('forgotten', `${jobId}: no request answered`, now);
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
      if (![...since.values()].some((start) => now - start > MAX_WAIT_MS)) continue;
      this.addViolation('waited', `${jobId}: a machine had room`, now);
      this.waitingSince.delete(jobId);
    }
  }

  /** Machines with room for a waiting task of the job; none if starting it would exceed its team's limit. */
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

  /** Class -> number of tasks of its largest jobs. */
  private largestByClass(): Map<string, number> {
    const largest = new Map<string, number>();
    for (const { jobClass, tasks } of this.jobs.values())
      largest.set(jobClass, Math.max(largest.get(jobClass) ?? 0, tasks));
    return largest;
  }
}
