/** Runs the tasks of one fake machine by the published protocol: image fetches, gangs, checkpoints and exits. */
import type { JobSpec } from '../../src/model/job.js';
import type { Resources } from '../../src/model/resources.js';
import type { MachineTraits } from './available-machines.js';
import type { RunningTask } from './checker.js';
import type { WorkerEnvironment } from './worker-environment.js';

/** Tolerance for rounding errors in sums, far below the resources of any task. */
const EPSILON = 1e-6;
/** Minimum and maximum time to fetch an image. */
const FETCH_RANGE_MS: readonly [number, number] = [300, 2000];
/** Time to start a task whose image is cached on the machine. */
const CACHED_IMAGE_START_MS = 1;
/** Time after which a task exits on a machine that fails all tasks. */
const FAILURE_AFTER_MS = 50;
/** Shortest run time of a task that does not fail. */
const MIN_RUN_MS = 500;

export interface FakeTask {
  name: string;
  jobId: string;
  taskIndex: number;
  attempt: number;
  phase: 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
  /** Why it exited; a value of the protocol's `cause` field. */
  exitReason?: string;
  /** Set when the task was stopped and has saved a checkpoint. */
  isCheckpointed?: boolean;
  /** Number of phase changes so far. A timer set in an earlier phase uses it to detect that it is obsolete. */
  phaseChanges: number;
  runner: TaskRunner;
}

/** The machine that a runner belongs to. */
export interface RunnerMachine {
  readonly id: string;
  readonly traits: MachineTraits;
  /** Whether every task that the machine starts fails. */
  readonly failsTasks: boolean;
  /** Runs `work` now, or when the machine resumes if it hangs; never if the machine is dead. */
  runWhenNotHung(work: () => void): void;
  /** Called when there is a change to report in a heartbeat. */
  statusChanged(): void;
}

const keyOf = (name: string, attempt: number): string => `${name}#${String(attempt)}`;

const gangKeyOf = ({ jobId, attempt }: FakeTask): string => keyOf(jobId, attempt);

export class TaskRunner {
  /** Task and attempt of every start command that was executed. */
  readonly startedTasks: string[] = [];
  /** Values of the protocol's `cause` field with which tasks have exited. */
  readonly exitReasons = new Set<string>();
  /** Attempts started since all tasks were last killed. */
  private readonly startedAttempts = new Set<string>();
  private tasks = new Map<string, FakeTask>();
  private readonly cachedImages = new Set<string>();

  constructor(
    private readonly machine: RunnerMachine,
    private readonly environment: WorkerEnvironment,
  ) {}

  /** All tasks, including exited ones whose exit has not been acknowledged. */
  list(): FakeTask[] {
    return [...this.tasks.values()];
  }

  find(name: string, attempt: number): FakeTask | undefined {
    return this.tasks.get(keyOf(name, attempt));
  }

  /** Deletes an exited task after its exit was acknowledged. */
  forget({ name, attempt }: FakeTask): void {
    this.tasks.delete(keyOf(name, attempt));
  }

  /** Removes all tasks immediately; their exits are not reported. */
  killAll(): void {
    for (const task of this.tasks.values()) this.release(task, false);
    this.tasks = new Map();
    this.startedAttempts.clear();
  }

  start(name: string, attempt: number): void {
    const slash = name.lastIndexOf('/');
    const jobId = name.slice(0, slash);
    const taskIndex = Number(name.slice(slash + 1));
    const task: FakeTask = {
      name,
      jobId,
      taskIndex,
      attempt,
      phase: 'fetching',
      phaseChanges: 0,
      runner: this,
    };
    this.startedTasks.push(keyOf(name, attempt));
    this.noteAttempt(task);
    const spec = this.environment.jobSpec(jobId);
    const active = this.activeTasks();
    this.tasks.set(keyOf(name, attempt), task);
    if (!spec) this.exit(task, 'unknown');
    else if (active.some((other) => other.name === name)) this.exit(task, 'in_use');
    else if (!this.fits(spec, active)) this.exit(task, 'full');
    else this.fetchImage(task, spec);
    this.machine.statusChanged();
  }

  stop(task: FakeTask, gracePeriodSeconds: number): void {
    if (task.phase === 'exited') return;
    const spec = this.environment.jobSpec(task.jobId);
    const savesCheckpoint =
      (spec?.checkpointIntervalSeconds ?? 0) > 0 &&
      gracePeriodSeconds >= (spec?.checkpointSeconds ?? 0);
    if (task.phase === 'running' && savesCheckpoint && spec) {
      this.setPhase(task, 'saving');
      this.schedule(task, spec.checkpointSeconds * 1000, () => {
        task.isCheckpointed = true;
        this.exit(task, 'halted');
      });
    } else if (task.phase !== 'saving' || gracePeriodSeconds === 0) this.exit(task, 'halted');
  }

  /** The machine's resources minus those of the given tasks; by default, all tasks that have not exited. */
  free(tasks = this.activeTasks()): Resources {
    const type = this.environment.machineTypes.get(this.machine.traits.machineType);
    const free = {
      cpus: type?.cpus ?? 0,
      gpus: type?.gpus ?? 0,
      memoryGb: type?.memoryGb ?? 0,
    };
    for (const { jobId } of tasks) {
      const spec = this.environment.jobSpec(jobId);
      if (!spec) continue;
      free.cpus -= spec.cpus;
      free.gpus -= spec.gpus;
      free.memoryGb -= spec.memoryGb;
    }
    return free;
  }

  /** Reports an attempt that was started before and has been forgotten since. */
  private noteAttempt(task: FakeTask): void {
    const { checker, time } = this.environment;
    const key = keyOf(task.name, task.attempt);
    if (this.startedAttempts.has(key))
      checker.attemptStartedAgain(this.runningTask(task), task.attempt, time.now);
    this.startedAttempts.add(key);
  }

  private activeTasks(): FakeTask[] {
    return this.list().filter(({ phase }) => phase !== 'exited');
  }

  private fits(spec: JobSpec, active: FakeTask[]): boolean {
    const { cpus, gpus, memoryGb } = this.free(active);
    return (
      cpus - spec.cpus > -EPSILON &&
      gpus - spec.gpus > -EPSILON &&
      memoryGb - spec.memoryGb > -EPSILON
    );
  }

  /** The task in the form that the checker uses. */
  private runningTask({ jobId, taskIndex }: FakeTask): RunningTask {
    return { jobId, taskIndex, machineId: this.machine.id };
  }

  private fetchImage(task: FakeTask, spec: JobSpec): void {
    const { checker, time, random } = this.environment;
    checker.taskLaunched(this.runningTask(task), task.attempt, time.now);
    const isCached = this.cachedImages.has(spec.image);
    this.schedule(task, isCached ? CACHED_IMAGE_START_MS : random.real(...FETCH_RANGE_MS), () => {
      this.cachedImages.add(spec.image);
      this.runTask(task, spec);
    });
  }

  private runTask(task: FakeTask, spec: JobSpec): void {
    const { checker, time, random } = this.environment;
    checker.taskStarted(this.runningTask(task), this.machine.traits, time.now);
    if (this.machine.failsTasks) {
      this.setPhase(task, 'running');
      this.exitLater(task, FAILURE_AFTER_MS, 'error');
      return;
    }
    const runMs = Math.max(MIN_RUN_MS, spec.expectedSeconds * 1000 * random.real(0.5, 1.5));
    if (spec.kind === 'gang') {
      this.joinGang(task, spec, runMs);
      return;
    }
    this.setPhase(task, 'running');
    if (spec.kind === 'array') this.exitLater(task, runMs, 'done');
  }

  /** Waits for the gang's other tasks. When the last one has joined, all of them start running. */
  private joinGang(task: FakeTask, spec: JobSpec, runMs: number): void {
    const { gangs, gangWaitMs } = this.environment;
    this.setPhase(task, 'waiting');
    const members = gangs.get(gangKeyOf(task)) ?? new Set<FakeTask>();
    gangs.set(gangKeyOf(task), members.add(task));
    this.exitLater(task, gangWaitMs, 'incomplete');
    if (members.size < spec.tasks) return;
    for (const member of members) member.runner.runInGang(member, runMs);
  }

  private runInGang(task: FakeTask, runMs: number): void {
    this.setPhase(task, 'running');
    this.schedule(task, runMs, () => {
      const members = this.environment.gangs.get(gangKeyOf(task)) ?? new Set<FakeTask>();
      // By the protocol, a gang's tasks complete together or not at all: if one is missing, none completes.
      if (members.size < (this.environment.jobSpec(task.jobId)?.tasks ?? 0)) return;
      for (const member of [...members]) member.runner.exit(member, 'done');
    });
  }

  private setPhase(task: FakeTask, phase: FakeTask['phase']): void {
    task.phase = phase;
    task.phaseChanges++;
    this.machine.statusChanged();
  }

  /**
   * Runs `work` after a delay, unless the task was removed or changed its phase in the meantime. If the machine hangs
   * then, `work` runs when it resumes.
   */
  private schedule(task: FakeTask, ms: number, work: () => void): void {
    const { phaseChanges } = task;
    this.environment.time.after(ms, () => {
      this.machine.runWhenNotHung(() => {
        const isCurrent = this.find(task.name, task.attempt) === task;
        if (isCurrent && task.phaseChanges === phaseChanges) work();
      });
    });
  }

  private exitLater(task: FakeTask, ms: number, reason: string): void {
    this.schedule(task, ms, () => {
      this.exit(task, reason);
    });
  }

  private exit(task: FakeTask, reason: string): void {
    if (task.phase === 'exited') return;
    task.exitReason = reason;
    this.exitReasons.add(reason);
    this.release(task, reason === 'done');
    this.setPhase(task, 'exited');
    if (reason === 'done') this.environment.onTaskDone(task.jobId);
  }

  /** Called when a task has completed, failed, or was lost with its machine. Its resources become free. */
  private release(task: FakeTask, isCompleted: boolean): void {
    const { checker } = this.environment;
    const hasStarted = task.phase !== 'fetching' && task.phase !== 'exited';
    if (hasStarted) checker.taskEnded(this.runningTask(task), isCompleted);
    if (task.phase !== 'exited') checker.taskReleased(this.runningTask(task), task.attempt);
    const members = this.environment.gangs.get(gangKeyOf(task));
    if (members?.delete(task) && !isCompleted) this.endGang(members);
  }

  /** Called when a gang has lost a task: its tasks that run or save a checkpoint exit within `gangPeerMs`. */
  private endGang(members: ReadonlySet<FakeTask>): void {
    for (const member of members)
      if (member.phase === 'running' || member.phase === 'saving')
        member.runner.exitLater(member, this.environment.gangPeerMs / 2, 'mates_gone');
  }
}
