/** Helpers for plain objects used as maps. */

/** A copy of the record that lacks one key. */
export function without<T>(record: Record<string, T>, key: string): Record<string, T> {
  const copy = { ...record };
  // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- a copy made for this
  delete copy[key];
  return copy;
}
