/** CBOR bodies: maps of plain data, as the protocol has them. */
import { Decoder, Encoder } from 'cbor-x';
import { TackvaneError } from '../errors.js';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** A decoded message: a map of plain data. */
export type Body = Record<string, unknown>;

/** The CBOR form of plain data. */
export function encode(value: unknown): Buffer {
  return encoder.encode(widen(value));
}

/** Whole numbers above 32 bits would leave as floats; the protocol wants integers. Copies only what has any. */
function widen(value: unknown): unknown {
  if (typeof value === 'number')
    return Number.isSafeInteger(value) && Math.abs(value) > 0xffffffff ? BigInt(value) : value;
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) {
    const at = value.findIndex((entry) => widen(entry) !== entry);
    return at < 0 ? value : value.map(widen);
  }
  let copy: Body | null = null;
  const map = value as Body;
  for (const key in map) {
    const wide = widen(map[key]);
    if (wide !== map[key]) (copy ??= { ...map })[key] = wide;
  }
  return copy ?? value;
}

/** The body as a map of plain data, or null: whatever else arrives is the sender's fault. */
export function decodeMap(bytes: Buffer): Body | null {
  try {
    const value: unknown = decoder.decode(bytes);
    return isMap(value) ? (narrow(value, 0, { entries: bytes.length }) as Body) : null;
  } catch {
    return null;
  }
}

/** Whether a value is a map of plain data, and not a list or an object of a class. */
export function isMap(value: unknown): value is Body {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    Object.getPrototypeOf(value) === Object.prototype
  );
}

/** What was received holds more than maps, lists, text, numbers, booleans and null. */
class NotPlainData extends TackvaneError {
  readonly code = 'not_plain_data';
}

const MAX_DEPTH = 16;

/**
 * Only maps, lists, text, numbers, booleans and null pass; integers beyond 2^53 become NaN, so checks refuse
 * them. Every entry takes a byte at least, so more than `entries` of them are references to the same ones: a
 * few bytes could stand for more than memory holds.
 */
function narrow(value: unknown, depth: number, budget: { entries: number }): unknown {
  if (depth > MAX_DEPTH || budget.entries-- < 0) throw new NotPlainData('nested too deep');
  if (typeof value === 'bigint') return narrowInteger(value);
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return narrowList(value as unknown[], depth, budget);
  if (!isMap(value)) throw new NotPlainData('not plain data');
  for (const key of Object.keys(value)) {
    const entry = value[key];
    const narrowed = narrow(entry, depth + 1, budget);
    if (narrowed !== entry) value[key] = narrowed;
  }
  return value;
}

function narrowInteger(value: bigint): number {
  const number = Number(value);
  return Number.isSafeInteger(number) ? number : Number.NaN;
}

function narrowList(list: unknown[], depth: number, budget: { entries: number }): unknown[] {
  for (let index = 0; index < list.length; index++) {
    const entry = list[index];
    const narrowed = narrow(entry, depth + 1, budget);
    if (narrowed !== entry) list[index] = narrowed;
  }
  return list;
}
