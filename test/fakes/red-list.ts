/** Which results of a test run are faults, given the tests that are known to fail. */

/** Lines of the list that a submission may have at most. */
const MOST_LISTED = 3;
/** Each line: test, cause, issue. */
const SEPARATOR = ' | ';

export interface TestResults {
  passed: ReadonlySet<string>;
  failed: ReadonlySet<string>;
}

/** The lines of KNOWN-RED.txt that name a test. */
export function listedLines(text: string): string[] {
  return text.split('\n').filter((line) => line.trim() !== '');
}

/** What must fail the run: tests that are not listed, and lines that no longer hold. */
export function faultsOf(lines: readonly string[], { passed, failed }: TestResults): string[] {
  const listed = new Set(lines.map((line) => line.split(SEPARATOR)[0] ?? ''));
  const unexpected = [...failed].filter((name) => !listed.has(name));
  const stale = [...listed].filter((name) => !failed.has(name));
  return [
    ...unexpected.map((name) => `failed: ${name}`),
    ...stale.map((name) =>
      passed.has(name)
        ? `in KNOWN-RED.txt, but passes: ${name}`
        : `in KNOWN-RED.txt, but does not exist: ${name}`,
    ),
    ...lines
      .filter((line) => line.split(SEPARATOR).length !== 3)
      .map((line) => `in KNOWN-RED.txt, not "test${SEPARATOR}cause${SEPARATOR}issue": ${line}`),
    ...(lines.length > MOST_LISTED ? ['KNOWN-RED.txt: too many lines'] : []),
    ...(passed.size === 0 ? ['no test passed'] : []),
  ];
}
