import type { Change, Changes, Item } from './client.js';
import type { Body } from '../wire/codec.js';

export interface Entry {
  value: Body;
  stamp: number;
}

type Listener = (key: string, value: Body | null) => void;

/**
 * This process's copy of the state service under one prefix. It holds everything up to `generation`,
 * plus own commits that the watch has yet to bring.
 */
export class Replica {
  generation = 0;
  /** Steady time at which the store last proved that nothing after `generation` was missing. */
  freshAt = -Infinity;
  private readonly entries = new Map<string, Entry>();
  /** Own deletions ahead of `generation`, so that an older put cannot bring the key back. */
  private readonly removed = new Map<string, number>();
  private whole = true;

  constructor(
    private readonly onChange: Listener,
    /** All changes that belong together have been told: what they make up is whole again. */
    private readonly onWhole: () => void,
  ) {}

  get(key: string): Entry | undefined {
    return this.entries.get(key);
  }

  stampOf(key: string): number {
    return this.entries.get(key)?.stamp ?? 0;
  }

  keys(): Iterable<string> {
    return this.entries.keys();
  }

  /**
   * Starts over from a full reading, whose parts are of different moments, together with all that was
   * changed since the first of them was read. Own commits confirmed after that stay: nothing goes back.
   */
  load(items: Item[], generation: number, asOf: number, since: Changes, sinceAsOf: number): void {
    const seen = new Set(items.map((item) => item.key));
    for (const [key, { stamp }] of [...this.entries])
      if (!seen.has(key) && stamp <= since.generation) this.drop(key);
    for (const { key, value, stamp } of items)
      if (stamp >= this.stampOf(key) && (this.removed.get(key) ?? 0) < stamp)
        this.set(key, value, stamp);
    this.generation = generation;
    this.freshAt = asOf;
    this.follow(since, sinceAsOf);
  }

  /** `asOf` is when the request left: what the answer says was true no earlier than that. */
  follow(changes: Changes, asOf: number): void {
    for (const event of changes.events) {
      if (event.stamp <= this.generation) continue;
      if ('delete' in event) {
        if (this.stampOf(event.delete) <= event.stamp) this.drop(event.delete);
      } else if (
        this.stampOf(event.put) < event.stamp &&
        (this.removed.get(event.put) ?? 0) < event.stamp
      ) {
        this.set(event.put, event.value, event.stamp);
      }
    }
    this.generation = Math.max(this.generation, changes.generation);
    this.freshAt = Math.max(this.freshAt, asOf);
    for (const [key, stamp] of this.removed) if (stamp <= this.generation) this.removed.delete(key);
    this.tell();
  }

  /** An own commit that the store has confirmed. */
  applied(apply: Change[], generation: number): void {
    if (generation <= this.generation) return;
    for (const change of apply) {
      if ('delete' in change) {
        if (this.stampOf(change.delete) > generation) continue;
        this.removed.set(change.delete, generation);
        this.drop(change.delete);
      } else if (this.stampOf(change.put) < generation) {
        this.set(change.put, change.value, generation);
      }
    }
    this.tell();
  }

  private tell(): void {
    if (this.whole) return;
    this.whole = true;
    this.onWhole();
  }

  private set(key: string, value: Body, stamp: number): void {
    this.entries.set(key, { value, stamp });
    this.whole = false;
    this.onChange(key, value);
  }

  private drop(key: string): void {
    if (!this.entries.delete(key)) return;
    this.whole = false;
    this.onChange(key, null);
  }
}
