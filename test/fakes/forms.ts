/** Learns from examples which fields a kind of record or message has and of which types, and finds what deviates. */
import { isMap, type Body } from '../../src/wire/codec.js';

/** Fields of maps at one place: those that some example has, and those that every example has. */
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
  throw new TypeError(`no plain data: ${typeof value}`);
}

export interface FormOptions {
  /** Places of maps whose keys are names, not fields. */
  byName?: readonly string[];
  /** Places that are not looked into. */
  opaque?: readonly string[];
}

/** The form of one kind of record or message. Places read like `s.flavors[]`, and like `b.*` in maps by name. */
export class Form {
  private readonly types = new Map<string, Set<Type>>();
  private readonly fields = new Map<string, Fields>();

  constructor(private readonly options: FormOptions = {}) {}

  learn(value: Body): void {
    for (const [place, found] of this.walk(value, '')) {
      const types = this.types.get(place) ?? new Set();
      this.types.set(place, types.add(typeOf(found)));
      if (!isMap(found) || !this.hasFields(place)) continue;
      const names = Object.keys(found);
      const before = this.fields.get(place);
      this.fields.set(place, {
        known: new Set([...(before?.known ?? []), ...names]),
        required: new Set(names.filter((name) => before?.required.has(name) ?? true)),
      });
    }
  }

  /** Fields that no example has, that all examples have and this one lacks, and values of other types. */
  deviations(value: Body): string[] {
    const found: string[] = [];
    for (const [place, inside] of this.walk(value, '')) {
      const name = place === '' ? 'all' : place;
      const type = typeOf(inside);
      if (!this.types.get(place)?.has(type)) found.push(`${name}: ${type}`);
      if (isMap(inside))
        found.push(...this.fieldDeviations(place, inside).map((what) => `${name}: ${what}`));
    }
    return found;
  }

  private fieldDeviations(place: string, map: Body): string[] {
    const fields = this.fields.get(place);
    if (!fields || !this.hasFields(place)) return [];
    const unknown = Object.keys(map).filter((name) => !fields.known.has(name));
    const missing = [...fields.required].filter((name) => !(name in map));
    return [
      ...unknown.map((name) => `unknown field ${name}`),
      ...missing.map((name) => `no field ${name}`),
    ];
  }

  private isByName(place: string): boolean {
    return this.options.byName?.includes(place) ?? false;
  }

  private hasFields(place: string): boolean {
    return !this.isByName(place) && !this.isOpaque(place);
  }

  private isOpaque(place: string): boolean {
    return this.options.opaque?.includes(place) ?? false;
  }

  private *walk(value: unknown, place: string): Generator<readonly [string, unknown]> {
    yield [place, value];
    if (this.isOpaque(place)) return;
    if (Array.isArray(value)) {
      for (const entry of value as unknown[]) yield* this.walk(entry, `${place}[]`);
    } else if (isMap(value)) {
      const prefix = place === '' ? '' : `${place}.`;
      for (const [name, entry] of Object.entries(value))
        yield* this.walk(entry, prefix + (this.isByName(place) ? '*' : name));
    }
  }
}
