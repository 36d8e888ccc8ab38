/** Limits how often this process calls a service whose limit it shares with its peers. */
import type { Clock } from '../clock.js';

/** A refusal multiplies the rate by this. */
const DECREASE_FACTOR = 0.7;
/** The rate rises by this part of the process's share each second. */
const INCREASE_PER_SECOND = 0.1;
/** The rate does not fall below this part of the process's share. */
const MIN_RATE_RATIO = 0.5;
/** Urgent callers may overdraw the bucket by this many seconds' worth of tokens; more would starve the others. */
const MAX_OVERDRAFT_SECONDS = 2;

const MS_PER_SECOND = 1000;

/**
 * A token bucket that holds one second's worth of tokens. Urgent callers may overdraw it; the others then wait longer.
 * Its rate is what this process takes of the shared limit: it rises while nothing is refused, and falls with each refusal
 * (additive increase, multiplicative decrease).
 */
export class RateLimiter {
  private tokens: number;
  private refilledAtMs: number;
  /** Tokens a second. */
  private rate: number;

  constructor(
    private readonly clock: Clock,
    /** This process's share of the limit, in requests a second. */
    private readonly share: number,
    /** What it may take while nothing is refused, in requests a second. */
    private readonly maxRate = share,
  ) {
    this.rate = share;
    this.tokens = share;
    this.refilledAtMs = clock.now();
  }

  /** Takes tokens, and overdraws the bucket if there are too few. */
  take(count: number): void {
    this.refill();
    this.tokens = Math.max(this.tokens - count, -MAX_OVERDRAFT_SECONDS * this.share);
  }

  /** Slows down: the service has refused a request because of its limit. */
  refused(): void {
    this.refill();
    this.rate = Math.max(this.share * MIN_RATE_RATIO, this.rate * DECREASE_FACTOR);
    this.tokens = Math.min(this.tokens, 0);
  }

  /** Milliseconds until there are `count` tokens; 0 if there are. */
  waitMs(count: number): number {
    this.refill();
    const missing = Math.min(count, this.rate) - this.tokens;
    // Whole milliseconds: a shorter wait may not move the clock at all, and its caller would spin.
    return missing <= 0 ? 0 : Math.ceil((missing / this.rate) * MS_PER_SECOND);
  }

  private refill(): void {
    const now = this.clock.now();
    const seconds = (now - this.refilledAtMs) / MS_PER_SECOND;
    this.tokens = Math.min(this.rate, this.tokens + seconds * this.rate);
    const increase = seconds * INCREASE_PER_SECOND * this.share;
    this.rate = Math.min(this.maxRate, this.rate + increase);
    this.refilledAtMs = now;
  }
}
