/** Time bounds shared by the modules of the worker protocol. */

/** Clocks drift by up to 0.05% each, so a worker's lease counts as expired only after its length times this factor. */
export const CLOCK_DRIFT_FACTOR = 1.002;
