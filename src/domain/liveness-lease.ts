/** The lease that shows the other controllers that this one is alive. */
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { StoreClient } from '../store/client.js';
import { NoAnswer } from '../wire/client.js';

/** Durations of the lease. */
export interface LivenessLeaseOptions {
  /** Time between two renewals, in milliseconds. */
  renewMs: number;
  /** How long the lease lasts from its last renewal, in milliseconds. */
  leaseMs: number;
}

/** Acquires the lease at the state service and renews it. */
export class LivenessLease {
  private leaseId: number | null = null;
  /**
   * By this process's clock. Counted from before the request was sent, so the lease expires here before it expires in the
   * store.
   */
  private validUntil = -Infinity;
  private stopped = false;

  constructor(
    private readonly options: LivenessLeaseOptions,
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Id of the lease at the state service, or null if there is none. */
  get id(): number | null {
    return this.leaseId;
  }

  get isValid(): boolean {
    return this.clock.now() < this.validUntil;
  }

  /** Time left, in milliseconds. */
  get remainingMs(): number {
    return Math.max(0, this.validUntil - this.clock.now());
  }

  /** Called when the state service no longer has the lease: the next renewal requests a new one. */
  discard(): void {
    this.leaseId = null;
  }

  /** Renews the lease until `stop`; calls `onGranted` after each new lease. */
  async renewLoop(onGranted: () => void): Promise<void> {
    while (!this.stopped) {
      const startedAt = this.clock.now();
      const shouldWait = await this.renew(startedAt, onGranted);
      if (shouldWait)
        await sleep(this.clock, this.options.renewMs - (this.clock.now() - startedAt));
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /**
   * Extends the lease, or requests one if there is none. Returns false if the lease has expired and a new one must be
   * requested at once.
   */
  private async renew(startedAt: number, onGranted: () => void): Promise<boolean> {
    const { renewMs, leaseMs } = this.options;
    try {
      if (this.leaseId === null) {
        this.leaseId = await this.store.newLease(leaseMs);
        this.validUntil = startedAt + leaseMs;
        onGranted();
        return true;
      }
      const isExtended = await this.store.extendLease(this.leaseId, renewMs);
      if (isExtended) {
        this.validUntil = startedAt + leaseMs;
        return true;
      }
      this.log.info('liveness lease expired');
      this.leaseId = null;
      return false;
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      this.log.info({ err: error }, 'lease renewal failed');
      return true;
    }
  }
}
