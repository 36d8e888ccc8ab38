import type { Write, Changes, Event, Item } from './client.js';
import type { Body } from '../wire/codec.js';

export interface Entry {
  value: Body;
  modRevision: number;
}

/** Keys that have changed since the last call. */
export type ChangedKeys = ReadonlySet<string>;

/** What the last change of a key left behind; a null value: it was deleted. */
interface Final {
  value: Body | null;
  modRevision: number;
}

/**
 * This process's copy of the state service under one prefix. It holds everything up to `generation`,
 * plus own commits that the watch has yet to bring.
 *
 * Of each reading, answer or commit only the last change of a key is taken up, by its stamp. So whoever derives
 * anything from the records sees them as they are, and never a value that had been replaced when it arrived.
 */
export class Replica {
  revision = 0;
  /** Steady time at which the store last proved that nothing after `generation` was missing. */
  freshAt = -Infinity;
  private readonly entries = new Map<string, Entry>();
  /** Own deletions ahead of `generation`, so that an older put cannot bring the key back. */
  private readonly removed = new Map<string, number>();
  private readonly changed = new Set<string>();

  constructor(
    /** Told once all changes that belong together are in. */
    private readonly onWhole: (changed: ChangedKeys) => void,
    /** Records of these keys are told of and not kept: there is one for each job that ever ended. */
    private readonly passes: (key: string) => boolean = () => false,
  ) {}

  get(key: string): Entry | undefined {
    return this.entries.get(key);
  }

  modRevisionOf(key: string): number {
    return this.entries.get(key)?.modRevision ?? 0;
  }

  keys(): Iterable<string> {
    return this.entries.keys();
  }

  records(): Iterable<[string, Entry]> {
    return this.entries;
  }

  /**
   * Starts over from a full reading, whose parts are of different moments, together with all that was
   * changed since the first of them was read. Own commits confirmed after that stay. False, and nothing
   * changed, if this replica is further on than the reading: going back would lose what came in between.
   */
  load(items: Item[], asOf: number, since: Changes, sinceAsOf: number): boolean {
    if (since.revision < this.revision) return false;
    const finals = new Map<string, Final>();
    for (const { key, value, modRevision: stamp } of items)
      note(finals, key, { value, modRevision: stamp });
    for (const event of since.events) noteEvent(finals, event);
    for (const [key, { modRevision: stamp }] of [...this.entries])
      if (!finals.has(key) && stamp <= since.revision) this.drop(key);
    for (const [key, final] of finals) this.take(key, final);
    this.reached(since.revision, Math.max(asOf, sinceAsOf));
    return true;
  }

  /** `asOf` is when the request left: what the answer says was true no earlier than that. */
  follow(changes: Changes, asOf: number): void {
    const finals = new Map<string, Final>();
    for (const event of changes.events)
      if (event.modRevision > this.revision) noteEvent(finals, event);
    for (const [key, final] of finals) this.take(key, final);
    this.reached(changes.revision, asOf);
  }

  /** An own commit that the store has confirmed. */
  applied(apply: Write[], generation: number): void {
    if (generation <= this.revision) return;
    for (const change of apply)
      if ('delete' in change) {
        if (this.modRevisionOf(change.delete) <= generation)
          this.removed.set(change.delete, generation);
        this.take(change.delete, { value: null, modRevision: generation });
      } else this.take(change.put, { value: change.value, modRevision: generation });
    this.tell();
  }

  private reached(generation: number, asOf: number): void {
    this.revision = Math.max(this.revision, generation);
    this.freshAt = Math.max(this.freshAt, asOf);
    for (const [key, stamp] of this.removed) if (stamp <= this.revision) this.removed.delete(key);
    this.tell();
  }

  /** Takes up the last change of a key, unless what is held is newer. */
  private take(key: string, { value, modRevision: stamp }: Final): void {
    if (value === null) {
      if (this.modRevisionOf(key) <= stamp) this.drop(key);
    } else if (this.modRevisionOf(key) < stamp && (this.removed.get(key) ?? 0) < stamp) {
      this.changed.add(key);
      this.entries.set(key, { value, modRevision: stamp });
    }
  }

  private drop(key: string): void {
    if (this.entries.delete(key)) this.changed.add(key);
  }

  private tell(): void {
    if (this.changed.size === 0) return;
    const changed = new Set(this.changed);
    this.changed.clear();
    this.onWhole(changed);
    for (const key of changed) if (this.passes(key)) this.entries.delete(key);
  }
}

/** The state service may name the changes of an answer in any order; their stamps say which came last. */
function note(finals: Map<string, Final>, key: string, final: Final): void {
  const known = finals.get(key);
  if (!known || known.modRevision < final.modRevision) finals.set(key, final);
}

function noteEvent(finals: Map<string, Final>, event: Event): void {
  if ('delete' in event)
    note(finals, event.delete, { value: null, modRevision: event.modRevision });
  else note(finals, event.put, { value: event.value, modRevision: event.modRevision });
}
