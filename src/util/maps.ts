/** Helpers for maps. */

/** Returns the value of a key; if there is none, makes and adds one. */
export function getOrAdd<K, V>(map: Map<K, V>, key: K, make: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = make();
    map.set(key, value);
  }
  return value;
}

/** Sets the value of a key, or deletes the key if the value is null. */
export function setOrDelete<K, V>(map: Map<K, V>, key: K, value: V | null): void {
  if (value === null) map.delete(key);
  else map.set(key, value);
}
