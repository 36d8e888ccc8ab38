/** Messages to and from workers: heartbeats with the status of tasks, and commands. */
import * as v from 'valibot';
import type {
  ExitReason,
  Heartbeat,
  TaskPhase,
  TaskStatus,
  WorkerCommand,
} from '../model/worker.js';
import { isMap, type Body } from '../wire/codec.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(Number.MAX_SAFE_INTEGER));
const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(120), v.regex(/^\S+$/));

type WirePhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

interface WireTask {
  task: string;
  try: number;
  phase: WirePhase;
  cause?: string | null | undefined;
  kept?: boolean | null | undefined;
}

const TASK_NAME = /^\S+\/\d{1,6}$/;
const MAX_TASK_NAME_LENGTH = 160;
const MAX_EXIT_REASON_LENGTH = 40;
const MAX_TASKS = 10_000;

const PHASE_OF_WIRE: ReadonlyMap<unknown, TaskPhase> = new Map<WirePhase, TaskPhase>([
  ['fetching', 'fetching'],
  ['waiting', 'waiting'],
  ['running', 'running'],
  ['saving', 'checkpointing'],
  ['exited', 'exited'],
]);

const EXIT_REASON_OF_WIRE: ReadonlyMap<string, ExitReason> = new Map<string, ExitReason>([
  ['done', 'done'],
  ['error', 'error'],
  ['halted', 'halted'],
  ['in_use', 'alreadyRunning'],
  ['mates_gone', 'peerLost'],
  ['incomplete', 'gangIncomplete'],
  ['full', 'noResources'],
]);

/**
 * Checks a task by hand instead of with a schema, for speed: the tasks in hundreds of heartbeats per second are most of
 * what a controller parses.
 */
function isTask(value: unknown): value is WireTask {
  if (!isMap(value)) return false;
  const { task, try: attempt, phase, cause, kept } = value;
  return (
    typeof task === 'string' &&
    task.length <= MAX_TASK_NAME_LENGTH &&
    TASK_NAME.test(task) &&
    Number.isSafeInteger(attempt) &&
    Number(attempt) >= 0 &&
    PHASE_OF_WIRE.has(phase) &&
    (cause == null || (typeof cause === 'string' && cause.length <= MAX_EXIT_REASON_LENGTH)) &&
    (kept == null || typeof kept === 'boolean')
  );
}

const WireHeartbeat = v.object({
  box: name,
  address: v.pipe(v.string(), v.maxLength(100), v.regex(/^[^:\s]+:\d{1,5}$/)),
  flavor: name,
  site: name,
  reclaimable: v.boolean(),
  tenure: count,
  tick: count,
  epoch: count,
  warning_s: v.nullish(v.pipe(v.number(), v.finite())),
  tasks: v.optional(v.pipe(v.array(v.custom<WireTask>(isTask)), v.maxLength(MAX_TASKS)), []),
});

/** The heartbeat in a message from a worker; null if the message is malformed. */
export function decodeHeartbeat(body: Body): Heartbeat | null {
  const result = v.safeParse(WireHeartbeat, body, { abortEarly: true });
  if (!result.success) return null;
  const wire = result.output;
  return {
    machineId: wire.box,
    address: wire.address,
    machineType: wire.flavor,
    zone: wire.site,
    spot: wire.reclaimable,
    workerIncarnation: wire.tenure,
    sequence: wire.tick,
    fencingToken: wire.epoch,
    preemptionNoticeSeconds: wire.warning_s ?? null,
    tasks: wire.tasks.map(decodeTask),
  };
}

function decodeTask(wire: WireTask): TaskStatus {
  return {
    taskName: wire.task,
    attempt: wire.try,
    phase: PHASE_OF_WIRE.get(wire.phase) ?? 'exited',
    exitReason: wire.cause == null ? null : (EXIT_REASON_OF_WIRE.get(wire.cause) ?? 'other'),
  };
}

function encodeCommand(command: WorkerCommand): Body {
  const { taskName: task, attempt } = command;
  switch (command.kind) {
    case 'start':
      return { verb: 'launch', task, try: attempt };
    case 'stop':
      return { verb: 'halt', task, try: attempt, drain_s: command.gracePeriodSeconds };
    case 'acknowledge':
      return { verb: 'reap', task, try: attempt };
  }
}

/** The answer to a heartbeat. It renews the worker's lease and carries commands to execute. */
export function encodeHeartbeatAnswer(
  fencingToken: number,
  commands: readonly WorkerCommand[],
): Body {
  return { epoch: fencingToken, orders: commands.map(encodeCommand) };
}

/** Redirects a worker to the owner of its machine. If the owner is not given, the worker tries another controller. */
export function encodeRedirect(owner?: string): Body {
  return owner === undefined ? {} : { steward: owner };
}

/**
 * Commands that are sent directly, not with the answer to a heartbeat. A worker refuses them if its incarnation differs
 * or if it has seen a higher fencing token.
 */
export interface CommandRequest {
  fencingToken: number;
  workerIncarnation: number;
  commands: readonly WorkerCommand[];
}

/** A request to a worker to execute commands immediately. */
export function encodeCommandRequest(request: CommandRequest): Body {
  return {
    epoch: request.fencingToken,
    tenure: request.workerIncarnation,
    orders: request.commands.map(encodeCommand),
  };
}

/** Splits a task's name, such as `j-1/0`, into the job id and the task number. */
export function splitTaskName(taskName: string): { jobId: string; task: number } {
  const slash = taskName.lastIndexOf('/');
  return { jobId: taskName.slice(0, slash), task: Number(taskName.slice(slash + 1)) };
}
