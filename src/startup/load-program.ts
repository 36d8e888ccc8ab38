/**
 * Loads the bundled program, with its code cache where that fits and plainly where it does not. The program must not use
 * dynamic imports: they fail in a script that comes from a cache.
 */
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { Script } from 'node:vm';
import { asModuleFunction, readCodeCache, readProgram, type CodeCacheUse } from './code-cache.js';

/** What the bundled program exports. */
export interface Program {
  run(codeCache: CodeCacheUse): Promise<void>;
}

/** A program that has been loaded, and how. */
export interface LoadedProgram {
  program: Program;
  /** The compiled program; a code cache can be made of it once it has run. */
  script: Script;
  buildId: string;
  codeCache: CodeCacheUse;
}

/** What Node hands to a CommonJS module: exports, require, module, file name, folder name. */
type ModuleArguments = [object, NodeJS.Require, { exports: object }, string, string];

type ModuleFunction = (...args: ModuleArguments) => void;

/** The bundled program, in the folder of its launcher. */
export const PROGRAM_FILE = 'program.cjs';
/** Its code cache. */
export const CODE_CACHE_FILE = 'program.cache';

/** Loads the program of a folder; `withCache` false compiles it whatever lies beside it. */
export function loadProgram(folder: string, withCache: boolean): LoadedProgram {
  const path = join(folder, PROGRAM_FILE);
  const file = readProgram(path);
  const cache = withCache
    ? readCodeCache(join(folder, CODE_CACHE_FILE), file.buildId)
    : 'not asked for';
  const script = new Script(asModuleFunction(file), {
    filename: path,
    ...(typeof cache === 'string' ? {} : { cachedData: cache }),
  });
  const module = { exports: {} };
  const start = script.runInThisContext() as ModuleFunction;
  start(module.exports, createRequire(path), module, path, dirname(path));
  return {
    program: module.exports as Program,
    script,
    buildId: file.buildId,
    codeCache: useOf(cache, script),
  };
}

function useOf(cache: Buffer | CodeCacheUse, script: Script): CodeCacheUse {
  if (typeof cache === 'string') return cache;
  return script.cachedDataRejected === true ? 'refused by V8' : 'used';
}
