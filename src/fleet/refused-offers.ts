/** Which offers of the cloud are not worth requesting, because it had no capacity for them recently. */
import type { Clock } from '../clock.js';

/** After its first refusal an offer is requested again after this many list lags. */
const MIN_BACKOFF_LAGS = 2;
/** Each further refusal doubles the backoff, up to this many list lags. */
const MAX_BACKOFF_LAGS = 16;

interface Refusal {
  /** When the offer may be requested again, on the steady clock in milliseconds. */
  retryAt: number;
  backoffLags: number;
}

/** Exponential backoff for each offer. */
export class RefusedOffers {
  private readonly refusals = new Map<string, Refusal>();

  constructor(
    private readonly clock: Clock,
    /** How far the cloud's machine list lags behind, in milliseconds. */
    private readonly listLagMs: number,
  ) {}

  /** An offer was requested. Fewer machines than requested show that there are no more. */
  recordAnswer(offer: string, requested: number, received: number): void {
    if (received >= requested) {
      this.refusals.delete(offer);
      return;
    }
    // With a constant backoff, the cheaper offers of a long list would be retried before the dearer ones are tried.
    const previous = received > 0 ? undefined : this.refusals.get(offer);
    const backoffLags = previous
      ? Math.min(previous.backoffLags * 2, MAX_BACKOFF_LAGS)
      : MIN_BACKOFF_LAGS;
    const retryAt = this.clock.now() + backoffLags * this.listLagMs;
    this.refusals.set(offer, { retryAt, backoffLags });
  }

  /** Offers that are not to be requested now. */
  current(): ReadonlySet<string> {
    const now = this.clock.now();
    const waiting = [...this.refusals].filter(([, { retryAt }]) => retryAt > now);
    return new Set(waiting.map(([offer]) => offer));
  }
}
