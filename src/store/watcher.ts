/** Keeps the replica up to date by a watch, and confirms that it is current when a request needs that. */
import { sleep, within, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import { NoAnswer } from '../wire/client.js';
import type { Changes, StoreClient } from './client.js';
import { ReadingOvertaken } from './errors.js';
import { PREFIX, READ_PREFIXES } from './records/index.js';
import type { State } from './state.js';

/** What a `ReplicaWatcher` works with. */
export interface WatcherDependencies {
  store: StoreClient;
  /** The state whose replica is kept up to date. */
  state: State;
  clock: Clock;
  log: Log;
  metrics: Metrics;
}

/** Times of a `ReplicaWatcher`, in milliseconds. */
export interface WatcherOptions {
  /** How long a watch stays open while nothing changes. */
  blockMs: number;
  /** Pause after a failure. */
  pauseMs: number;
  /** Least time between two watches, and between two confirmations that users wait for. */
  minIntervalMs: number;
}

/** A question whether the replica is current, shared by all who ask before a request for it is sent. */
interface Confirmation {
  /** False if the store did not confirm it. */
  result: Promise<boolean>;
  resolve(isCurrent: boolean): void;
}

/** Follows the state service. */
export class ReplicaWatcher {
  private readonly store: StoreClient;
  private readonly state: State;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly metrics: Metrics;
  /** The confirmation that no request has been sent for yet. */
  private waiting: Confirmation | null = null;
  /** The request that was sent for a confirmation alone, beside the watch. */
  private separateRequest: Promise<boolean> | null = null;
  private stopped = false;
  /** Whether a full reading has succeeded. */
  isLoaded = false;

  constructor(
    { store, state, clock, log, metrics }: WatcherDependencies,
    private readonly options: WatcherOptions,
  ) {
    this.store = store;
    this.state = state;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Reads all records and applies them; until that has succeeded, what is held stays as it is. */
  async load(): Promise<void> {
    try {
      await this.readAll();
      this.metrics.readings.inc('done');
    } catch (error) {
      this.metrics.readings.inc('failed');
      throw error;
    }
  }

  /** Reads everything anew beside the watch; false if that failed. */
  async reread(): Promise<boolean> {
    try {
      await this.load();
      return true;
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      this.log.info({ err: error }, 'full reading failed');
      return false;
    }
  }

  /** Follows the watch until stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.isLoaded) await this.watchOnce();
        else await this.load();
      } catch (error) {
        this.logInterruption(error);
        await sleep(this.clock, this.options.pauseMs);
      }
    }
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
    this.waiting ??= this.newConfirmation();
    return within(this.clock, timeoutMs, this.waiting.result, false);
  }

  /** The same at once and for this caller alone, after a conflict has shown that the replica is behind. */
  catchUp(timeoutMs: number): Promise<boolean> {
    return within(this.clock, timeoutMs, this.fetchCurrent(), false);
  }

  private async readAll(): Promise<void> {
    const startedAt = this.clock.now();
    const parts = [];
    for (const prefix of READ_PREFIXES) parts.push(await this.store.list(prefix));
    const fromRevision = Math.min(...parts.map((part) => part.revision));
    const items = parts.flatMap((part) => part.items);
    // The parts are of different moments: a job of one and the allocations of a later one, put together, may
    // show a task done that is waiting again. What came in between is applied in the same step. A watch that was
    // answered meanwhile may have brought the replica further: then the changes are asked for once more.
    let changes: Changes;
    let changesReadAt: number;
    do {
      changesReadAt = this.clock.now();
      changes = await this.changesSinceReading(fromRevision);
    } while (!this.state.replica.load(items, startedAt, changes, changesReadAt));
    this.log.info(
      {
        fromRevision,
        revision: changes.revision,
        records: items.length,
        changes: changes.events.length,
        tookMs: Math.round(this.clock.now() - startedAt),
      },
      'full reading completed',
    );
    this.isLoaded = true;
  }

  private async changesSinceReading(fromRevision: number): Promise<Changes> {
    const changes = await this.store.changes(PREFIX, fromRevision, 0);
    if (!changes) throw new ReadingOvertaken(fromRevision);
    return changes;
  }

  private async watchOnce(): Promise<void> {
    const startedAt = this.clock.now();
    await this.fetchForWatch();
    // Frequent changes are fetched in batches: each watch counts as a request.
    const pauseMs = this.options.minIntervalMs - (this.clock.now() - startedAt);
    if (pauseMs > 0) await sleep(this.clock, pauseMs);
  }

  /** A request sent after somebody asked for a confirmation is their confirmation too; it must not wait for changes. */
  private async fetchForWatch(): Promise<void> {
    const { waiting } = this;
    if (!waiting) return this.fetchChanges(this.options.blockMs);
    this.waiting = null;
    waiting.resolve(await this.fetchCurrent());
  }

  /** Served by the next request of the watch, or by one of its own if the watch stays open for longer. */
  private newConfirmation(): Confirmation {
    let resolve: Confirmation['resolve'] = () => undefined;
    const result = new Promise<boolean>((done) => (resolve = done));
    const confirmation = { result, resolve };
    this.clock.after(this.options.minIntervalMs, () => void this.confirmSeparately(confirmation));
    return confirmation;
  }

  /** Sends one such request at a time, so that a store that does not answer is not asked more often for it. */
  private async confirmSeparately(confirmation: Confirmation): Promise<void> {
    while (this.separateRequest && this.waiting === confirmation) await this.separateRequest;
    if (this.waiting !== confirmation) return;
    this.waiting = null;
    this.separateRequest = this.fetchCurrent();
    confirmation.resolve(await this.separateRequest);
    this.separateRequest = null;
  }

  /** Brings the replica up to the present; false if that failed. */
  private async fetchCurrent(): Promise<boolean> {
    try {
      await this.fetchChanges(0);
      return true;
    } catch (error) {
      this.log.debug({ err: error }, 'replica not confirmed current');
      return false;
    }
  }

  private async fetchChanges(blockMs: number): Promise<void> {
    const sentAt = this.clock.now();
    const changes = await this.store.changes(PREFIX, this.state.replica.revision, blockMs);
    if (changes) this.state.replica.follow(changes, sentAt);
    else await this.load();
  }

  private logInterruption(error: unknown): void {
    if (error instanceof NoAnswer) this.log.info({ err: error }, 'watch interrupted');
    else this.log.error({ err: error }, 'watch failed');
  }
}
