/** Helpers for maps. */

/** The value under a key; one that does not exist yet is made and added. */
export function getOrAdd<K, V>(map: Map<K, V>, key: K, make: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = make();
    map.set(key, value);
  }
  return value;
}

/** Sets a value, or removes the key if there is none. */
export function setOrDelete<K, V>(map: Map<K, V>, key: K, value: V | null): void {
  if (value === null) map.delete(key);
  else map.set(key, value);
}
