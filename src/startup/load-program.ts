/**
 * Loads the bundled program, using its code cache if that is valid and compiling the source otherwise. The program must
 * not use dynamic imports: they fail in a script that is loaded from a code cache.
 */
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { Script } from 'node:vm';
import {
  wrapAsModuleFunction,
  readCodeCache,
  readProgram,
  type CodeCacheUse,
} from './code-cache.js';

/** What the bundled program exports. */
export interface Program {
  run(codeCache: CodeCacheUse): Promise<void>;
}

/** A loaded program, and whether its code cache was used. */
export interface LoadedProgram {
  program: Program;
  /** The compiled program; a code cache can be created from it after it has run. */
  script: Script;
  buildId: string;
  codeCache: CodeCacheUse;
}

/** The arguments that Node passes to a CommonJS module: exports, require, module, file name, folder name. */
type ModuleArguments = [object, NodeJS.Require, { exports: object }, string, string];

type ModuleFunction = (...args: ModuleArguments) => void;

/** File name of the bundled program, which is in the same folder as its launcher. */
export const PROGRAM_FILE = 'program.cjs';
/** File name of the program's code cache, in the same folder. */
export const CODE_CACHE_FILE = 'program.cache';

/** Loads the program of a folder; with `withCache` false it is compiled even if a code cache exists. */
export function loadProgram(folder: string, withCache: boolean): LoadedProgram {
  const path = join(folder, PROGRAM_FILE);
  const file = readProgram(path);
  const cache = withCache
    ? readCodeCache(join(folder, CODE_CACHE_FILE), file.buildId)
    : 'not asked for';
  const script = new Script(wrapAsModuleFunction(file), {
    filename: path,
    ...(typeof cache === 'string' ? {} : { cachedData: cache }),
  });
  const module = { exports: {} };
  const runModule = script.runInThisContext() as ModuleFunction;
  runModule(module.exports, createRequire(path), module, path, dirname(path));
  return {
    program: module.exports as Program,
    script,
    buildId: file.buildId,
    codeCache: codeCacheUse(cache, script),
  };
}

function codeCacheUse(cache: Buffer | CodeCacheUse, script: Script): CodeCacheUse {
  if (typeof cache === 'string') return cache;
  return script.cachedDataRejected === true ? 'refused by V8' : 'used';
}
