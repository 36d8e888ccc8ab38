/** Real time for the fakes, counted from when it was made. */
import type { Timeline } from '../fakes/time.js';

export class RealTime implements Timeline {
  private readonly from = performance.now();
  private isOver = false;

  get now(): number {
    return performance.now() - this.from;
  }

  after(ms: number, run: () => void): () => void {
    const timer = setTimeout(() => {
      if (!this.isOver) run();
    }, ms);
    // What a fake still waits for must not keep the program from ending.
    timer.unref();
    return () => {
      clearTimeout(timer);
    };
  }

  /** Nothing that was to happen later happens any more. */
  end(): void {
    this.isOver = true;
  }
}
