/**
 * Prints, for each seed, a digest of every request that the controllers exchange with the fakes on a day of drawn
 * faults, or with `--answers` of every answer. A change that must not alter behaviour must not alter these lines.
 *
 * Usage: exchange-digest.js FROM TO [--answers]
 */
import { parseArgs } from 'node:util';
import { AnswerRecorder, ExchangeRecorder, observeExchange } from '../fakes/exchange-recorder.js';
import { drawSchedule, play } from '../fakes/fault-schedule.js';

const DEFAULT_FROM = 1;
const DEFAULT_TO = 5;

/** The line that is printed for the answers of a seed. */
async function answersLine(seed: number): Promise<string> {
  const recorder = new AnswerRecorder();
  await observeExchange(recorder, () => play(drawSchedule(seed)));
  return `seed ${String(seed)}: ${String(recorder.answers)} answers, ${recorder.digest()}`;
}

/** The line that is printed for the requests of a seed. */
async function requestsLine(seed: number): Promise<string> {
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

const { values, positionals } = parseArgs({
  options: { answers: { type: 'boolean', default: false } },
  allowPositionals: true,
});
const [from, to] = positionals;
const line = values.answers ? answersLine : requestsLine;
const last = seedFrom(to, DEFAULT_TO);
for (let seed = seedFrom(from, DEFAULT_FROM); seed <= last; seed++)
  process.stdout.write(`${await line(seed)}\n`);
