/**
 * Plays many days of drawn faults and shrinks those that break anything to the shortest schedule that still does.
 * Not part of the tests: node target/check/test/fakes/fault-search.js FROM TO
 */
import { drawSchedule, play, type Findings, type Schedule } from './fault-schedule.js';

const found = ({ broken, records }: Findings): string[] => [...broken, ...records];

/** The rule that a finding names. */
const ruleOf = (finding: string): string => finding.split(/[: ]/, 1)[0] ?? '';

/** Leaves out one fault after the other as long as the same rule is still broken. */
async function shrink(schedule: Schedule, rule: string): Promise<Schedule> {
  let shortest = schedule;
  for (let left = shortest.faults.length - 1; left >= 0; left--) {
    const faults = shortest.faults.filter((_, index) => index !== left);
    const findings = found(await play({ ...shortest, faults }));
    if (findings.some((finding) => ruleOf(finding) === rule)) shortest = { ...shortest, faults };
  }
  return shortest;
}

const [from = 1, to = 20] = process.argv.slice(2, 4).map(Number);
const shrinks = process.argv.includes('--shrink');
const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

let failures = 0;
for (let seed = from; seed <= to; seed++) {
  const schedule = drawSchedule(seed);
  const findings = await play(schedule);
  const all = found(findings);
  print(
    `seed ${String(seed)}: ${String(findings.starts)} starts, ${String(findings.finals)} ends, ${String(all.length)} findings`,
  );
  if (all.length === 0) continue;
  failures++;
  for (const finding of all.slice(0, 6)) print(`  ${finding}`);
  const [first] = all;
  if (shrinks && first !== undefined)
    print(`  shortest: ${JSON.stringify(await shrink(schedule, ruleOf(first)))}`);
}
print(`${String(failures)} of ${String(to - from + 1)} seeds broke something`);
