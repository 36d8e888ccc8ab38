import * as v from 'valibot';
import { isMap, type Body } from '../wire/codec.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(Number.MAX_SAFE_INTEGER));
const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(120), v.regex(/^\S+$/));

export interface TaskReport {
  task: string;
  try: number;
  phase: 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
  cause?: string | null | undefined;
  kept?: boolean | null | undefined;
}

const TASK = /^\S+\/\d{1,6}$/;
const PHASES: readonly unknown[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];

/** One check by hand: hundreds of reports a second with some tasks each are most of what is parsed. */
function isTask(value: unknown): value is TaskReport {
  if (!isMap(value)) return false;
  const { task, try: attempt, phase, cause, kept } = value;
  return (
    typeof task === 'string' &&
    task.length <= 160 &&
    TASK.test(task) &&
    Number.isSafeInteger(attempt) &&
    Number(attempt) >= 0 &&
    PHASES.includes(phase) &&
    (cause == null || (typeof cause === 'string' && cause.length <= 40)) &&
    (kept == null || typeof kept === 'boolean')
  );
}

const Heartbeat = v.object({
  box: name,
  address: v.pipe(v.string(), v.maxLength(100), v.regex(/^[^:\s]+:\d{1,5}$/)),
  flavor: name,
  site: name,
  reclaimable: v.boolean(),
  tenure: count,
  tick: count,
  epoch: count,
  warning_s: v.nullish(v.pipe(v.number(), v.finite())),
  tasks: v.optional(v.pipe(v.array(v.custom<TaskReport>(isTask)), v.maxLength(10_000)), []),
});

export type Heartbeat = v.InferOutput<typeof Heartbeat>;

export function parseHeartbeat(body: Body): Heartbeat | null {
  const result = v.safeParse(Heartbeat, body, { abortEarly: true });
  return result.success ? result.output : null;
}

export function splitTask(name: string): { uid: string; task: number } {
  const slash = name.lastIndexOf('/');
  return { uid: name.slice(0, slash), task: Number(name.slice(slash + 1)) };
}
