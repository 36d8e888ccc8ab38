/** The command line: what it accepts, and what it starts. All else is library. */
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import * as v from 'valibot';
import { ConfigError } from './config/config-error.js';
import { OPERATOR_DEFAULTS, parseOperator, type Operator } from './config/operator.js';
import { parseSettings } from './config/settings.js';
import { toError } from './errors.js';
import type { Settings } from './model/settings.js';
import { serve } from './serve.js';
import type { CodeCacheUse } from './startup/code-cache.js';

interface Options {
  config: string;
  operator?: string;
}

interface Configuration {
  settings: Settings;
  operator: Operator;
}

const Package = v.object({ version: v.string() });

/** Reads both files, so that the faults of both are told at once. */
function loadConfiguration({ config, operator: operatorPath }: Options): Configuration {
  const faults: string[] = [];
  const attempt = <T>(work: () => T): T | null => {
    try {
      return work();
    } catch (error) {
      if (!(error instanceof ConfigError)) throw error;
      faults.push(...error.lines);
      return null;
    }
  };
  const settings = attempt(() => parseSettings(readConfigFile(config)));
  const operator = attempt(() =>
    operatorPath === undefined ? OPERATOR_DEFAULTS : parseOperator(readConfigFile(operatorPath)),
  );
  if (!settings || !operator) throw new ConfigError(faults);
  return { settings, operator };
}

function readConfigFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const { code = '' } = toError(error) as NodeJS.ErrnoException;
    throw new ConfigError([`${path}: cannot be read: ${code}`], { cause: error });
  }
}

function packageVersion(): string {
  const file = new URL('../package.json', import.meta.url);
  return v.parse(Package, JSON.parse(readFileSync(file, 'utf8'))).version;
}

const withConfiguration = (command: Command): Command =>
  command
    .requiredOption('--config <file>', "the platform's settings (TOML)")
    .option('--operator <file>', "the operators' own settings (INI)");

function makeProgram(codeCache: CodeCacheUse): Command {
  const program = new Command('tackvane')
    .description('A cluster scheduler whose controllers own domains of machines.')
    .version(packageVersion());
  withConfiguration(
    program.command('serve').description('run one controller until it is killed'),
  ).action(async (options: Options) => {
    const { settings, operator } = loadConfiguration(options);
    await serve(settings, operator, codeCache);
  });
  withConfiguration(
    program.command('check').description('check the settings and say what is wrong'),
  ).action((options: Options) => {
    const { settings } = loadConfiguration(options);
    process.stdout.write(`${settings.controller}: settings are good\n`);
  });
  return program;
}

/** Runs the command that the process was started with; a fault ends it with exit code 1 and one line for each. */
export async function run(codeCache: CodeCacheUse): Promise<void> {
  try {
    await makeProgram(codeCache).parseAsync();
  } catch (error) {
    process.stderr.write(`${describe(error)}\n`);
    process.exit(1);
  }
}

function describe(error: unknown): string {
  if (error instanceof ConfigError) return error.message;
  const { stack, message } = toError(error);
  return stack ?? message;
}
