/**
 * Prints, for each seed, a digest of every request that the controllers exchange with the fakes on a day of drawn
 * faults. A change that must not alter behaviour must not alter these lines.
 *
 * Usage: exchange-digest.js FROM TO
 */
import { ExchangeRecorder, observeExchange } from '../fakes/exchange-recorder.js';
import { drawSchedule, play } from '../fakes/fault-schedule.js';

const DEFAULT_FROM = 1;
const DEFAULT_TO = 5;

/** The line that is printed for a seed. */
async function digestLine(seed: number): Promise<string> {
  const recorder = new ExchangeRecorder();
  const { starts, finals, broken } = await observeExchange(recorder, () =>
    play(drawSchedule(seed)),
  );
  const counts = [
    `${String(recorder.requests)} requests`,
    `${String(starts)} starts`,
    `${String(finals)} ends`,
    `${String(broken.length)} broken`,
  ];
  return `seed ${String(seed)}: ${counts.join(', ')}, ${recorder.digest()}`;
}

/** A seed given on the command line. */
function seedFrom(text: string | undefined, fallback: number): number {
  const seed = text === undefined ? fallback : Number(text);
  if (!Number.isSafeInteger(seed)) throw new TypeError(`not a seed: ${String(text)}`);
  return seed;
}

const [from, to] = process.argv.slice(2);
const last = seedFrom(to, DEFAULT_TO);
for (let seed = seedFrom(from, DEFAULT_FROM); seed <= last; seed++)
  process.stdout.write(`${await digestLine(seed)}\n`);
