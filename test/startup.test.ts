/** The code cache of the bundled program: used if it is valid, otherwise the program starts without it. */
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
/** A start takes a fraction of a second, or some seconds on a busy machine. */
const START_TIMEOUT_MS = 30_000;

const folder = mkdtempSync(join(tmpdir(), 'tackvane-startup-'));
const settings = join(folder, 'settings.toml');
writeFileSync(
  settings,
  settingsOf({
    host: 'host-0',
    userAddress: '127.0.0.1:0',
    peerAddress: '127.0.0.1:0',
    peers: [],
    // Nothing listens on this port.
    state: '127.0.0.1:9',
    cloud: '127.0.0.1:9',
    limits: { heartbeatS: 1, leaseS: 10, gangWaitS: 30, gangPeerS: 6, cancelS: 40, teams: [] },
  }),
);
after(() => {
  rmSync(folder, { recursive: true });
});

const flags = serviceFlags();

/** Copies the build output, as for a service installed in another folder. Returns the folder of the program. */
function install(name: string): string {
  const installFolder = join(folder, name, 'target');
  mkdirSync(installFolder, { recursive: true });
  for (const file of FILES) copyFileSync(join(TARGET, file), join(installFolder, file));
  copyFileSync(join(ROOT, 'package.json'), join(folder, name, 'package.json'));
  return installFolder;
}

/** Starts a controller, returns its first log line and stops it. */
function firstLogLine(
  installFolder: string,
  nodeFlags: string[],
): Promise<Record<string, unknown>> {
  const child = spawn(
    process.execPath,
    [...nodeFlags, join(installFolder, 'service.cjs'), 'serve', '--config', settings],
    { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: 'info' } },
  );
  return new Promise((resolve, reject) => {
    let output = '';
    const timeout = setTimeout(() => {
      child.kill();
      reject(new Error(`the controller logged no complete line: ${output}`));
    }, START_TIMEOUT_MS);
    child.stderr.on('data', (bytes: Buffer) => {
      output += bytes.toString();
      const end = output.indexOf('\n');
      if (end < 0) return;
      clearTimeout(timeout);
      child.kill();
      resolve(JSON.parse(output.slice(0, end)) as Record<string, unknown>);
    });
  });
}

const CASES: {
  name: string;
  nodeFlags: string[];
  corrupt: (cache: string) => void;
  use: string;
}[] = [
  { name: 'as built', nodeFlags: flags, corrupt: () => undefined, use: 'used' },
  {
    name: 'missing',
    nodeFlags: flags,
    corrupt: (cache) => {
      rmSync(cache);
    },
    use: 'missing',
  },
  {
    name: 'empty',
    nodeFlags: flags,
    corrupt: (cache) => {
      truncateSync(cache, 0);
    },
    use: 'cut short',
  },
  {
    name: 'without its last byte',
    nodeFlags: flags,
    corrupt: (cache) => {
      truncateSync(cache, readFileSync(cache).length - 1);
    },
    use: 'cut short',
  },
  {
    name: 'of another build',
    nodeFlags: flags,
    corrupt: (cache) => {
      const bytes = readFileSync(cache);
      bytes.write('0123456789abcdef', 'latin1');
      writeFileSync(cache, bytes);
    },
    use: 'of another build',
  },
  {
    name: 'of another version of V8',
    nodeFlags: flags,
    corrupt: (cache) => {
      const bytes = readFileSync(cache);
      // The file's own header is followed by that of V8: a magic number, then the hash of V8's version.
      bytes.writeUInt32LE(bytes.readUInt32LE(76) ^ 1, 76);
      writeFileSync(cache, bytes);
    },
    use: 'refused by V8',
  },
  {
    name: 'made with other flags',
    nodeFlags: ['--stack-size=900'],
    corrupt: () => undefined,
    use: 'refused by V8',
  },
];

for (const [index, { name, nodeFlags, corrupt, use }] of CASES.entries())
  void test(`code cache ${name}: ${use}, and the controller listens`, async () => {
    const installFolder = install(String(index));
    corrupt(join(installFolder, 'program.cache'));
    const { msg, codeCache } = await firstLogLine(installFolder, nodeFlags);
    assert.deepEqual({ msg, codeCache }, { msg: 'listening', codeCache: use });
  });

// A dynamic import fails in a script that was loaded from a code cache. The metrics library was once imported that way,
// so every request for metrics failed.
for (const [name, isCacheRemoved] of [
  ['from its code cache', false],
  ['without a code cache', true],
] as const)
  void test(`code cache: a controller that starts ${name} serves its metrics`, async () => {
    const installFolder = install(`metrics ${name}`);
    if (isCacheRemoved) rmSync(join(installFolder, 'program.cache'));
    // The program resolves the metrics library from its own folder.
    symlinkSync(join(ROOT, 'node_modules'), join(installFolder, 'node_modules'));
    const port = await freePort();
    const text = readFileSync(settings, 'utf8').replace(
      'internal_addr = "127.0.0.1:0"',
      `internal_addr = "127.0.0.1:${String(port)}"`,
    );
    const settingsFile = join(installFolder, 'settings.toml');
    writeFileSync(settingsFile, text);
    const child = spawn(
      process.execPath,
      [...flags, join(installFolder, 'service.cjs'), 'serve', '--config', settingsFile],
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

/** A port on which nothing listens. */
async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

// A code cache holds compiled functions only. If it also held the state of a process, two controllers could draw the
// same random numbers.
void test('code cache: two processes started from the same one have different random numbers, start times and ids', () => {
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
