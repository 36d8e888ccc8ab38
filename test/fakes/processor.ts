/** The share of a processor that a simulated process has: its work takes time, one piece after the other. */
import type { Cancel, Clock } from '../../src/clock.js';
import type { VirtualTime } from './time.js';

export class Processor {
  private busyUntil = 0;
  /** Time spent working, in all. */
  busyMs = 0;

  constructor(
    private readonly time: VirtualTime,
    /** What each timer, request and answer takes; 0: no time at all. */
    private readonly costMs: number,
  ) {}

  /** Does a piece of work once those before it are done and its own time has passed. */
  run(work: () => void): void {
    if (this.costMs === 0 && this.busyUntil <= this.time.now) work();
    else this.time.after(this.take(this.costMs), work);
  }

  /** The process stands still, though its clocks go on. */
  pause(ms: number): void {
    this.take(ms);
  }

  /** A clock whose timers wait for their turn like all other work. */
  clock(inner: Clock): Clock {
    return {
      now: () => inner.now(),
      wallClock: () => inner.wallClock(),
      after: (ms, run): Cancel => {
        let cancelled = false;
        const cancel = inner.after(ms, () => {
          this.run(() => {
            if (!cancelled) run();
          });
        });
        return () => {
          cancelled = true;
          cancel();
        };
      },
    };
  }

  private take(ms: number): number {
    this.busyUntil = Math.max(this.busyUntil, this.time.now) + ms;
    this.busyMs += ms;
    return this.busyUntil - this.time.now;
  }
}
