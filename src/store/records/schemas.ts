/** Schemas of the stored records. Every record that is read is checked against its schema before it is decoded. */
import * as v from 'valibot';
import { isPackedAllocations } from '../../model/allocations.js';
import { isMap, type Body } from '../../wire/codec.js';
import type { RecordKind } from './keys.js';

/** A stored record that does not have the form required by its kind. */
export interface MalformedRecord {
  key: string;
  kind: RecordKind;
  /** Whether ownership, resource usage or final states cannot be determined without the record. */
  isVital: boolean;
}

const number = v.pipe(v.number(), v.finite());
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const text = v.string();

const domainHeadSchema = v.object({
  inc: count,
  t: count,
  q: v.record(text, v.strictTuple([number, number])),
});

/** A job's specification. */
export const jobSpecSchema = v.object({
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

/** A job without its allocations. */
export const jobSchema = v.object({
  s: jobSpecSchema,
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

/** A machine batch. */
export const machineBatchSchema = v.object({
  f: text,
  s: text,
  r: v.boolean(),
  at: number,
  b: v.record(text, text),
  g: v.optional(v.record(text, text)),
});

/** A rental request in the fleet record. */
export const rentalRequestSchema = v.object({
  claim: text,
  flavor: text,
  site: text,
  reclaimable: v.boolean(),
  count,
});

/** The fleet record. */
export const fleetSchema = v.object({
  holder: text,
  inc: count,
  seq: count,
  claims: v.array(rentalRequestSchema),
});

const finalStateSchema = v.object({ ph: v.picklist(['done', 'cancelled']), tasks: count });

/** The check of records of one kind. */
interface RecordCheck {
  /** See `MalformedRecord.isVital`. */
  isVital: boolean;
  isWellFormed(value: Body): boolean;
}

function bySchema(schema: v.GenericSchema, { isVital }: { isVital: boolean }): RecordCheck {
  return { isVital, isWellFormed: (value) => v.is(schema, value) };
}

/**
 * Checks by kind. Allocations, shards and takeover lists are large and change often, so they have handwritten, faster
 * checks.
 */
const CHECKS: Readonly<Record<RecordKind, RecordCheck>> = {
  dom: bySchema(domainHeadSchema, { isVital: true }),
  own: { isVital: true, isWellFormed: isMachineShard },
  run: { isVital: true, isWellFormed: isAllocationRecord },
  job: bySchema(jobSchema, { isVital: true }),
  term: bySchema(v.object({ t: count }), { isVital: true }),
  new: bySchema(v.object({ n: count }), { isVital: true }),
  lot: bySchema(machineBatchSchema, { isVital: false }),
  list: { isVital: false, isWellFormed: isStringListMap },
  live: bySchema(v.object({ inc: count }), { isVital: false }),
  end: bySchema(finalStateSchema, { isVital: false }),
  fleet: bySchema(fleetSchema, { isVital: false }),
};

/** A description of a stored record if it is malformed; null if it is well-formed or of an unknown kind. */
export function checkRecord(
  key: string,
  kind: RecordKind | null,
  value: Body,
): MalformedRecord | null {
  if (kind === null) return null;
  const check = CHECKS[kind];
  return check.isWellFormed(value) ? null : { key, kind, isVital: check.isVital };
}

const FENCING_TOKEN = /^\d{1,15}$/;

function isMachineShard(value: Body): boolean {
  return Object.keys(value).every((token) => FENCING_TOKEN.test(token)) && isStringListMap(value);
}

function isStringListMap(value: Body): boolean {
  return Object.values(value).every(
    (names) => Array.isArray(names) && names.every((name) => typeof name === 'string'),
  );
}

function isAllocationRecord(value: Body): boolean {
  return Object.values(value).every(
    (allocations) => isMap(allocations) && Object.values(allocations).every(isPackedAllocations),
  );
}
