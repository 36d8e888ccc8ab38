import { Decoder, Encoder } from 'cbor-x';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

export type Body = Record<string, unknown>;

export function encode(value: unknown): Buffer {
  return encoder.encode(widen(value));
}

/** Whole numbers above 32 bits would leave as floats; the protocol wants integers. */
function widen(value: unknown): unknown {
  if (typeof value === 'number')
    return Number.isSafeInteger(value) && Math.abs(value) > 0xffffffff ? BigInt(value) : value;
  if (Array.isArray(value)) return value.map(widen);
  if (typeof value === 'object' && value !== null) {
    const out: Body = {};
    for (const [key, entry] of Object.entries(value)) out[key] = widen(entry);
    return out;
  }
  return value;
}

/** The body as a map of plain data, or null: whatever else arrives is the sender's fault. */
export function decodeMap(bytes: Buffer): Body | null {
  try {
    const value: unknown = decoder.decode(bytes);
    return isMap(value) ? (narrow(value, 0) as Body) : null;
  } catch {
    return null;
  }
}

export function isMap(value: unknown): value is Body {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    Object.getPrototypeOf(value) === Object.prototype
  );
}

const MAX_DEPTH = 16;

/** Only maps, lists, text, numbers, booleans and null pass; integers beyond 2^53 become NaN, so checks refuse them. */
function narrow(value: unknown, depth: number): unknown {
  if (depth > MAX_DEPTH) throw new Error('nested too deep');
  if (typeof value === 'bigint') {
    const number = Number(value);
    return Number.isSafeInteger(number) ? number : Number.NaN;
  }
  if (Array.isArray(value)) return value.map((entry) => narrow(entry, depth + 1));
  if (isMap(value)) {
    const out: Body = Object.create(null) as Body;
    for (const key of Object.keys(value)) out[key] = narrow(value[key], depth + 1);
    return Object.assign({}, out);
  }
  if (typeof value === 'object' && value !== null) throw new Error('not plain data');
  return value;
}
