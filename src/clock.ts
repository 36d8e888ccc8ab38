/** The clock and timers that the rest of the code uses; tests replace them with simulated time. */
import { toError } from './errors.js';

/** A source of time and timers. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary fixed moment. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch; its error is at most the bound given in the settings. */
  wallClock(): number;
  /** Calls a function once after `ms` milliseconds, unless it is cancelled before. */
  after(ms: number, run: () => void): Cancel;
}

/** Cancels a timer. */
export type Cancel = () => void;

/** The clock of this machine. */
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

/** Resolves after `ms` milliseconds. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}

/**
 * Resolves to `timeoutValue` if `promise` has not settled within `ms` milliseconds; the work behind it is not
 * cancelled.
 */
export function withTimeout<T, L>(
  clock: Clock,
  ms: number,
  promise: Promise<T>,
  timeoutValue: L,
): Promise<T | L> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(ms, () => {
      resolve(timeoutValue);
    });
    promise.then(
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
