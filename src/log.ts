import { destination, pino, type Logger } from 'pino';

export type Log = Logger;

const LEVELS = ['error', 'info', 'debug'];

/** Logs go to standard error; a full pipe drops lines rather than hold up the daemon. */
export function makeLog(name: string): Log {
  const wanted = process.env['LOG_LEVEL'] ?? 'info';
  const level = LEVELS.includes(wanted) ? wanted : 'info';
  const sink = destination({
    dest: 2,
    sync: true,
    // On EAGAIN: give the line up after the first retry instead of spinning on a pipe that nobody reads.
    retryEAGAIN: () => false,
  });
  sink.on('error', () => undefined);
  return pino(
    { level, base: { node: name }, formatters: { level: (label) => ({ level: label }) } },
    sink,
  );
}
