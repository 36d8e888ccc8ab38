/** Small helpers for maps of maps. */

/** The value under a key, made when it is first asked for. */
export function getOrAdd<K, V>(map: Map<K, V>, key: K, make: () => V): V {
  let value = map.get(key);
  if (value === undefined) map.set(key, (value = make()));
  return value;
}

/** Sets a value, or removes the key if there is none. */
export function setOrDelete<K, V>(map: Map<K, V>, key: K, value: V | null): void {
  if (value === null) map.delete(key);
  else map.set(key, value);
}
