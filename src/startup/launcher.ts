/**
 * Starts the bundled program. This file is bundled separately and does nothing else: it is not covered by the code
 * cache, so its code is compiled at every start.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { loadProgram } from './load-program.js';

const { program, codeCache } = loadProgram(dirname(fileURLToPath(import.meta.url)), true);
void program.run(codeCache);
