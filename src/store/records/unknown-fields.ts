/**
 * Stored fields that this version does not define. During a rolling upgrade, controllers of a later version may write
 * such fields. A controller of an older version that writes the record again must preserve them.
 */

/** Unknown stored fields by name, with their values as read. */
export type UnknownFields = Readonly<Record<string, unknown>>;

/** The names of the fields that a schema defines. */
export function fieldsOf(schema: { entries: object }): ReadonlySet<string> {
  return new Set(Object.keys(schema.entries));
}

/**
 * The fields of a stored object that are not among the known ones. Undefined if there are none, which is the usual
 * case.
 */
export function unknownFieldsOf(
  stored: object,
  known: ReadonlySet<string>,
): UnknownFields | undefined {
  let unknown: Record<string, unknown> | undefined;
  for (const [field, value] of Object.entries(stored))
    if (!known.has(field)) (unknown ??= {})[field] = value;
  return unknown;
}
