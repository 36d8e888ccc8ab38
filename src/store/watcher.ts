import { PREFIX, READ_PREFIXES } from './records/index.js';
import { sleep, within, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import { NoAnswer } from '../wire/client.js';
import type { StoreClient } from './client.js';
import type { State } from './state.js';

/** A question whether the replica is current that no request has left for yet. */
interface Asked {
  proof: Promise<boolean>;
  resolve(current: boolean): void;
}

/** Keeps the replica up to date by a watch, and proves it current when a request asks. */
export class ReplicaWatcher {
  private next: Asked | null = null;
  private alone: Promise<boolean> | null = null;
  private stopped = false;
  isLoaded = false;

  constructor(
    private readonly store: StoreClient,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly log: Log,
    /** `gapMs`: the least time between two watches, and between two proofs that users wait for. */
    private readonly figures: { blockMs: number; pauseMs: number; gapMs: number },
    private readonly metrics: Metrics,
  ) {}

  /** Reads all records and takes them up; until that has succeeded, what is held stays as it is. */
  async load(): Promise<void> {
    try {
      await this.readAll();
      this.metrics.readings.inc('done');
    } catch (error) {
      this.metrics.readings.inc('failed');
      throw error;
    }
  }

  private async readAll(): Promise<void> {
    const asOf = this.clock.now();
    const parts = [];
    for (const prefix of READ_PREFIXES) parts.push(await this.store.list(prefix));
    const revision = Math.min(...parts.map((part) => part.revision));
    const items = parts.flatMap((part) => part.items);
    // The parts are of different moments: a job of one and the allocations of a later one, put together, may
    // show a task done that is waiting again. What came in between is taken up in the same step. A watch that
    // was answered meanwhile may have brought the replica further: then the changes are asked for once more.
    for (;;) {
      const between = this.clock.now();
      const changes = await this.store.changes(PREFIX, revision, 0);
      if (!changes) throw new NoAnswer('too many changes while reading');
      if (!this.state.replica.load(items, asOf, changes, between)) continue;
      const tookMs = Math.round(this.clock.now() - asOf);
      const facts = { fromRevision: revision, revision: changes.revision, records: items.length };
      this.log.info({ ...facts, changes: changes.events.length, tookMs }, 'full reading');
      break;
    }
    this.isLoaded = true;
  }

  /** Reads everything anew beside the watch; false if that failed. */
  async reread(): Promise<boolean> {
    try {
      await this.load();
      return true;
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      this.log.info({ err: error.message }, 'full reading failed');
      return false;
    }
  }

  /** Follows the watch until stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (!this.isLoaded) {
          await this.load();
        } else {
          const from = this.clock.now();
          await this.round();
          // Changes that come thick are taken in bunches: each opened watch is charged as a request.
          const rest = this.figures.gapMs - (this.clock.now() - from);
          if (rest > 0) await sleep(this.clock, rest);
        }
      } catch (error) {
        this.log.info({ err: (error as Error).message }, 'watch interrupted');
        await sleep(this.clock, this.figures.pauseMs);
      }
    }
  }

  /** A request that leaves after somebody asked for proof is their proof too; it must not block for changes. */
  private async round(): Promise<void> {
    if (!this.next) return this.take(this.figures.blockMs);
    const { next } = this;
    this.next = null;
    next.resolve(await this.prove());
  }

  stop(): void {
    this.stopped = true;
  }

  /**
   * True once the replica holds all that was committed before this call; false when the store did not
   * say so in time. Callers that wait at the same time share one request.
   */
  async confirmCurrent(timeoutMs: number): Promise<boolean> {
    if (!this.isLoaded) return false;
    const next = (this.next ??= this.ask());
    return within(this.clock, timeoutMs, next.proof, false);
  }

  /** The same at once and for this caller alone, after a conflict has shown that the replica is behind. */
  catchUp(timeoutMs: number): Promise<boolean> {
    return within(this.clock, timeoutMs, this.prove(), false);
  }

  /** Those who ask are served by the next request of the watch, or by one of their own if it blocks for longer. */
  private ask(): Asked {
    let resolve: Asked['resolve'] = () => undefined;
    const proof = new Promise<boolean>((done) => (resolve = done));
    const asked = { proof, resolve };
    this.clock.after(this.figures.gapMs, () => void this.proveAlone(asked));
    return asked;
  }

  /** One such request at a time: a store that does not answer must not be asked more for it. */
  private async proveAlone(asked: Asked): Promise<void> {
    while (this.alone && this.next === asked) await this.alone;
    if (this.next !== asked) return;
    this.next = null;
    this.alone = this.prove();
    asked.resolve(await this.alone);
    this.alone = null;
  }

  private async prove(): Promise<boolean> {
    try {
      await this.take(0);
      return true;
    } catch (error) {
      this.log.debug({ err: (error as Error).message }, 'no proof that the replica is current');
      return false;
    }
  }

  private async take(blockMs: number): Promise<void> {
    const asOf = this.clock.now();
    const changes = await this.store.changes(PREFIX, this.state.replica.revision, blockMs);
    if (changes) this.state.replica.follow(changes, asOf);
    else await this.load();
  }
}
