/** The command line interface: parses the options, loads the configuration and runs the chosen command. */
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import * as v from 'valibot';
import { ConfigError } from './config/config-error.js';
import {
  DEFAULT_OPERATOR_SETTINGS,
  parseOperatorSettings,
  type OperatorSettings,
} from './config/operator.js';
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
  operator: OperatorSettings;
}

const Package = v.object({ version: v.string() });

/** Reads both configuration files before it fails, so that the errors of both are reported together. */
function loadConfiguration({ config, operator: operatorPath }: Options): Configuration {
  const errorLines: string[] = [];
  const parseOrCollectErrors = <T>(parse: () => T): T | null => {
    try {
      return parse();
    } catch (error) {
      if (!(error instanceof ConfigError)) throw error;
      errorLines.push(...error.lines);
      return null;
    }
  };
  const settings = parseOrCollectErrors(() => parseSettings(readConfigFile(config)));
  const operator = parseOrCollectErrors(() =>
    operatorPath === undefined
      ? DEFAULT_OPERATOR_SETTINGS
      : parseOperatorSettings(readConfigFile(operatorPath)),
  );
  if (!settings || !operator) throw new ConfigError(errorLines);
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

/**
 * Runs the command given on the command line. An error ends the process with exit code 1; configuration errors are
 * printed one per line.
 */
export async function run(codeCache: CodeCacheUse): Promise<void> {
  try {
    await makeProgram(codeCache).parseAsync();
  } catch (error) {
    process.stderr.write(`${describeError(error)}\n`);
    process.exit(1);
  }
}

function describeError(error: unknown): string {
  if (error instanceof ConfigError) return error.message;
  const { stack, message } = toError(error);
  return stack ?? message;
}
