/** Time as the rest of the code sees it, so that tests can drive it. */
import { toError } from './errors.js';

/** A source of time and timers. */
export interface Clock {
  /** Monotonic milliseconds since some fixed moment. */
  now(): number;
  /** Wall-clock time in milliseconds since the epoch; within the settings' bound of true time. */
  wallClock(): number;
  /** Runs a function once after so many milliseconds, unless it is cancelled before. */
  after(ms: number, run: () => void): Cancel;
}

/** Cancels a timer. */
export type Cancel = () => void;

/** The time of this machine. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallClock: () => Date.now(),
  after(ms, run) {
    const timer = setTimeout(run, ms);
    return () => {
      clearTimeout(timer);
    };
  },
};

/** Resolves after so many milliseconds. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}

/** Resolves to `late` when `work` takes longer than `ms`; the work itself goes on. */
export function within<T, L>(clock: Clock, ms: number, work: Promise<T>, late: L): Promise<T | L> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(ms, () => {
      resolve(late);
    });
    work.then(
      (value) => {
        cancel();
        resolve(value);
      },
      (error: unknown) => {
        cancel();
        reject(toError(error));
      },
    );
  });
}
