/**
 * A process that holds some memory while much more passes through it, with the service's guard over its heap. Arguments:
 * quota in MB, sockets, MB to hold. Prints what it held and the most that was resident, in MB.
 */
import { heapBudget, MemoryGuard } from '../../src/memory-guard.js';

const MB = 1024 * 1024;
/** An entry takes about this much of the heap. */
const ENTRY_BYTES = 250;
/** Rounds of the burst; each makes an eighth of what is held, and forgets it six rounds later. */
const ROUNDS = 160;
const PART = 8;
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
for (let part = 0; part < PART; part++) {
  held.push(entries(Math.ceil(count / PART), -part));
  guard.look();
}
const heldAfter = process.memoryUsage().heapUsed / MB;
let peak = 0;
const passing: Entry[][] = [];
for (let round = 0; round < ROUNDS; round++) {
  passing.push(entries(Math.ceil(count / PART / KEPT_ROUNDS / PART), round));
  if (passing.length > KEPT_ROUNDS) passing.shift();
  guard.look();
  peak = Math.max(peak, process.memoryUsage.rss() / MB);
}
process.stdout.write(JSON.stringify({ held: heldAfter, kept: held.length, peak }));
