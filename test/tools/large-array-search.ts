/**
 * Plays the drawn lives of large jobs and prints what went wrong. Not part of the tests.
 * Usage: node target/check/test/tools/large-array-search.js FROM TO
 */
import { drawLife, runLife } from '../fakes/large-array-life.js';

const [from = 1, to = 20] = process.argv.slice(2, 4).map(Number);
let failures = 0;
for (let seed = from; seed <= to; seed++) {
  const findings = await runLife(seed);
  if (findings.length > 0) failures++;
  const drawn = findings.length > 0 ? ` ${JSON.stringify(drawLife(seed))}` : '';
  process.stdout.write(`seed ${String(seed)}: ${String(findings.length)} findings${drawn}\n`);
  for (const finding of findings.slice(0, 6)) process.stdout.write(`  ${finding}\n`);
}
process.stdout.write(`${String(failures)} of ${String(to - from + 1)} seeds with findings\n`);
