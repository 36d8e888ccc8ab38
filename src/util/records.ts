/** Helpers for plain objects used as maps. */

/** Returns a copy of the record without one key. */
export function without<T>(record: Record<string, T>, key: string): Record<string, T> {
  const copy = { ...record };
  // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- the copy is local to this function
  delete copy[key];
  return copy;
}
