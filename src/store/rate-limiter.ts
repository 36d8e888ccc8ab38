/** Limits the rate of this process's calls to a service whose rate limit it shares with its peers. */
import type { Clock } from '../clock.js';

/** Factor that each refusal multiplies the rate by. */
const DECREASE_FACTOR = 0.7;
/** The rate rises by this fraction of the process's share each second. */
const INCREASE_RATIO_PER_SECOND = 0.1;
/** The rate does not fall below this fraction of the process's share. */
const MIN_RATE_RATIO = 0.5;
/**
 * Urgent callers may overdraw the bucket by at most this many seconds' worth of tokens; more would starve the others.
 */
const MAX_OVERDRAFT_SECONDS = 2;

const MS_PER_SECOND = 1000;

/**
 * A token bucket that holds one second's worth of tokens. Urgent callers may overdraw it; the others then wait longer.
 * Its rate is the part of the shared limit that this process uses: it rises while no request is refused, and falls with
 * each refusal (additive increase, multiplicative decrease).
 */
export class RateLimiter {
  private tokens: number;
  private refilledAtMs: number;
  /** Tokens per second. */
  private rate: number;

  constructor(
    private readonly clock: Clock,
    /** This process's share of the limit, in requests per second. */
    private readonly share: number,
    /** Maximum rate while no request is refused, in requests per second. */
    private readonly maxRate = share,
  ) {
    this.rate = share;
    this.tokens = share;
    this.refilledAtMs = clock.now();
  }

  /** Takes tokens, overdrawing the bucket (up to its limit) if there are too few. */
  take(count: number): void {
    this.refill();
    this.tokens = Math.max(this.tokens - count, -MAX_OVERDRAFT_SECONDS * this.share);
  }

  /** Lowers the rate, because the service has refused a request that exceeded its limit. */
  recordRefusal(): void {
    this.refill();
    this.rate = Math.max(this.share * MIN_RATE_RATIO, this.rate * DECREASE_FACTOR);
    this.tokens = Math.min(this.tokens, 0);
  }

  /** Milliseconds until `count` tokens are available; 0 if they are available now. */
  waitMs(count: number): number {
    this.refill();
    const missing = Math.min(count, this.rate) - this.tokens;
    // Rounded up to whole milliseconds: the clock may not advance during a shorter wait, and the caller would spin.
    return missing <= 0 ? 0 : Math.ceil((missing / this.rate) * MS_PER_SECOND);
  }

  private refill(): void {
    const now = this.clock.now();
    const seconds = (now - this.refilledAtMs) / MS_PER_SECOND;
    this.tokens = Math.min(this.rate, this.tokens + seconds * this.rate);
    const increase = seconds * INCREASE_RATIO_PER_SECOND * this.share;
    this.rate = Math.min(this.maxRate, this.rate + increase);
    this.refilledAtMs = now;
  }
}
