/** This process's replica of the records in the state service. */
import type { Body } from '../wire/codec.js';
import type { Changes, Event, Item, Write } from './client.js';

/** A record in the replica. */
export interface Entry {
  value: Body;
  /** Revision at which it was last modified. */
  modRevision: number;
}

/** Keys that have changed since `onChange` was last called. */
export type ChangedKeys = ReadonlySet<string>;

/** The last change of a key. A null value means that it was deleted. */
interface LastChange {
  value: Body | null;
  modRevision: number;
}

/**
 * Holds every record up to `revision`, and own commits that the watch has not delivered yet.
 *
 * Of the changes in a full read, watch answer or commit, only the last one of each key, by revision, is applied. Code
 * that derives data from the records therefore never sees a value that had already been replaced when it arrived.
 */
export class Replica {
  /** Revision up to which the replica is complete. */
  revision = 0;
  /** Monotonic time, in milliseconds, at which the store last confirmed that no change up to `revision` was missing. */
  lastConfirmedAt = -Infinity;
  private readonly entries = new Map<string, Entry>();
  /** Revisions of own deletions after `revision`, by key. They keep an older write from restoring the key. */
  private readonly ownDeletions = new Map<string, number>();
  /** Keys that changed and have not been passed to `onChange` yet. */
  private readonly changed = new Set<string>();

  constructor(
    /** Called once all changes that belong together are applied. */
    private readonly onChange: (changed: ChangedKeys) => void,
    /**
     * Records with these keys are passed to `onChange` but not kept: there is one for each job that ever ended.
     */
    private readonly isTransient: (key: string) => boolean = () => false,
  ) {}

  get(key: string): Entry | undefined {
    return this.entries.get(key);
  }

  /** Revision at which a key was last modified; 0 if it does not exist. */
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
   * Replaces the content by a full read, whose parts were read at different times, together with all changes since the
   * earliest part. Own commits at later revisions are kept. Returns false, and changes nothing, if the replica is
   * already at a later revision than the full read: going back would lose the changes in between.
   *
   * `readAt` and `changesReadAt` are the times at which the two requests were sent.
   */
  load(items: Item[], readAt: number, since: Changes, changesReadAt: number): boolean {
    if (since.revision < this.revision) return false;
    const lastChanges = new Map<string, LastChange>();
    for (const { key, value, modRevision } of items)
      keepLast(lastChanges, key, { value, modRevision });
    for (const event of since.events) keepLastEvent(lastChanges, event);
    for (const [key, { modRevision }] of [...this.entries])
      if (!lastChanges.has(key) && modRevision <= since.revision) this.remove(key);
    for (const [key, change] of lastChanges) this.apply(key, change);
    this.advance(since.revision, Math.max(readAt, changesReadAt));
    return true;
  }

  /**
   * Applies the answer to a watch request. `sentAt` is the time at which the request was sent; the answer reflects the
   * state of the store at that time or later.
   */
  applyChanges(changes: Changes, sentAt: number): void {
    const lastChanges = new Map<string, LastChange>();
    for (const event of changes.events)
      if (event.modRevision > this.revision) keepLastEvent(lastChanges, event);
    for (const [key, change] of lastChanges) this.apply(key, change);
    this.advance(changes.revision, sentAt);
  }

  /** Applies a commit of this process that the store has confirmed at a revision. */
  applyOwnCommit(writes: Write[], revision: number): void {
    if (revision <= this.revision) return;
    for (const write of writes)
      if ('delete' in write) {
        if (this.modRevisionOf(write.delete) <= revision)
          this.ownDeletions.set(write.delete, revision);
        this.apply(write.delete, { value: null, modRevision: revision });
      } else this.apply(write.put, { value: write.value, modRevision: revision });
    this.notify();
  }

  private advance(revision: number, confirmedAt: number): void {
    this.revision = Math.max(this.revision, revision);
    this.lastConfirmedAt = Math.max(this.lastConfirmedAt, confirmedAt);
    for (const [key, deletedAt] of this.ownDeletions)
      if (deletedAt <= this.revision) this.ownDeletions.delete(key);
    this.notify();
  }

  /** Applies the last change of a key, unless the replica already has a newer one. */
  private apply(key: string, { value, modRevision }: LastChange): void {
    if (value === null) {
      if (this.modRevisionOf(key) <= modRevision) this.remove(key);
      return;
    }
    const isNewer =
      this.modRevisionOf(key) < modRevision && (this.ownDeletions.get(key) ?? 0) < modRevision;
    if (!isNewer) return;
    this.changed.add(key);
    this.entries.set(key, { value, modRevision });
  }

  private remove(key: string): void {
    if (this.entries.delete(key)) this.changed.add(key);
  }

  private notify(): void {
    if (this.changed.size === 0) return;
    const changed = new Set(this.changed);
    this.changed.clear();
    this.onChange(changed);
    for (const key of changed) if (this.isTransient(key)) this.entries.delete(key);
  }
}

/** Keeps the change with the highest revision: the state service may list the changes of an answer in any order. */
function keepLast(lastChanges: Map<string, LastChange>, key: string, change: LastChange): void {
  const known = lastChanges.get(key);
  if (!known || known.modRevision < change.modRevision) lastChanges.set(key, change);
}

function keepLastEvent(lastChanges: Map<string, LastChange>, event: Event): void {
  const { modRevision } = event;
  if ('delete' in event) keepLast(lastChanges, event.delete, { value: null, modRevision });
  else keepLast(lastChanges, event.put, { value: event.value, modRevision });
}
