/**
 * Replaces `node:child_process` in the bundle. Libraries import that module at every start, but call it only in cases
 * that do not occur here: subcommands that are separate executables, and systems where the C library can't be detected
 * otherwise. Loading the module takes as long as reading the settings, so it is loaded at the first call.
 */
import type * as ChildProcess from 'node:child_process';
import { createRequire } from 'node:module';

type Call = (...args: never[]) => unknown;

const load = createRequire(import.meta.url);

function onDemand(name: 'exec' | 'execSync' | 'spawn'): Call {
  return (...args) => (load('node:child_process') as Record<typeof name, Call>)[name](...args);
}

/** Same as in `node:child_process`, which is loaded at the first call. */
export const exec = onDemand('exec') as typeof ChildProcess.exec;
/** Same as in `node:child_process`, which is loaded at the first call. */
export const execSync = onDemand('execSync') as typeof ChildProcess.execSync;
/** Same as in `node:child_process`, which is loaded at the first call. */
export const spawn = onDemand('spawn') as typeof ChildProcess.spawn;
