/** Structured logging as JSON lines on standard error. */
import { destination, pino, type Logger } from 'pino';

/** The logger that the modules write to. */
export type Log = Logger;

const LEVELS = ['error', 'info', 'debug'];
const DEFAULT_LEVEL = 'info';
const STANDARD_ERROR = 2;

/**
 * Makes the logger of this controller, at the level given by `LOG_LEVEL`. If a write to standard error fails with
 * EAGAIN, because it is a pipe that is full, the lines stay in the logger's buffer, which has no size limit.
 */
export function makeLog(name: string): Log {
  const wanted = process.env['LOG_LEVEL'] ?? DEFAULT_LEVEL;
  const level = LEVELS.includes(wanted) ? wanted : DEFAULT_LEVEL;
  const sink = destination({
    dest: STANDARD_ERROR,
    sync: true,
    // On EAGAIN, do not retry in a loop while nobody reads the pipe; the next line causes the next attempt.
    retryEAGAIN: () => false,
  });
  sink.on('error', () => undefined);
  return pino(
    { level, base: { controller: name }, formatters: { level: (label) => ({ level: label }) } },
    sink,
  );
}
