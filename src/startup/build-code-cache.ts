/**
 * Build step: writes the build id into the bundle's first line, runs the bundle briefly with the flags of
 * deploy/service.toml and saves V8's code cache of the functions compiled during that run.
 *
 * The controller in this run communicates with no other component: the system assigns its ports, and all addresses that
 * it calls refuse connections.
 */
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';
import { TackvaneError } from '../errors.js';
import { withBuildId, writeCodeCache } from './code-cache.js';
import { CODE_CACHE_FILE, loadProgram, PROGRAM_FILE } from './load-program.js';

/** The argument with which this file makes the cache in its own process, instead of starting a child process for it. */
const MAKE_CACHE_ARGUMENT = 'make';
/** Long enough for the first iteration of each of the controller's loops. */
const WARM_UP_MS = 300;

/**
 * Settings of the build's controller. Outbound addresses use the discard port of the loopback address, where nothing
 * listens.
 */
const SETTINGS = `host_name = "build"
zone = "z"
serve_on = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
[[others]]
host_name = "other"
zone = "z"
address = "127.0.0.1:9"
[external]
cloud = "127.0.0.1:9"
state = "127.0.0.1:9"
[settings]
size = 2
zones = ["z"]
[[settings.teams]]
name = "team"
cpus = 1.0
cpus_max = 2.0
[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 40.0
[settings.state]
rps = 100.0
write_rps = 10.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 5.0
list_lag_s = 8.0
[settings.quota]
cpu_share = 1.0
memory_mb = 128.0
max_sockets = 256
`;

const target = join(dirname(fileURLToPath(import.meta.url)), '..');
const bundle = join(target, PROGRAM_FILE);

/** The deploy file does not contain the command that starts the service. */
class InvalidDeployFile extends TackvaneError {
  readonly code = 'invalid_deploy_file';

  constructor(readonly path: string) {
    super(`${path}: run is not a string`);
  }
}

/**
 * Returns the Node flags of the service. V8 rejects a code cache made with other flags, so the cache is made with the
 * same.
 */
function serviceFlags(): string[] {
  const deployFile = join(target, '..', 'deploy', 'service.toml');
  const { run } = parse(readFileSync(deployFile, 'utf8'));
  if (typeof run !== 'string') throw new InvalidDeployFile(deployFile);
  return run.split(' ').filter((word) => word.startsWith('--') && word !== '--config');
}

function writeBuildId(): void {
  const source = readFileSync(bundle, 'latin1');
  const buildId = createHash('sha256').update(source, 'latin1').digest('hex');
  writeFileSync(bundle, withBuildId(source, buildId), 'latin1');
}

async function makeCache(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'tackvane-build-'));
  const settings = join(folder, 'settings.toml');
  writeFileSync(settings, SETTINGS);
  process.env['LOG_LEVEL'] = 'error';
  process.argv = [process.execPath, bundle, 'serve', '--config', settings];
  const { program, script, buildId } = loadProgram(target, false);
  void program.run('not asked for');
  await pause(WARM_UP_MS);
  writeCodeCache(join(target, CODE_CACHE_FILE), buildId, script.createCachedData());
  rmSync(folder, { recursive: true });
}

if (process.argv[2] === MAKE_CACHE_ARGUMENT) {
  await makeCache();
  // Without this, the controller would keep the process running.
  process.exit(0);
}
writeBuildId();
const self = fileURLToPath(import.meta.url);
const { status } = spawnSync(process.execPath, [...serviceFlags(), self, MAKE_CACHE_ARGUMENT], {
  stdio: 'inherit',
});
process.exit(status ?? 1);
