import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Clock } from '../../src/clock.js';

/** Seeded chance for the stand-ins. */
export class Chance {
  private readonly source;

  constructor(seed: number) {
    this.source = xoroshiro128plus(seed);
  }

  int(from: number, to: number): number {
    return uniformInt(this.source, from, to);
  }

  real(from: number, to: number): number {
    return from + ((to - from) * this.int(0, 1_000_000)) / 1_000_000;
  }

  hit(probability: number): boolean {
    return this.int(1, 1_000_000) <= probability * 1_000_000;
  }
}

/** Time as the stand-ins see it, simulated or real. */
export interface Timeline {
  /** Milliseconds since the world began. */
  readonly now: number;
  /** Runs something later; calling what is returned cancels it. */
  after(ms: number, run: () => void): () => void;
}

interface Timer {
  at: number;
  order: number;
  run: () => void;
}

/** Simulated time: jumps from timer to timer, letting promises settle in between. */
export class VirtualTime implements Timeline {
  now = 0;
  private order = 0;
  private timers: Timer[] = [];

  after(ms: number, run: () => void): () => void {
    const timer = { at: this.now + Math.max(0, ms), order: this.order++, run };
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.timers[middle];
      if (other && (other.at < timer.at || other.at === timer.at)) low = middle + 1;
      else high = middle;
    }
    this.timers.splice(low, 0, timer);
    return () => {
      const at = this.timers.indexOf(timer);
      if (at >= 0) this.timers.splice(at, 1);
    };
  }

  async runUntil(until: number): Promise<void> {
    for (;;) {
      await new Promise(setImmediate);
      const next = this.timers[0];
      if (!next || next.at > until) break;
      this.timers.shift();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /** A process's own clock: it drifts, its time of day is off, and its timers die with it. */
  clockOf(alive: () => boolean, drift: number, offset: number): Clock {
    return {
      now: () => this.now * drift,
      wall: () => 1.7e12 + this.now + offset,
      after: (ms, run) =>
        this.after(ms / drift, () => {
          if (alive()) run();
        }),
    };
  }
}
