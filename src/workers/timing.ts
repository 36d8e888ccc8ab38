/** Bounds of time that several parts of the worker protocol rest on. */

/** Clocks drift by up to 0.05% each; a worker's lease counts as over only after this much more. */
export const CLOCK_DRIFT_FACTOR = 1.002;
