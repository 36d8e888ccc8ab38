/** The code cache of the bundled program: used where it fits, and a plain start where it does not. */
import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { settingsOf } from './soak/settings.js';
import { serviceFlags } from './fakes/service-flags.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const TARGET = join(ROOT, 'target');
const FILES = ['service.cjs', 'program.cjs', 'program.cache'];
/** A start takes a fraction of a second; on a busy machine some seconds. */
const PATIENCE_MS = 30_000;

const folder = mkdtempSync(join(tmpdir(), 'tackvane-startup-'));
const settings = join(folder, 'settings.toml');
writeFileSync(
  settings,
  settingsOf({
    host: 'host-0',
    userAddress: '127.0.0.1:0',
    peerAddress: '127.0.0.1:0',
    peers: [],
    // Nothing listens there.
    state: '127.0.0.1:9',
    cloud: '127.0.0.1:9',
    limits: { heartbeatS: 1, leaseS: 10, gangWaitS: 30, gangPeerS: 6, cancelS: 40, teams: [] },
  }),
);
after(() => {
  rmSync(folder, { recursive: true });
});

const flags = serviceFlags();

/** A copy of what was built, as a service that is installed elsewhere. */
function install(name: string): string {
  const place = join(folder, name, 'target');
  mkdirSync(place, { recursive: true });
  for (const file of FILES) copyFileSync(join(TARGET, file), join(place, file));
  copyFileSync(join(ROOT, 'package.json'), join(folder, name, 'package.json'));
  return place;
}

/** Starts a controller and returns what its first line tells. */
function firstLine(place: string, given: string[]): Promise<Record<string, unknown>> {
  const child = spawn(
    process.execPath,
    [...given, join(place, 'service.cjs'), 'serve', '--config', settings],
    { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: 'info' } },
  );
  return new Promise((resolve, reject) => {
    let output = '';
    const patience = setTimeout(() => {
      child.kill();
      reject(new Error(`no line: ${output}`));
    }, PATIENCE_MS);
    child.stderr.on('data', (bytes: Buffer) => {
      output += bytes.toString();
      const end = output.indexOf('\n');
      if (end < 0) return;
      clearTimeout(patience);
      child.kill();
      resolve(JSON.parse(output.slice(0, end)) as Record<string, unknown>);
    });
  });
}

const CASES: { name: string; given: string[]; spoil: (cache: string) => void; use: string }[] = [
  { name: 'as built', given: flags, spoil: () => undefined, use: 'used' },
  {
    name: 'missing',
    given: flags,
    spoil: (cache) => {
      rmSync(cache);
    },
    use: 'missing',
  },
  {
    name: 'empty',
    given: flags,
    spoil: (cache) => {
      truncateSync(cache, 0);
    },
    use: 'cut short',
  },
  {
    name: 'without its last byte',
    given: flags,
    spoil: (cache) => {
      truncateSync(cache, readFileSync(cache).length - 1);
    },
    use: 'cut short',
  },
  {
    name: 'of another build',
    given: flags,
    spoil: (cache) => {
      const bytes = readFileSync(cache);
      bytes.write('0123456789abcdef', 'latin1');
      writeFileSync(cache, bytes);
    },
    use: 'of another build',
  },
  {
    name: 'of another version of V8',
    given: flags,
    spoil: (cache) => {
      const bytes = readFileSync(cache);
      // Behind our own header, V8's: a magic number, then the hash of its version.
      bytes.writeUInt32LE(bytes.readUInt32LE(76) ^ 1, 76);
      writeFileSync(cache, bytes);
    },
    use: 'refused by V8',
  },
  {
    name: 'made under other flags',
    given: ['--stack-size=900'],
    spoil: () => undefined,
    use: 'refused by V8',
  },
];

for (const [index, { name, given, spoil, use }] of CASES.entries())
  void test(`code cache ${name}: ${use}, and the controller listens`, async () => {
    const place = install(String(index));
    spoil(join(place, 'program.cache'));
    const { msg, codeCache } = await firstLine(place, given);
    assert.deepEqual({ msg, codeCache }, { msg: 'listening', codeCache: use });
  });

// Found by the soak: in a script that comes from a code cache a dynamic import fails, and with it each question for metrics.
for (const [name, isSpoilt] of [
  ['from its code cache', false],
  ['without one', true],
] as const)
  void test(`code cache: a controller that starts ${name} tells its metrics`, async () => {
    const place = install(`metrics ${name}`);
    if (isSpoilt) rmSync(join(place, 'program.cache'));
    // The library that writes metrics is found from where the program lies.
    symlinkSync(join(ROOT, 'node_modules'), join(place, 'node_modules'));
    const port = await freePort();
    const text = readFileSync(settings, 'utf8').replace(
      'internal_addr = "127.0.0.1:0"',
      `internal_addr = "127.0.0.1:${String(port)}"`,
    );
    const own = join(place, 'settings.toml');
    writeFileSync(own, text);
    const child = spawn(
      process.execPath,
      [...flags, join(place, 'service.cjs'), 'serve', '--config', own],
      { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: 'info' } },
    );
    try {
      await once(child.stderr, 'data');
      const answer = await fetch(`http://127.0.0.1:${String(port)}/metrics`, {
        headers: { connection: 'close' },
      });
      assert.equal(answer.status, 200);
      assert.match(await answer.text(), /^tackvane_machines 0$/m);
    } finally {
      child.kill();
    }
  });

/** A port that nobody listens on. */
async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

// What is cached is compiled functions. Were a process's state in it, two controllers could draw the same numbers.
void test('code cache: two processes from the same one differ as plain ones do', () => {
  const library = new URL('../src/startup/load-program.js', import.meta.url).href;
  const code = `
    const { loadProgram } = await import(${JSON.stringify(library)});
    const { codeCache } = loadProgram(${JSON.stringify(TARGET)}, true);
    console.log(JSON.stringify([codeCache, Math.random(), performance.timeOrigin, process.pid]));`;
  const draw = (): [string, number, number, number] => {
    const { stdout } = spawnSync(
      process.execPath,
      [...flags, '--input-type=module', '--eval', code],
      { encoding: 'utf8' },
    );
    return JSON.parse(stdout) as [string, number, number, number];
  };
  const [one, two] = [draw(), draw()];
  assert.equal(one[0], 'used');
  assert.equal(two[0], 'used');
  for (const at of [1, 2, 3] as const) assert.notEqual(one[at], two[at]);
});
