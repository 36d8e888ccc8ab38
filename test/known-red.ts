/**
 * Runs the tests and passes over those that KNOWN-RED.txt lists, and over no others. A listed test that passes or
 * does not exist fails the run, so the list cannot outlive what it names. Usage: known-red.js FILES...
 */
import { existsSync, readFileSync } from 'node:fs';
import type { Transform } from 'node:stream';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { faultsOf, listedLines } from './fakes/red-list.js';

/** A test file that takes longer has hung, in milliseconds. */
const FILE_MS = 900_000;

const listPath = new URL('../../../KNOWN-RED.txt', import.meta.url);
const lines = existsSync(listPath) ? listedLines(readFileSync(listPath, 'utf8')) : [];
const passed = new Set<string>();
const failed = new Set<string>();

const stream = run({ files: process.argv.slice(2), concurrency: true, timeout: FILE_MS });
stream.on('test:pass', ({ name, details }) => {
  if (details.type !== 'suite') passed.add(name);
});
stream.on('test:fail', ({ name }) => {
  failed.add(name);
});
stream.compose<Transform>(new spec()).pipe(process.stdout);
stream.on('end', () => {
  const faults = faultsOf(lines, { passed, failed });
  // After the reporter's own closing lines.
  setImmediate(() => {
    for (const line of lines) process.stdout.write(`known red: ${line}\n`);
    for (const fault of faults) process.stdout.write(`${fault}\n`);
    process.stdout.write(`${String(passed.size)} passed, ${String(failed.size)} failed\n`);
    process.exitCode = faults.length > 0 ? 1 : 0;
  });
});
