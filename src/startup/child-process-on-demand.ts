/**
 * Stands for `node:child_process` in the bundle. Libraries ask for that module at each start and call it only for what does
 * not occur here: commands that are programs of their own, and machines that say nothing of their C library. Loading it
 * costs as much as reading the settings, so it is loaded with the first call.
 */
import type * as ChildProcess from 'node:child_process';
import { createRequire } from 'node:module';

type Call = (...args: never[]) => unknown;

const load = createRequire(import.meta.url);

function onDemand(name: 'exec' | 'execSync' | 'spawn'): Call {
  return (...args) => (load('node:child_process') as Record<typeof name, Call>)[name](...args);
}

/** As Node's, loaded with the first call. */
export const exec = onDemand('exec') as typeof ChildProcess.exec;
/** As Node's, loaded with the first call. */
export const execSync = onDemand('execSync') as typeof ChildProcess.execSync;
/** As Node's, loaded with the first call. */
export const spawn = onDemand('spawn') as typeof ChildProcess.spawn;
