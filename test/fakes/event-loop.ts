/** Measures how long the event loop is blocked. */

/**
 * Runs `work` and returns the longest processor time, in milliseconds, that passed between two turns of the event loop.
 * Processor time does not depend on what else runs on the machine.
 */
export async function longestTurnMs(work: () => Promise<unknown>): Promise<number> {
  let longest = 0;
  let last = process.cpuUsage();
  let isDone = false;
  const sample = (): void => {
    const { user, system } = process.cpuUsage(last);
    longest = Math.max(longest, (user + system) / 1000);
    last = process.cpuUsage();
    if (!isDone) setImmediate(sample);
  };
  sample();
  await work();
  isDone = true;
  sample();
  return longest;
}
