/** Structured logging as JSON lines on standard error. */
import { destination, pino, type Logger } from 'pino';

/** Where the modules log to. */
export type Log = Logger;

const LEVELS = ['error', 'info', 'debug'];
const DEFAULT_LEVEL = 'info';
const STANDARD_ERROR = 2;

/** A log for this controller, at the level that `LOG_LEVEL` names. A full pipe drops lines rather than hold up the process. */
export function makeLog(name: string): Log {
  const wanted = process.env['LOG_LEVEL'] ?? DEFAULT_LEVEL;
  const level = LEVELS.includes(wanted) ? wanted : DEFAULT_LEVEL;
  const sink = destination({
    dest: STANDARD_ERROR,
    sync: true,
    // On EAGAIN: give the line up after the first retry instead of spinning on a pipe that nobody reads.
    retryEAGAIN: () => false,
  });
  sink.on('error', () => undefined);
  return pino(
    { level, base: { controller: name }, formatters: { level: (label) => ({ level: label }) } },
    sink,
  );
}
