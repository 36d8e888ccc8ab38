/** The processor of a simulated process: work takes time and is done sequentially. */
import type { Cancel, Clock } from '../../src/clock.js';
import type { VirtualTime } from './time.js';

export class Processor {
  private busyUntil = 0;
  /** Total processor time used, including suspensions. */
  busyMs = 0;

  constructor(
    private readonly time: VirtualTime,
    /** Processor time of each timer, request and answer; 0: none. */
    private readonly costMs: number,
  ) {}

  /** Runs `work` after all earlier work is finished and the processor time of `work` itself has passed. */
  run(work: () => void): void {
    if (this.costMs === 0 && this.busyUntil <= this.time.now) work();
    else this.time.after(this.reserve(this.costMs), work);
  }

  /** Suspends the process for that long, while its clocks continue. */
  pause(ms: number): void {
    this.reserve(ms);
  }

  /** A clock whose timers are queued behind earlier work, like all other work. */
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

  /** Occupies the processor for that long after earlier work; returns the delay until then. */
  private reserve(ms: number): number {
    this.busyUntil = Math.max(this.busyUntil, this.time.now) + ms;
    this.busyMs += ms;
    return this.busyUntil - this.time.now;
  }
}
