/** Sizes of values as the state service counts them. */

/** Cached sizes by object. Values passed to `bytesOf` are never changed in place, so a cached size stays correct. */
const knownBytes = new WeakMap<object, number>();

/** Bytes of a value's JSON form. The limits of the state service apply to this size. */
export function bytesOf(value: unknown): number {
  if (typeof value !== 'object' || value === null) return jsonBytes(value);
  let bytes = knownBytes.get(value);
  if (bytes === undefined) {
    bytes = jsonBytes(value);
    knownBytes.set(value, bytes);
  }
  return bytes;
}

/** The same without a cache, for a value that may still be changed in place. */
export function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
