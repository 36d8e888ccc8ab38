/** Simulated time and seeded random numbers. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import TinyQueue from 'tinyqueue';
import type { Clock } from '../../src/clock.js';

/** Random number generator of the fakes: the same seed gives the same sequence. */
export class SeededRandom {
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

  chance(probability: number): boolean {
    return this.int(1, 1_000_000) <= probability * 1_000_000;
  }
}

/** The source of time for the fakes, simulated or real. */
export interface Timeline {
  /** Milliseconds since the start of the simulation. */
  readonly now: number;
  /** Calls `run` after a delay; returns a function that cancels it. */
  after(ms: number, run: () => void): () => void;
}

interface Timer {
  at: number;
  order: number;
  run: () => void;
  isCancelled: boolean;
}

/** Simulated time: advances from one timer to the next, and lets promises settle in between. */
export class VirtualTime implements Timeline {
  now = 0;
  private order = 0;
  /** A priority queue, because thousands of machines have about ten thousand pending timers. */
  private readonly timers = new TinyQueue<Timer>([], (a, b) => a.at - b.at || a.order - b.order);

  after(ms: number, run: () => void): () => void {
    const at = this.now + Math.max(0, ms);
    const timer: Timer = { at, order: this.order++, run, isCancelled: false };
    this.timers.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  async runUntil(until: number): Promise<void> {
    for (;;) {
      await new Promise(setImmediate);
      const next = this.nextTimer();
      if (!next || next.at > until) break;
      this.timers.pop();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  private nextTimer(): Timer | undefined {
    while (this.timers.peek()?.isCancelled === true) this.timers.pop();
    return this.timers.peek();
  }

  /** The clock of one process: it drifts, its time of day has an offset, and its timers end with the process. */
  clockOf(isAlive: () => boolean, drift: number, offsetMs: number): Clock {
    return {
      now: () => this.now * drift,
      wallClock: () => 1.7e12 + this.now + offsetMs,
      after: (ms, run) =>
        this.after(ms / drift, () => {
          if (isAlive()) run();
        }),
    };
  }
}
