/** Infers the fields and types of a kind of record or message from examples, and reports deviations from them. */
import { isMap, type Body } from '../../src/wire/codec.js';

/** Fields of the maps at one path: `known` are in some example, `required` in every example. */
interface Fields {
  known: Set<string>;
  required: Set<string>;
}

type Type = 'map' | 'list' | 'null' | 'text' | 'number' | 'boolean';

function typeOf(value: unknown): Type {
  if (Array.isArray(value)) return 'list';
  if (isMap(value)) return 'map';
  if (value === null) return 'null';
  if (typeof value === 'string') return 'text';
  if (typeof value === 'number') return 'number';
  if (typeof value === 'boolean') return 'boolean';
  throw new TypeError(`not plain data: ${typeof value}`);
}

export interface InferredSchemaOptions {
  /** Paths of maps whose keys are arbitrary names rather than fields. */
  dictionaryPaths?: readonly string[];
  /** Paths whose content is not examined. */
  opaquePaths?: readonly string[];
}

/**
 * The inferred fields and types of one kind of record or message. A path has the form `s.flavors[]`, or `b.*` for the
 * values of a map whose keys are arbitrary names.
 */
export class InferredSchema {
  private readonly types = new Map<string, Set<Type>>();
  private readonly fields = new Map<string, Fields>();

  constructor(private readonly options: InferredSchemaOptions = {}) {}

  addExample(value: Body): void {
    for (const [path, found] of this.walk(value, '')) {
      const types = this.types.get(path) ?? new Set();
      this.types.set(path, types.add(typeOf(found)));
      if (!isMap(found) || !this.hasFields(path)) continue;
      const names = Object.keys(found);
      const before = this.fields.get(path);
      this.fields.set(path, {
        known: new Set([...(before?.known ?? []), ...names]),
        required: new Set(names.filter((name) => before?.required.has(name) ?? true)),
      });
    }
  }

  /** Lists fields that no example has, missing fields that every example has, and values of unknown types. */
  deviations(value: Body): string[] {
    const found: string[] = [];
    for (const [path, inside] of this.walk(value, '')) {
      const name = path === '' ? 'all' : path;
      const type = typeOf(inside);
      if (!this.types.get(path)?.has(type)) found.push(`${name}: ${type}`);
      if (isMap(inside))
        found.push(...this.fieldDeviations(path, inside).map((what) => `${name}: ${what}`));
    }
    return found;
  }

  private fieldDeviations(path: string, map: Body): string[] {
    const fields = this.fields.get(path);
    if (!fields || !this.hasFields(path)) return [];
    const unknown = Object.keys(map).filter((name) => !fields.known.has(name));
    const missing = [...fields.required].filter((name) => !(name in map));
    return [
      ...unknown.map((name) => `unknown field ${name}`),
      ...missing.map((name) => `no field ${name}`),
    ];
  }

  private isDictionary(path: string): boolean {
    return this.options.dictionaryPaths?.includes(path) ?? false;
  }

  private hasFields(path: string): boolean {
    return !this.isDictionary(path) && !this.isOpaque(path);
  }

  private isOpaque(path: string): boolean {
    return this.options.opaquePaths?.includes(path) ?? false;
  }

  private *walk(value: unknown, path: string): Generator<readonly [string, unknown]> {
    yield [path, value];
    if (this.isOpaque(path)) return;
    if (Array.isArray(value)) {
      for (const entry of value as unknown[]) yield* this.walk(entry, `${path}[]`);
    } else if (isMap(value)) {
      const prefix = path === '' ? '' : `${path}.`;
      for (const [name, entry] of Object.entries(value))
        yield* this.walk(entry, prefix + (this.isDictionary(path) ? '*' : name));
    }
  }
}
