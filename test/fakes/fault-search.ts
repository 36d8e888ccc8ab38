/**
 * Searches for faults by seed: runs the drawn schedule of each seed and prints the rules that it violates. With
 * `--shrink`, each failing schedule is reduced to one that still violates the same rule as its first finding.
 * Not part of the tests. Usage: node target/check/test/fakes/fault-search.js FROM TO [--shrink]
 */
import { drawSchedule, runSchedule, type Findings, type Schedule } from './fault-schedule.js';

const allFindings = ({ violations, recordViolations }: Findings): string[] => [
  ...violations,
  ...recordViolations,
];

/** The name of the rule in a finding. */
const ruleOf = (finding: string): string => finding.split(/[: ]/, 1)[0] ?? '';

/** Tries to remove each fault in turn, the last first; a fault stays removed if the same rule is still violated. */
async function shrink(schedule: Schedule, rule: string): Promise<Schedule> {
  let shortest = schedule;
  for (let omitted = shortest.faults.length - 1; omitted >= 0; omitted--) {
    const faults = shortest.faults.filter((_, index) => index !== omitted);
    const findings = allFindings(await runSchedule({ ...shortest, faults }));
    if (findings.some((finding) => ruleOf(finding) === rule)) shortest = { ...shortest, faults };
  }
  return shortest;
}

const [from = 1, to = 20] = process.argv.slice(2, 4).map(Number);
const shouldShrink = process.argv.includes('--shrink');
const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

let failures = 0;
for (let seed = from; seed <= to; seed++) {
  const schedule = drawSchedule(seed);
  const findings = await runSchedule(schedule);
  const all = allFindings(findings);
  print(
    `seed ${String(seed)}: ${String(findings.starts)} starts, ${String(findings.finals)} ends, ${String(all.length)} findings`,
  );
  if (all.length === 0) continue;
  failures++;
  for (const finding of all.slice(0, 6)) print(`  ${finding}`);
  const [first] = all;
  if (shouldShrink && first !== undefined)
    print(`  shortest: ${JSON.stringify(await shrink(schedule, ruleOf(first)))}`);
}
print(`${String(failures)} of ${String(to - from + 1)} seeds broke something`);
