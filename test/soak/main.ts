/**
 * Runs clusters of real controller processes under faults drawn by seed.
 * Usage: npm run soak -- --seed N --seconds S [--seeds K] [--program FILE]
 * Exit code: 0 if all runs passed, 1 if any run had findings, 2 for invalid arguments.
 */
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { HOSTS } from './options.js';
import { runSoak } from './run.js';
import { drawSoakFaults } from './schedule.js';

const MIN_SECONDS = 12;
const DEFAULT_PROGRAM = fileURLToPath(new URL('../../../service.cjs', import.meta.url));

interface Arguments {
  seed: number;
  seconds: number;
  seeds: number;
  /** Path of the service bundle to run. */
  program: string;
}

class UsageError extends Error {}

function readArguments(argv: string[]): Arguments {
  const options = {
    seed: { type: 'string' },
    seconds: { type: 'string' },
    seeds: { type: 'string' },
    program: { type: 'string' },
  } as const;
  let values;
  try {
    ({ values } = parseArgs({ args: argv, options }));
  } catch (error) {
    throw new UsageError((error as Error).message.split('\n')[0]);
  }
  const wholeNumber = (
    name: 'seed' | 'seconds' | 'seeds',
    min: number,
    defaultValue?: number,
  ): number => {
    const text = values[name];
    if (text === undefined && defaultValue !== undefined) return defaultValue;
    const value = Number(text);
    if (text === undefined || text.trim() === '' || !Number.isInteger(value) || value < min)
      throw new UsageError(`--${name}: must be a whole number from ${String(min)} on`);
    return value;
  };
  return {
    seed: wholeNumber('seed', 0),
    seconds: wholeNumber('seconds', MIN_SECONDS),
    seeds: wholeNumber('seeds', 1, 1),
    program: values.program ?? DEFAULT_PROGRAM,
  };
}

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

async function runAll({ seed: first, seconds, seeds, program }: Arguments): Promise<number> {
  let failed = 0;
  for (let seed = first; seed < first + seeds; seed++) {
    const faults = drawSoakFaults(seed, seconds, HOSTS.length);
    print(`seed ${String(seed)}, ${String(seconds)} s, schedule:`);
    for (const { kind, atS, forS, host, count } of faults)
      print(
        `  ${atS.toFixed(2)} s: ${kind}, for ${forS.toFixed(2)} s, h${String(host)}, ${String(count)}`,
      );
    const network = [1 + ((process.pid >> 8) & 0x7f), process.pid & 0xff] as const;
    const { findings, events, starts, finals } = await runSoak({
      seed,
      seconds,
      faults,
      program,
      network,
    });
    if (findings.length > 0) {
      failed++;
      print('  last events before it:');
      for (const event of events) print(`    ${event}`);
      for (const finding of findings) print(`  broken: ${finding}`);
    }
    print(
      `seed ${String(seed)}: ${findings.length > 0 ? 'broken' : 'sound'}, ${String(starts)} starts, ${String(finals)} ends told`,
    );
  }
  print(`${String(seeds - failed)} passed, ${String(failed)} failed`);
  return failed;
}

try {
  const args = readArguments(process.argv.slice(2));
  if (!existsSync(args.program)) throw new UsageError(`--program: ${args.program} is not there`);
  process.exitCode = (await runAll(args)) > 0 ? 1 : 0;
} catch (error) {
  if (!(error instanceof UsageError)) throw error;
  process.stderr.write(`soak: ${error.message}\n`);
  process.exitCode = 2;
}
