/**
 * Runs the tests and tolerates failures only of those that KNOWN-RED.txt lists. A listed test that passes or does not
 * exist fails the run, so entries cannot become stale. Usage: known-red.js FILES...
 */
import { existsSync, readFileSync } from 'node:fs';
import type { Transform } from 'node:stream';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { findProblems, listedLines } from './fakes/red-list.js';

/** Timeout of a test file, in milliseconds; a file that runs longer has hung. */
const FILE_TIMEOUT_MS = 900_000;

const listPath = new URL('../../../KNOWN-RED.txt', import.meta.url);
const lines = existsSync(listPath) ? listedLines(readFileSync(listPath, 'utf8')) : [];
const passed = new Set<string>();
const failed = new Set<string>();

const stream = run({ files: process.argv.slice(2), concurrency: true, timeout: FILE_TIMEOUT_MS });
stream.on('test:pass', ({ name, details }) => {
  if (details.type !== 'suite') passed.add(name);
});
stream.on('test:fail', ({ name }) => {
  failed.add(name);
});
stream.compose<Transform>(new spec()).pipe(process.stdout);
stream.on('end', () => {
  const problems = findProblems(lines, { passed, failed });
  // Deferred so that these lines follow the reporter's summary.
  setImmediate(() => {
    for (const line of lines) process.stdout.write(`known red: ${line}\n`);
    for (const problem of problems) process.stdout.write(`${problem}\n`);
    process.stdout.write(`${String(passed.size)} passed, ${String(failed.size)} failed\n`);
    process.exitCode = problems.length > 0 ? 1 : 0;
  });
});
