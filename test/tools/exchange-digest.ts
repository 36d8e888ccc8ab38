/**
 * For each seed, simulates a cluster under faults drawn from the seed and prints a digest of all requests between the
 * controllers and the fakes, or with `--answers` of all answers. A change that must not alter behaviour must leave
 * these lines unchanged.
 *
 * Usage: exchange-digest.js FROM TO [--answers]
 */
import { parseArgs } from 'node:util';
import { AnswerRecorder, ExchangeRecorder, observeExchange } from '../fakes/exchange-recorder.js';
import { drawSchedule, runSchedule } from '../fakes/fault-schedule.js';

const DEFAULT_FROM = 1;
const DEFAULT_TO = 5;

/** The output line for a seed's answers. */
async function answersLine(seed: number): Promise<string> {
  const recorder = new AnswerRecorder();
  await observeExchange(recorder, () => runSchedule(drawSchedule(seed)));
  return `seed ${String(seed)}: ${String(recorder.answers)} answers, ${recorder.digest()}`;
}

/** The output line for a seed's requests. */
async function requestsLine(seed: number): Promise<string> {
  const recorder = new ExchangeRecorder();
  const { starts, finals, violations } = await observeExchange(recorder, () =>
    runSchedule(drawSchedule(seed)),
  );
  const counts = [
    `${String(recorder.requests)} requests`,
    `${String(starts)} starts`,
    `${String(finals)} ends`,
    `${String(violations.length)} broken`,
  ];
  return `seed ${String(seed)}: ${counts.join(', ')}, ${recorder.digest()}`;
}

/** Parses a seed from the command line. */
function parseSeed(text: string | undefined, fallback: number): number {
  const seed = text === undefined ? fallback : Number(text);
  if (!Number.isSafeInteger(seed)) throw new TypeError(`not a valid seed: ${String(text)}`);
  return seed;
}

const { values, positionals } = parseArgs({
  options: { answers: { type: 'boolean', default: false } },
  allowPositionals: true,
});
const [from, to] = positionals;
const line = values.answers ? answersLine : requestsLine;
const last = parseSeed(to, DEFAULT_TO);
for (let seed = parseSeed(from, DEFAULT_FROM); seed <= last; seed++)
  process.stdout.write(`${await line(seed)}\n`);
