/** The pages name files, log events and metrics as they are. */
import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Metrics } from '../src/metrics.js';
import { getOrAdd } from '../src/util/maps.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
/** Those of docs/history and docs/incidents are left as they were written. */
const PAGES = [
  'README.md',
  'CONTRIBUTING.md',
  ...readdirSync(join(ROOT, 'docs'))
    .filter((name) => name.endsWith('.md'))
    .map((name) => `docs/${name}`),
];

const contentOf = (path: string): string => readFileSync(join(ROOT, path), 'utf8');

/** What `patterns` find in a page by their first group, without repeats. */
function named(page: string, ...patterns: RegExp[]): Set<string> {
  const text = contentOf(page);
  return new Set(
    patterns.flatMap((pattern) => [...text.matchAll(pattern)].map(([, name = '']) => name)),
  );
}

/** Event to the levels that it is logged at. */
type Events = Map<string, Set<string>>;

function addEvent(events: Events, event: string, level: string): void {
  getOrAdd(events, event, () => new Set<string>()).add(level);
}

/** The end of a call's arguments that begin at `from`: the index of the closing parenthesis. */
function endOfArguments(code: string, from: number): number {
  let depth = 1;
  let quote = '';
  for (let index = from; index < code.length; index++) {
    const character = code.charAt(index);
    if (quote !== '') {
      if (character === '\\') index++;
      else if (character === quote) quote = '';
    } else if (`'"\``.includes(character)) quote = character;
    else if (character === '(') depth++;
    else if (character === ')' && --depth === 0) return index;
  }
  return code.length;
}

/** The last argument of every log call in the sources, which must be a plain string. */
function loggedEvents(): Events {
  const events: Events = new Map();
  const sources = readdirSync(join(ROOT, 'src'), { recursive: true, encoding: 'utf8' });
  for (const path of sources.filter((name) => name.endsWith('.ts'))) {
    const code = contentOf(`src/${path}`);
    for (const call of code.matchAll(/\blog\.(trace|debug|info|warn|error|fatal)\(/g)) {
      const from = call.index + call[0].length;
      const text = code.slice(from, endOfArguments(code, from));
      const event = /(?:^|,)\s*'([^']+)',?\s*$/.exec(text)?.[1];
      assert.ok(event, `src/${path}: the event is a plain string: log.${call[1] ?? ''}(${text})`);
      addEvent(events, event, call[1] ?? '');
    }
  }
  return events;
}

/** The cells of the first table under a heading of a page, without its head; escaped bars are not used there. */
function tableRows(page: string, heading: string): string[][] {
  const [, section = ''] = contentOf(page).split(`\n## ${heading}\n`);
  const fromTable = section.slice(section.indexOf('\n|') + 1).split('\n');
  const end = fromTable.findIndex((line) => !line.startsWith('|'));
  return fromTable.slice(2, end).map((line) =>
    line
      .split('|')
      .slice(1, -1)
      .map((cell) => cell.trim()),
  );
}

const codeIn = (cell = ''): string[] =>
  [...cell.matchAll(/`([^`]+)`/g)].map(([, code = '']) => code);

/** Names of all metrics that the process answers. */
async function metricNames(): Promise<Set<string>> {
  const metrics = new Metrics();
  metrics.setGaugeValues({
    incarnation: () => 0,
    fencingToken: () => 0,
    leaseSeconds: () => 0,
    revision: () => 0,
    replicaAgeSeconds: () => 0,
    machines: () => 0,
    quota: () => [],
  });
  const { text } = await metrics.text();
  return new Set([...text.matchAll(/^# TYPE (\S+)/gm)].map(([, name = '']) => name));
}

for (const page of PAGES) {
  void test(`${page}: every path that it names exists`, () => {
    const paths = named(page, /(?<![\w/.-])((?:src|test|docs)\/[\w./-]*\w)/g);
    for (const path of paths) assert.ok(existsSync(join(ROOT, path)), path);
  });

  void test(`${page}: every source file that it names exists`, () => {
    const files = named(page, /`((?:[\w-]+\/)*[\w.-]+\.ts)`/g);
    for (const file of files)
      assert.ok(
        ['', 'src', 'src/store/records', 'test'].some((folder) =>
          existsSync(join(ROOT, folder, file)),
        ),
        file,
      );
  });

  void test(`${page}: every page that it links to exists`, () => {
    const links = named(page, /\]\(([^)#:]+)(?:#[^)]*)?\)/g);
    for (const link of links) assert.ok(existsSync(join(ROOT, dirname(page), link)), link);
  });
}

void test('docs/operating.md lists the log events of the sources, each once, with its level', () => {
  const rows = tableRows('docs/operating.md', 'Logs');
  const listed: Events = new Map();
  for (const [event, level = ''] of rows) {
    const [name = ''] = codeIn(event);
    assert.ok(!listed.has(name), `listed once: ${name}`);
    addEvent(listed, name, level);
  }
  assert.deepEqual(
    new Map([...listed].sort()),
    new Map([...loggedEvents()].sort()),
    'events and levels',
  );
});

void test('docs/operating.md lists the metrics that the process answers', async () => {
  const listed = tableRows('docs/operating.md', 'Metrics').flatMap(([cell]) =>
    codeIn(cell).filter((code) => code.startsWith('tackvane_')),
  );
  assert.deepEqual(listed.sort(), [...(await metricNames())].sort());
});

void test('every metric that a page names exists', async () => {
  const existing = await metricNames();
  for (const page of PAGES)
    for (const name of named(page, /\b(tackvane_\w+)/g))
      assert.ok(existing.has(name), `${page}: ${name}`);
});
