/** Real time for the fakes, in milliseconds since this object was created. */
import type { Timeline } from '../fakes/time.js';

export class RealTime implements Timeline {
  private readonly startedAtMs = performance.now();
  private isStopped = false;

  get now(): number {
    return performance.now() - this.startedAtMs;
  }

  after(ms: number, run: () => void): () => void {
    const timer = setTimeout(() => {
      if (!this.isStopped) run();
    }, ms);
    // Pending timers of a fake must not keep the process alive.
    timer.unref();
    return () => {
      clearTimeout(timer);
    };
  }

  /** Callbacks that have not run yet are not run. */
  stop(): void {
    this.isStopped = true;
  }
}
