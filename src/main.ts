#!/usr/bin/env node
/** Starts the program from its compiled modules; neither the bundle nor its code cache is used. */
import { run } from './cli.js';

await run('not asked for');
