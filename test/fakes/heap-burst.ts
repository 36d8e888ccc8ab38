/**
 * Runs the service's memory guard in a process that retains some memory while it allocates and releases much more.
 * Arguments: quota in MB, sockets, MB to retain. Prints the heap used after the retained data was allocated (`held`), the
 * number of retained parts (`kept`) and the maximum resident size (`peak`); both sizes in MB.
 */
import { heapBudget, MemoryGuard } from '../../src/memory-guard.js';

const MB = 1024 * 1024;
/** Approximate heap size of an entry. */
const ENTRY_BYTES = 250;
/**
 * Number of rounds of the burst. Each round allocates 1/48 of a retained part, of which there are `PARTS`, and its data is
 * released `KEPT_ROUNDS` rounds later.
 */
const ROUNDS = 160;
const PARTS = 8;
const KEPT_ROUNDS = 6;

interface Entry {
  key: string;
  values: number[];
  of: { round: number };
}

const [quotaMb = 0, sockets = 0, heldMb = 0] = process.argv.slice(2).map(Number);
const guard = new MemoryGuard(heapBudget(quotaMb * MB, sockets));
const entries = (count: number, round: number): Entry[] =>
  Array.from({ length: count }, (_, index) => ({
    key: `key-${String(round)}-${String(index)}`,
    values: Array.from({ length: 12 }, (__, at) => at + round),
    of: { round },
  }));

const count = Math.ceil((heldMb * MB) / ENTRY_BYTES);
const held: Entry[][] = [];
for (let part = 0; part < PARTS; part++) {
  held.push(entries(Math.ceil(count / PARTS), -part));
  guard.check();
}
const heldAfter = process.memoryUsage().heapUsed / MB;
let peak = 0;
const passing: Entry[][] = [];
for (let round = 0; round < ROUNDS; round++) {
  passing.push(entries(Math.ceil(count / PARTS / KEPT_ROUNDS / PARTS), round));
  if (passing.length > KEPT_ROUNDS) passing.shift();
  guard.check();
  peak = Math.max(peak, process.memoryUsage.rss() / MB);
}
process.stdout.write(JSON.stringify({ held: heldAfter, kept: held.length, peak }));
