/** Keeps the replica up to date with a watch, and confirms that it is current for linearizable reads (read barrier). */
import { sleep, withTimeout, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import { NoAnswer } from '../wire/client.js';
import type { Changes, StoreClient } from './client.js';
import { ReadingOvertaken } from './errors.js';
import { KEY_PREFIX, READ_PREFIXES } from './records/index.js';
import type { State } from './state.js';

/** Dependencies of a `ReplicaWatcher`. */
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
  /** Maximum time that a watch stays open while nothing changes. */
  blockMs: number;
  /** Pause after a failure. */
  pauseMs: number;
  /** Minimum time between two watch requests, and between two confirmations that users wait for. */
  minIntervalMs: number;
}

/** A pending confirmation that the replica is current, shared by all callers that ask before its request is sent. */
interface Confirmation {
  /** False if the store did not confirm it. */
  result: Promise<boolean>;
  resolve(isCurrent: boolean): void;
}

/** Follows the changes of the state service and applies them to the replica. */
export class ReplicaWatcher {
  private readonly store: StoreClient;
  private readonly state: State;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly metrics: Metrics;
  /** The confirmation whose request has not been sent yet. */
  private pendingConfirmation: Confirmation | null = null;
  /** The request in flight that was sent only for a confirmation, in parallel to the watch. */
  private separateRequest: Promise<boolean> | null = null;
  private stopped = false;
  /** Whether a full read has succeeded. */
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

  /** Reads all records and applies them. The replica does not change until the full read has succeeded. */
  async load(): Promise<void> {
    try {
      await this.readAll();
      this.metrics.fullReads.inc('done');
    } catch (error) {
      this.metrics.fullReads.inc('failed');
      throw error;
    }
  }

  /** Performs another full read, in parallel to the watch. Returns false if it failed. */
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

  /** Performs the first full read, then watches for changes until stopped. */
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
   * Resolves to true once the replica contains everything that was committed before this call, or to false if the store
   * did not confirm that in time. Callers that wait at the same time share one request.
   */
  async confirmCurrent(timeoutMs: number): Promise<boolean> {
    if (!this.isLoaded) return false;
    this.pendingConfirmation ??= this.newConfirmation();
    return withTimeout(this.clock, timeoutMs, this.pendingConfirmation.result, false);
  }

  /** The same with an immediate, separate request. Used after a conflict has shown that the replica is behind. */
  catchUp(timeoutMs: number): Promise<boolean> {
    return withTimeout(this.clock, timeoutMs, this.fetchCurrent(), false);
  }

  private async readAll(): Promise<void> {
    const startedAt = this.clock.now();
    const parts = [];
    for (const prefix of READ_PREFIXES) parts.push(await this.store.list(prefix));
    const fromRevision = Math.min(...parts.map((part) => part.revision));
    const items = parts.flatMap((part) => part.items);
    // The parts were read at different times. A job from one part combined with allocations from a later part may show
    // a task as done that is waiting again. The changes in between are therefore applied in the same step. If a watch
    // has meanwhile advanced the replica beyond these changes, the changes are requested again.
    let changes: Changes;
    let changesReadAt: number;
    do {
      changesReadAt = this.clock.now();
      changes = await this.changesSinceFullRead(fromRevision);
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

  private async changesSinceFullRead(fromRevision: number): Promise<Changes> {
    const changes = await this.store.changes(KEY_PREFIX, fromRevision, 0);
    if (!changes) throw new ReadingOvertaken(fromRevision);
    return changes;
  }

  private async watchOnce(): Promise<void> {
    const startedAt = this.clock.now();
    await this.fetchForWatch();
    // The pause makes frequent changes arrive in batches: each watch counts as a request to the store.
    const pauseMs = this.options.minIntervalMs - (this.clock.now() - startedAt);
    if (pauseMs > 0) await sleep(this.clock, pauseMs);
  }

  /**
   * Any request sent after a confirmation was asked for can serve as that confirmation, but must not wait for changes.
   */
  private async fetchForWatch(): Promise<void> {
    const { pendingConfirmation } = this;
    if (!pendingConfirmation) return this.fetchChanges(this.options.blockMs);
    this.pendingConfirmation = null;
    pendingConfirmation.resolve(await this.fetchCurrent());
  }

  /** Confirmed by the next watch request, or by a separate request if the current watch stays open for longer. */
  private newConfirmation(): Confirmation {
    let resolve: Confirmation['resolve'] = () => undefined;
    const result = new Promise<boolean>((done) => (resolve = done));
    const confirmation = { result, resolve };
    this.clock.after(this.options.minIntervalMs, () => void this.confirmSeparately(confirmation));
    return confirmation;
  }

  /** Sends at most one separate request at a time, so that a store that does not answer is not sent more requests. */
  private async confirmSeparately(confirmation: Confirmation): Promise<void> {
    while (this.separateRequest && this.pendingConfirmation === confirmation)
      await this.separateRequest;
    if (this.pendingConfirmation !== confirmation) return;
    this.pendingConfirmation = null;
    this.separateRequest = this.fetchCurrent();
    confirmation.resolve(await this.separateRequest);
    this.separateRequest = null;
  }

  /** Brings the replica up to date. Returns false if that failed. */
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
    const changes = await this.store.changes(KEY_PREFIX, this.state.replica.revision, blockMs);
    if (changes) this.state.replica.applyChanges(changes, sentAt);
    else await this.load();
  }

  private logInterruption(error: unknown): void {
    if (error instanceof NoAnswer) this.log.info({ err: error }, 'watch interrupted');
    else this.log.error({ err: error }, 'watch failed');
  }
}
