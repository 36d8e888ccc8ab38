/** Time and chance as the decision code sees them, so that tests can drive both. */
export interface Clock {
  /** Steady milliseconds since some fixed moment. */
  now(): number;
  /** Time of day in milliseconds; within the settings' bound of true time. */
  wall(): number;
  after(ms: number, run: () => void): Cancel;
}

export type Cancel = () => void;

export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, run) {
    const timer = setTimeout(run, ms);
    return () => {
      clearTimeout(timer);
    };
  },
};

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
        reject(error instanceof Error ? error : new Error(String(error)));
      },
    );
  });
}
