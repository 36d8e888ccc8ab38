/** Encodes and decodes CBOR message bodies, which are maps of plain data. */
import { Decoder, Encoder } from 'cbor-x';
import { TackvaneError } from '../errors.js';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** A decoded message: a map of plain data. */
export type Body = Record<string, unknown>;

/** Encodes plain data as CBOR. */
export function encode(value: unknown): Buffer {
  return encoder.encode(widenIntegers(value));
}

/**
 * Converts integers of more than 32 bits to `BigInt`, because the encoder would write them as floats and the protocol
 * requires integers. Only maps and lists that contain such integers are copied.
 */
function widenIntegers(value: unknown): unknown {
  if (typeof value === 'number')
    return Number.isSafeInteger(value) && Math.abs(value) > 0xffffffff ? BigInt(value) : value;
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) {
    const index = value.findIndex((entry) => widenIntegers(entry) !== entry);
    return index < 0 ? value : value.map(widenIntegers);
  }
  let copy: Body | null = null;
  const map = value as Body;
  for (const key in map) {
    const wide = widenIntegers(map[key]);
    if (wide !== map[key]) (copy ??= { ...map })[key] = wide;
  }
  return copy ?? value;
}

/** Decodes a body to a map of plain data; returns null if the sender's bytes are anything else. */
export function decodeMap(bytes: Buffer): Body | null {
  try {
    const value: unknown = decoder.decode(bytes);
    return isMap(value) ? (toPlainData(value, 0, { entries: bytes.length }) as Body) : null;
  } catch {
    return null;
  }
}

/** Whether a value is a plain object, rather than a list or an instance of a class. */
export function isMap(value: unknown): value is Body {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    Object.getPrototypeOf(value) === Object.prototype
  );
}

/**
 * A received message contains something other than maps, lists, text, numbers, booleans and null, or exceeds a limit.
 */
class NotPlainData extends TackvaneError {
  readonly code = 'not_plain_data';
}

const MAX_DEPTH = 16;

/**
 * Accepts only maps, lists, text, numbers, booleans and null. Integers beyond 2^53 become NaN, so that validation
 * rejects them. Every encoded entry takes at least one byte, so a message with more than `budget.entries` entries must
 * contain shared references; with these, a few bytes could expand to more data than fits in memory.
 */
function toPlainData(value: unknown, depth: number, budget: { entries: number }): unknown {
  if (depth > MAX_DEPTH || budget.entries-- < 0)
    throw new NotPlainData('nested too deep or too many entries');
  if (typeof value === 'bigint') return toSafeInteger(value);
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return toPlainList(value as unknown[], depth, budget);
  if (!isMap(value)) throw new NotPlainData('not plain data');
  for (const key of Object.keys(value)) {
    const entry = value[key];
    const plain = toPlainData(entry, depth + 1, budget);
    if (plain !== entry) value[key] = plain;
  }
  return value;
}

function toSafeInteger(value: bigint): number {
  const number = Number(value);
  return Number.isSafeInteger(number) ? number : Number.NaN;
}

function toPlainList(list: unknown[], depth: number, budget: { entries: number }): unknown[] {
  for (let index = 0; index < list.length; index++) {
    const entry = list[index];
    const plain = toPlainData(entry, depth + 1, budget);
    if (plain !== entry) list[index] = plain;
  }
  return list;
}
