/**
 * Reads and writes the code cache file next to the bundled program, which saves compiling the program at each start.
 *
 * The file contains V8's code cache and the id of the build that it was made from. V8 itself rejects a cache made by
 * another version of V8. Whether the file is complete and from the same build is checked here, because V8 crashes on a
 * truncated or mismatched cache. A code cache contains only compiled functions: no values, clocks, random seeds or
 * handles of the process that made it.
 */
import { readFileSync, renameSync, writeFileSync } from 'node:fs';

/** Whether the code cache was used at a start, or why not. */
export type CodeCacheUse =
  'used' | 'not asked for' | 'missing' | 'cut short' | 'of another build' | 'refused by V8';

/** The source of the bundled program and the build id from its first line. */
export interface ProgramFile {
  source: string;
  buildId: string;
}

/** Start of the bundle's first line, a comment that ends in the build id. */
const BUILD_LINE = '// build ';
/** Number of hexadecimal digits of a SHA-256 hash. */
const BUILD_ID_LENGTH = 64;
/** Header of a cache file: the build id (64 characters) and the length of the code that follows (8 bytes). */
const HEADER_BYTES = BUILD_ID_LENGTH + 8;

/** Returns the bundle with its build id in a new first line. */
export function withBuildId(bundle: string, buildId: string): string {
  return `${BUILD_LINE}${buildId}\n${bundle}`;
}

/** Reads the bundled program; as the bundler's output is pure ASCII, it can be decoded as Latin-1. */
export function readProgram(path: string): ProgramFile {
  const source = readFileSync(path, 'latin1');
  const buildId = source.startsWith(BUILD_LINE)
    ? source.slice(BUILD_LINE.length, BUILD_LINE.length + BUILD_ID_LENGTH)
    : '';
  return { source, buildId };
}

/**
 * Wraps the program in a function with the parameters that Node passes to a CommonJS module. The code cache is valid
 * only for exactly this text, so the build and each start must use the same wrapper.
 */
export function wrapAsModuleFunction({ source }: ProgramFile): string {
  return `(function (exports, require, module, __filename, __dirname) {${source}\n})`;
}

/** Writes a cache file atomically, by renaming a temporary file, so that no reader finds a partial one. */
export function writeCodeCache(path: string, buildId: string, code: Buffer): void {
  const header = Buffer.alloc(HEADER_BYTES);
  header.write(buildId, 'latin1');
  header.writeBigUInt64LE(BigInt(code.length), BUILD_ID_LENGTH);
  const temporary = `${path}.${String(process.pid)}`;
  writeFileSync(temporary, Buffer.concat([header, code]));
  renameSync(temporary, path);
}

/** Returns the code of a cache file made from this build, or the reason why it can't be used. */
export function readCodeCache(path: string, buildId: string): Buffer | CodeCacheUse {
  let file: Buffer;
  try {
    file = readFileSync(path);
  } catch {
    return 'missing';
  }
  if (file.length < HEADER_BYTES) return 'cut short';
  if (file.toString('latin1', 0, BUILD_ID_LENGTH) !== buildId) return 'of another build';
  const code = file.subarray(HEADER_BYTES);
  return BigInt(code.length) === file.readBigUInt64LE(BUILD_ID_LENGTH) ? code : 'cut short';
}
