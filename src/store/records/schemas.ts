/** Whether what is stored under a key is a record of its kind. Nothing malformed gets past here. */
import * as v from 'valibot';
import type { Body } from '../../wire/codec.js';
import { isMap } from '../../wire/codec.js';

/** A stored record that is not what its key says it is. */
export interface MalformedRecord {
  key: string;
  kind: string;
  /** Whether ownership, use or final states cannot be told without it. */
  isVital: boolean;
}

const number = v.pipe(v.number(), v.finite());
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const text = v.string();

const Head = v.object({
  inc: count,
  t: count,
  q: v.record(text, v.strictTuple([number, number])),
});

const Spec = v.object({
  jobclass: text,
  owner: text,
  shape: v.picklist(['array', 'group', 'standing']),
  rank: v.picklist(['critical', 'urgent', 'standard', 'idle']),
  tasks: count,
  cpus: number,
  cards: number,
  memory_gb: number,
  image: text,
  image_gb: number,
  flavors: v.nullable(v.array(text)),
  site: v.nullable(text),
  one_zone: v.boolean(),
  spread: v.boolean(),
  reclaimable: v.boolean(),
  expect_s: number,
  snapshot_s: number,
  flush_s: number,
  due_s: v.nullable(number),
});

const Job = v.object({
  s: Spec,
  at: number,
  t: count,
  n: count,
  b: v.array(count),
  cancelled: v.optional(v.literal(true)),
  stop: v.optional(v.array(count)),
  gangDone: v.optional(v.literal(true)),
  gangBroken: v.optional(v.literal(true)),
  fails: v.optional(count),
  notBefore: v.optional(number),
  avoid: v.optional(v.array(text)),
});

const Batch = v.object({
  f: text,
  s: text,
  r: v.boolean(),
  at: number,
  b: v.record(text, text),
  g: v.optional(v.record(text, text)),
});

const Claim = v.object({
  claim: text,
  flavor: text,
  site: text,
  reclaimable: v.boolean(),
  count,
});

const Fleet = v.object({ holder: text, inc: count, seq: count, claims: v.array(Claim) });

interface Kind {
  isVital: boolean;
  isSound(value: Body): boolean;
}

const by = (schema: v.GenericSchema, isVital: boolean): Kind => ({
  isVital,
  isSound: (value) => v.is(schema, value),
});

/** Parts and shards change often and are large: they are looked through by hand. */
const KINDS: Readonly<Record<string, Kind>> = {
  dom: by(Head, true),
  own: { isVital: true, isSound: isShard },
  run: { isVital: true, isSound: isRun },
  job: by(Job, true),
  term: by(v.object({ t: count }), true),
  new: by(v.object({ n: count }), true),
  lot: by(Batch, false),
  list: { isVital: false, isSound: isNamesByName },
  live: by(v.object({ inc: count }), false),
  end: by(v.object({ ph: v.picklist(['done', 'cancelled']), tasks: count }), false),
  fleet: by(Fleet, false),
};

/** What is wrong with a stored record; null if it is one of its kind, or of a kind that is not known. */
export function malformed(key: string, kind: string, value: Body): MalformedRecord | null {
  const known = KINDS[kind];
  if (!known || known.isSound(value)) return null;
  return { key, kind, isVital: known.isVital };
}

const TERM = /^\d{1,15}$/;

function isShard(value: Body): boolean {
  return Object.keys(value).every((term) => TERM.test(term)) && isNamesByName(value);
}

function isNamesByName(value: Body): boolean {
  return Object.values(value).every(
    (names) => Array.isArray(names) && names.every((name) => typeof name === 'string'),
  );
}

function isRun(value: Body): boolean {
  return Object.values(value).every((runs) => isMap(runs) && Object.values(runs).every(isPairs));
}

/** Task, attempt, task, attempt, ... */
function isPairs(value: unknown): boolean {
  return Array.isArray(value) && value.length % 2 === 0 && value.every(Number.isSafeInteger);
}
