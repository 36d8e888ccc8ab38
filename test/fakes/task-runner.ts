/** Runs the tasks of one fake machine: images, gangs, checkpoints and exits, by the published protocol. */
import type { JobSpec } from '../../src/model/job.js';
import type { Resources } from '../../src/model/resources.js';
import type { MachineTraits } from './available-machines.js';
import type { RunningTask } from './checker.js';
import type { WorkerEnvironment } from './worker-environment.js';

/** Rounding errors of sums; any task uses far more. */
const EPSILON = 1e-6;
/** How long fetching an image takes, least and most, and how long a start takes once it is there. */
const FETCH_MS: readonly [number, number] = [300, 2000];
const CACHED_IMAGE_MS = 1;
/** On a machine that fails all tasks, each exits this soon. */
const FAILURE_MS = 50;
const LEAST_RUN_MS = 500;

export interface FakeTask {
  name: string;
  jobId: string;
  taskIndex: number;
  attempt: number;
  phase: 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
  /** Why it exited, in the protocol's words. */
  exitReason?: string;
  /** Set once a checkpoint was saved on being stopped. */
  isCheckpointed?: boolean;
  /** Counts up with each change of phase, so that a late timer can tell that it is late. */
  step: number;
  runner: TaskRunner;
}

/** The machine that a runner belongs to. */
export interface RunnerMachine {
  readonly id: string;
  readonly traits: MachineTraits;
  /** Whether it fails every task that it starts. */
  readonly failsTasks: boolean;
  /** Runs something now, or once the machine no longer hangs. */
  whenAwake(work: () => void): void;
  /** There is something new to report. */
  statusChanged(): void;
}

const keyOf = (name: string, attempt: number): string => `${name}#${String(attempt)}`;

const gangKeyOf = ({ jobId, attempt }: FakeTask): string => keyOf(jobId, attempt);

export class TaskRunner {
  /** Task and attempt of every start command that was carried out. */
  readonly startedTasks: string[] = [];
  private tasks = new Map<string, FakeTask>();
  private readonly cachedImages = new Set<string>();

  constructor(
    private readonly machine: RunnerMachine,
    private readonly environment: WorkerEnvironment,
  ) {}

  /** All tasks whose exits were not acknowledged. */
  list(): FakeTask[] {
    return [...this.tasks.values()];
  }

  find(name: string, attempt: number): FakeTask | undefined {
    return this.tasks.get(keyOf(name, attempt));
  }

  /** An exit was acknowledged: the task is forgotten. */
  forget({ name, attempt }: FakeTask): void {
    this.tasks.delete(keyOf(name, attempt));
  }

  /** All tasks are gone at once, without a trace. */
  killAll(): void {
    for (const task of this.tasks.values()) this.release(task, false);
    this.tasks = new Map();
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
      step: 0,
      runner: this,
    };
    this.startedTasks.push(keyOf(name, attempt));
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
      this.later(task, spec.checkpointSeconds * 1000, () => {
        task.isCheckpointed = true;
        this.exit(task, 'halted');
      });
    } else if (task.phase !== 'saving' || gracePeriodSeconds === 0) this.exit(task, 'halted');
  }

  /** What is left on the machine beside these tasks; by default all that have not exited. */
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

  /** The task as the checker knows it. */
  private observed({ jobId, taskIndex }: FakeTask): RunningTask {
    return { jobId, taskIndex, machineId: this.machine.id };
  }

  private fetchImage(task: FakeTask, spec: JobSpec): void {
    const { checker, time, random } = this.environment;
    checker.taskLaunched(this.observed(task), task.attempt, time.now);
    const isCached = this.cachedImages.has(spec.image);
    this.later(task, isCached ? CACHED_IMAGE_MS : random.real(...FETCH_MS), () => {
      this.cachedImages.add(spec.image);
      this.begin(task, spec);
    });
  }

  private begin(task: FakeTask, spec: JobSpec): void {
    const { checker, time, random } = this.environment;
    checker.taskStarted(this.observed(task), this.machine.traits, time.now);
    if (this.machine.failsTasks) {
      this.setPhase(task, 'running');
      this.exitLater(task, FAILURE_MS, 'error');
      return;
    }
    const runMs = Math.max(LEAST_RUN_MS, spec.expectedSeconds * 1000 * random.real(0.5, 1.5));
    if (spec.kind === 'gang') {
      this.joinGang(task, spec, runMs);
      return;
    }
    this.setPhase(task, 'running');
    if (spec.kind === 'array') this.exitLater(task, runMs, 'done');
  }

  /** Waits for the gang's other tasks; the last to come sets all of them running. */
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
    this.later(task, runMs, () => {
      const members = this.environment.gangs.get(gangKeyOf(task)) ?? new Set<FakeTask>();
      // By the protocol they complete together or not at all: without one of them, none does.
      if (members.size < (this.environment.jobSpec(task.jobId)?.tasks ?? 0)) return;
      for (const member of [...members]) member.runner.exit(member, 'done');
    });
  }

  private setPhase(task: FakeTask, phase: FakeTask['phase']): void {
    task.phase = phase;
    task.step++;
    this.machine.statusChanged();
  }

  /** Does something later unless the task has changed meanwhile; a hanging machine does it on resuming. */
  private later(task: FakeTask, ms: number, work: () => void): void {
    const { step } = task;
    this.environment.time.after(ms, () => {
      this.machine.whenAwake(() => {
        const isKnown = this.find(task.name, task.attempt) === task;
        if (isKnown && task.step === step) work();
      });
    });
  }

  private exitLater(task: FakeTask, ms: number, reason: string): void {
    this.later(task, ms, () => {
      this.exit(task, reason);
    });
  }

  private exit(task: FakeTask, reason: string): void {
    if (task.phase === 'exited') return;
    task.exitReason = reason;
    this.release(task, reason === 'done');
    this.setPhase(task, 'exited');
    if (reason === 'done') this.environment.onTaskDone(task.jobId);
  }

  /** The task leaves the machine, for whatever reason. */
  private release(task: FakeTask, isCompleted: boolean): void {
    const { checker } = this.environment;
    const hasStarted = task.phase !== 'fetching' && task.phase !== 'exited';
    if (hasStarted) checker.taskEnded(this.observed(task), isCompleted);
    if (task.phase !== 'exited') checker.taskReleased(this.observed(task), task.attempt);
    const members = this.environment.gangs.get(gangKeyOf(task));
    if (members?.delete(task) && !isCompleted) this.endGang(members);
  }

  /** A gang has lost a task: the others that run end soon. */
  private endGang(members: ReadonlySet<FakeTask>): void {
    for (const member of members)
      if (member.phase === 'running' || member.phase === 'saving')
        member.runner.exitLater(member, this.environment.gangPeerMs / 2, 'mates_gone');
  }
}
