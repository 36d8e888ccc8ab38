/** Offers that are not requested for a while because the cloud recently had no capacity for them. */
import type { Clock } from '../clock.js';

/** Backoff after the first refusal of an offer, in list lags. */
const MIN_BACKOFF_LAGS = 2;
/** Maximum backoff in list lags; each further refusal doubles the backoff up to this. */
const MAX_BACKOFF_LAGS = 16;

interface Refusal {
  /** When the offer may be requested again, in milliseconds of the monotonic clock. */
  retryAt: number;
  backoffLags: number;
}

/** Keeps an exponential backoff for each refused offer. */
export class RefusedOffers {
  private readonly refusals = new Map<string, Refusal>();

  constructor(
    private readonly clock: Clock,
    /** How far the cloud's machine list lags behind, in milliseconds. */
    private readonly listLagMs: number,
  ) {}

  /** Records the answer to a request. Fewer machines than requested mean that the cloud has no more of them now. */
  recordAnswer(offer: string, requested: number, received: number): void {
    if (received >= requested) {
      this.refusals.delete(offer);
      return;
    }
    // The backoff grows because offers are tried from the cheapest up: with a constant backoff, the cheaper offers of a
    // long list would be retried before the more expensive ones had been tried.
    const previous = received > 0 ? undefined : this.refusals.get(offer);
    const backoffLags = previous
      ? Math.min(previous.backoffLags * 2, MAX_BACKOFF_LAGS)
      : MIN_BACKOFF_LAGS;
    const retryAt = this.clock.now() + backoffLags * this.listLagMs;
    this.refusals.set(offer, { retryAt, backoffLags });
  }

  /** Keys of the offers that must not be requested now. */
  current(): ReadonlySet<string> {
    const now = this.clock.now();
    const waiting = [...this.refusals].filter(([, { retryAt }]) => retryAt > now);
    return new Set(waiting.map(([offer]) => offer));
  }
}
