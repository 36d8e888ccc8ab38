/**
 * Plays runs of real processes under drawn faults.
 * Usage: npm run soak -- --seed N --seconds S [--seeds K] [--program FILE]
 * Exit code: 0 if nothing broke, 1 if anything did, 2 for bad arguments.
 */
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { HOSTS } from './options.js';
import { soak } from './run.js';
import { drawSoak } from './schedule.js';

const LEAST_SECONDS = 12;
const PROGRAM = fileURLToPath(new URL('../../../service.cjs', import.meta.url));

interface Arguments {
  seed: number;
  seconds: number;
  seeds: number;
  /** The bundle that is run. */
  program: string;
}

class BadArguments extends Error {}

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
    throw new BadArguments((error as Error).message.split('\n')[0]);
  }
  const whole = (name: 'seed' | 'seconds' | 'seeds', least: number, otherwise?: number): number => {
    const text = values[name];
    if (text === undefined && otherwise !== undefined) return otherwise;
    const value = Number(text);
    if (text === undefined || text.trim() === '' || !Number.isInteger(value) || value < least)
      throw new BadArguments(`--${name}: must be a whole number from ${String(least)} on`);
    return value;
  };
  return {
    seed: whole('seed', 0),
    seconds: whole('seconds', LEAST_SECONDS),
    seeds: whole('seeds', 1, 1),
    program: values.program ?? PROGRAM,
  };
}

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

async function playAll({ seed: first, seconds, seeds, program }: Arguments): Promise<number> {
  let failed = 0;
  for (let seed = first; seed < first + seeds; seed++) {
    const faults = drawSoak(seed, seconds, HOSTS.length);
    print(`seed ${String(seed)}, ${String(seconds)} s, schedule:`);
    for (const { kind, atS, forS, host, count } of faults)
      print(
        `  ${atS.toFixed(2)} s: ${kind}, for ${forS.toFixed(2)} s, h${String(host)}, ${String(count)}`,
      );
    const network = [1 + ((process.pid >> 8) & 0x7f), process.pid & 0xff] as const;
    const { findings, events, starts, finals } = await soak({
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
  const wanted = readArguments(process.argv.slice(2));
  if (!existsSync(wanted.program))
    throw new BadArguments(`--program: ${wanted.program} is not there`);
  process.exitCode = (await playAll(wanted)) > 0 ? 1 : 0;
} catch (error) {
  if (!(error instanceof BadArguments)) throw error;
  process.stderr.write(`soak: ${error.message}\n`);
  process.exitCode = 2;
}
