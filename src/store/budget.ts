import type { Clock } from '../clock.js';

/** A token bucket with one second's worth of burst. Urgent callers may overdraw it; the others then wait longer. */
export class Budget {
  private tokens: number;
  private at: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst = perSecond,
  ) {
    this.tokens = burst;
    this.at = clock.now();
  }

  take(count: number): void {
    this.refill();
    this.tokens -= count;
  }

  /** How long until `count` tokens are there; 0 when they are. */
  waitMs(count: number): number {
    this.refill();
    const missing = Math.min(count, this.burst) - this.tokens;
    // Whole milliseconds: a shorter wait may not move the clock at all, and its caller would spin.
    return missing <= 0 ? 0 : Math.ceil((missing / this.perSecond) * 1000);
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
  }
}
