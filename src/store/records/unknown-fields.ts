/**
 * Fields that this version does not know. While an upgrade is under way, controllers of a later version may write such
 * fields; an older one that writes the record again must keep them.
 */

/** Stored fields by name, as they were read. */
export type UnknownFields = Readonly<Record<string, unknown>>;

/** The names of the fields that a schema knows. */
export function fieldsOf(schema: { entries: object }): ReadonlySet<string> {
  return new Set(Object.keys(schema.entries));
}

/** The fields of a stored object that are not among the known ones; undefined if there are none, as a rule. */
export function unknownFieldsOf(
  stored: object,
  known: ReadonlySet<string>,
): UnknownFields | undefined {
  let unknown: Record<string, unknown> | undefined;
  for (const [field, value] of Object.entries(stored))
    if (!known.has(field)) (unknown ??= {})[field] = value;
  return unknown;
}
