import * as v from 'valibot';
import type { Body } from '../wire/codec.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(Number.MAX_SAFE_INTEGER));
const name = v.pipe(v.string(), v.nonEmpty(), v.maxLength(120), v.regex(/^\S+$/));

const TaskReport = v.object({
  task: v.pipe(v.string(), v.maxLength(160), v.regex(/^\S+\/\d{1,6}$/)),
  try: count,
  phase: v.picklist(['fetching', 'waiting', 'running', 'saving', 'exited']),
  cause: v.nullish(v.pipe(v.string(), v.maxLength(40))),
  kept: v.nullish(v.boolean()),
});

const Report = v.object({
  box: name,
  address: v.pipe(v.string(), v.maxLength(100), v.regex(/^[^:\s]+:\d{1,5}$/)),
  flavor: name,
  site: name,
  reclaimable: v.boolean(),
  tenure: count,
  tick: count,
  epoch: count,
  warning_s: v.nullish(v.pipe(v.number(), v.finite())),
  tasks: v.optional(v.pipe(v.array(TaskReport), v.maxLength(10_000)), []),
});

export type Report = v.InferOutput<typeof Report>;
export type TaskReport = v.InferOutput<typeof TaskReport>;

export function parseReport(body: Body): Report | null {
  const result = v.safeParse(Report, body, { abortEarly: true });
  return result.success ? result.output : null;
}

export function splitTask(name: string): { uid: string; task: number } {
  const slash = name.lastIndexOf('/');
  return { uid: name.slice(0, slash), task: Number(name.slice(slash + 1)) };
}
