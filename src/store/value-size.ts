/** The size of values as the state service counts it. */

/** Sizes that are known, by object. Values are never changed in place, so a size stays right. */
const knownBytes = new WeakMap<object, number>();

/** Bytes of a value's JSON form, which is what the state service's limits count. */
export function bytesOf(value: unknown): number {
  if (typeof value !== 'object' || value === null) return jsonBytes(value);
  let bytes = knownBytes.get(value);
  if (bytes === undefined) {
    bytes = jsonBytes(value);
    knownBytes.set(value, bytes);
  }
  return bytes;
}

/** The same for a value that may still be changed in place: it is counted anew each time. */
export function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
