import type { Clock } from '../clock.js';

/** After a refusal, the rate falls to this share of itself; a second without one adds the other to it. */
const FALL = 0.7;
const RISE = 0.1;
/** Seconds' worth that urgent callers may overdraw; more would keep the others from their work for too long. */
const DEBT_S = 2;

/**
 * A token bucket with one second's worth of burst. Urgent callers may overdraw it; the others then wait
 * longer. The rate is what this process takes of a limit that it shares with its peers: it rises while
 * nothing is refused, up to `most`, and falls with each refusal.
 */
export class RateLimiter {
  private tokens: number;
  private at: number;
  private rate: number;

  constructor(
    private readonly clock: Clock,
    private readonly share: number,
    private readonly most = share,
  ) {
    this.rate = share;
    this.tokens = share;
    this.at = clock.now();
  }

  take(count: number): void {
    this.refill();
    this.tokens = Math.max(this.tokens - count, -DEBT_S * this.share);
  }

  refused(): void {
    this.refill();
    this.rate = Math.max(this.share / 2, this.rate * FALL);
    this.tokens = Math.min(this.tokens, 0);
  }

  /** How long until `count` tokens are there; 0 when they are. */
  waitMs(count: number): number {
    this.refill();
    const missing = Math.min(count, this.rate) - this.tokens;
    // Whole milliseconds: a shorter wait may not move the clock at all, and its caller would spin.
    return missing <= 0 ? 0 : Math.ceil((missing / this.rate) * 1000);
  }

  private refill(): void {
    const now = this.clock.now();
    const seconds = (now - this.at) / 1000;
    this.tokens = Math.min(this.rate, this.tokens + seconds * this.rate);
    this.rate = Math.min(this.most, this.rate + seconds * RISE * this.share);
    this.at = now;
  }
}
