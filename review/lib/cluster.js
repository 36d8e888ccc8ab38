/* eslint-disable */
// A small deployment: real controller processes with the stand-ins, all on loopback.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.js';
import { StateService } from './store.js';
import { Client, serve } from './wire.js';
import { Worker } from './worker.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The command of the deploy file's `run` line; the path of the settings file is appended to it. */
function runCommand() {
  const [, run] =
    /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8')) ?? [];
  if (!run) throw new Error('deploy/service.toml has no run line');
  return run.split(' ');
}

/** A free port of each of these addresses. Connections that go out have other addresses and cannot take it. */
function freePorts(hosts) {
  return Promise.all(
    hosts.map(async (host) => {
      const server = createServer();
      await new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(0, host, resolve);
      });
      const { port } = server.address();
      await new Promise((resolve) => server.close(resolve));
      return `${host}:${port}`;
    }),
  );
}

/** Loopback addresses of one run's controllers. */
function controllerHosts(count) {
  const byte = () => 16 + Math.floor(Math.random() * 200);
  const network = `127.${byte()}.${byte()}`;
  return Array.from({ length: count }, (_, index) => `${network}.${10 + index}`);
}

/** Writes lines with the seconds since the start to a file. */
export class Recorder {
  constructor(path) {
    this.startedAt = performance.now();
    this.file = createWriteStream(path);
    this.write = (line) => this.file.write(`${this.seconds().toFixed(3).padStart(8)} ${line}\n`);
  }
  seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }
  close() {
    return new Promise((resolve) => this.file.end(resolve));
  }
}

const toml = (value) =>
  typeof value === 'number' && !Number.isInteger(value) ? String(value) : JSON.stringify(value);
const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));

export class Cluster {
  /** `options`: controllers, zones, teams, workers, state, cloud, quota, machineTypes, machines, fetchMs, runMs. */
  constructor(options, recorder) {
    this.options = options;
    this.recorder = recorder;
    this.record = recorder.write;
    this.folder = mkdtempSync(join(tmpdir(), 'tackvane-review-'));
    this.hosts = new Map();
    this.processes = new Map();
    this.workers = new Map();
    this.jobs = new Map();
    this.user = new Client(64);
    this.closers = [];
    this.unexpectedEnds = [];
    this.ended = false;
  }

  async start() {
    const { options, record } = this;
    const names = Array.from({ length: options.controllers }, (_, index) => `host-${index}`);
    this.state = new StateService(options.state, record);
    const types = options.machineTypes;
    this.world = {
      workers: options.workers,
      hosts: this.hosts,
      jobs: this.jobs,
      gangs: new Map(),
      fetchMs: options.fetchMs ?? 500,
      runMs: options.runMs,
      record,
      onLaunch: options.onLaunch,
      onStart: options.onStart,
      onEnd: options.onEnd,
    };
    this.cloud = new Cloud({
      machineTypes: types,
      listLagMs: options.cloud.list_lag_s * 1000,
      capacity: options.capacity ?? 0,
      onUp: (rental) => this.machineUp(rental),
      onGone: (uid) => {
        this.workers.get(uid)?.stop();
        this.workers.delete(uid);
      },
      record,
    });
    const cloudServer = await serve((call) => this.cloud.handle(call));
    this.closers.push(cloudServer);
    const hosts = controllerHosts(names.length);
    const publicAddresses = await freePorts(hosts);
    const internalAddresses = await freePorts(hosts);
    const mesh = new Map();
    for (const [index, name] of names.entries()) {
      this.hosts.set(name, publicAddresses[index]);
      mesh.set(name, internalAddresses[index]);
    }
    for (const name of names) {
      const state = await serve((call) => this.state.handle(name, call));
      this.closers.push(state);
      writeFileSync(
        this.settingsPath(name),
        this.settings(name, mesh, cloudServer.address, state.address),
      );
    }
    for (const { flavor, site, reclaimable } of options.machines)
      await this.machineUp(this.cloud.add(flavor, site, reclaimable));
    for (const name of names) this.startController(name);
  }

  async machineUp(rental) {
    const type = this.options.machineTypes.find(({ sku }) => sku === rental.flavor);
    const worker = await new Worker(rental, type, this.world).start();
    rental.address = worker.address;
    rental.phase = 'running';
    if (this.ended) worker.stop();
    else this.workers.set(rental.uid, worker);
  }

  settingsPath(name) {
    return join(this.folder, `${name}.toml`);
  }

  settings(name, mesh, cloud, state) {
    const {
      zones,
      teams,
      workers,
      state: limits,
      cloud: cloudLimits,
      quota,
      objectives = [],
    } = this.options;
    const lines = [
      `host_name = "${name}"`,
      `zone = "${zones[0]}"`,
      `serve_on = "${this.hosts.get(name)}"`,
      `internal_addr = "${mesh.get(name)}"`,
    ];
    for (const [other, address] of mesh)
      if (other !== name)
        lines.push(
          '[[others]]',
          `host_name = "${other}"`,
          `zone = "${zones[0]}"`,
          `address = "${address}"`,
        );
    lines.push('[external]', `cloud = "${cloud}"`, `state = "${state}"`);
    lines.push(
      '[settings]',
      `size = ${mesh.size}`,
      `zones = ${toml(zones)}`,
      'clock_error_ms = 100.0',
    );
    const table = (entries) =>
      Object.entries(entries).map(([key, value]) =>
        typeof value === 'number' && !['txn_ops', 'max_sockets'].includes(key)
          ? `${key} = ${decimal(value)}`
          : `${key} = ${toml(value)}`,
      );
    for (const team of teams) lines.push('[[settings.teams]]', ...table(team));
    for (const objective of objectives) lines.push('[[settings.objectives]]', ...table(objective));
    lines.push('[settings.workers]', ...table(workers));
    lines.push('[settings.state]', ...table(limits));
    lines.push('[settings.cloud]', ...table(cloudLimits));
    lines.push('[settings.quota]', ...table(quota));
    return `${lines.join('\n')}\n`;
  }

  startController(name) {
    const [program, ...args] = runCommand();
    const child = spawn(
      program === 'node' ? process.execPath : program,
      [...args, this.settingsPath(name)],
      {
        cwd: ROOT,
        stdio: ['ignore', 'ignore', 'pipe'],
        env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
      },
    );
    const entry = { child, isKilled: false };
    this.processes.set(name, entry);
    let rest = '';
    child.stderr.on('data', (bytes) => {
      const lines = (rest + bytes).split('\n');
      rest = lines.pop();
      for (const line of lines)
        if (!line.includes('"domain summary"')) this.record(`${name} logs ${line.slice(0, 600)}`);
    });
    child.on('exit', (code, signal) => {
      if (entry.isKilled) return;
      this.unexpectedEnds.push(`${name}: code ${code}, signal ${signal}`);
      this.record(`${name} ended by itself: code ${code}, signal ${signal}`);
    });
    this.record(`${name} started, pid ${child.pid}`);
  }

  signal(name, signal) {
    const entry = this.processes.get(name);
    if (signal === 'SIGKILL') entry.isKilled = true;
    entry.child.kill(signal);
    this.record(`${name} gets ${signal}`);
  }

  /** Waits until all controllers answer 200 to /up. */
  async ready(timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    for (const [name, address] of this.hosts) {
      for (;;) {
        const answer = await this.user
          .call(address, { path: '/up', timeoutMs: 1000 })
          .catch(() => null);
        if (answer?.status === 200) break;
        if (performance.now() > until) throw new Error(`${name} is not up`);
        await sleep(200);
      }
    }
    this.record('all controllers are up');
  }

  /** One request of a user to one controller, recorded; null if it is not answered. */
  async ask(name, method, path, body, timeoutMs = method === 'GET' ? 2000 : 5000) {
    const call = { method, path, body, timeoutMs };
    const answer = await this.user.call(this.hosts.get(name), call).catch(() => null);
    const text = answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer';
    this.record(`user: ${method} ${path} at ${name} -> ${text}`);
    return answer;
  }

  /** Repeats a request at all controllers in turn until it is answered with one of these statuses. */
  async askUntil(statuses, method, path, body, forMs = 60_000) {
    const until = performance.now() + forMs;
    const names = [...this.hosts.keys()];
    for (let turn = 0; performance.now() < until; turn++) {
      const answer = await this.ask(names[turn % names.length], method, path, body);
      if (answer && statuses.includes(answer.status)) return answer;
      await sleep(1000);
    }
    throw new Error(`${method} ${path} is not answered`);
  }

  submit(job) {
    this.jobs.set(job.uid, job);
    return this.askUntil([200, 201, 400, 422], 'POST', '/v2/runs', job);
  }

  async shutDown() {
    this.ended = true;
    for (const [name, { child, isKilled }] of this.processes)
      if (!isKilled && child.exitCode === null) this.signal(name, 'SIGKILL');
    for (const worker of this.workers.values()) worker.stop();
    for (const closer of this.closers) closer.close();
    this.state?.stop();
    this.user.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A submission with usual values; `fields` replaces some of them. */
export const job = (fields) => ({
  jobclass: 'batch',
  owner: 'intake',
  shape: 'array',
  rank: 'standard',
  tasks: 1,
  cpus: 2,
  cards: 0,
  memory_gb: 4,
  image: 'img-01',
  image_gb: 1.2,
  flavors: null,
  site: null,
  one_zone: false,
  spread: false,
  reclaimable: false,
  expect_s: 20,
  snapshot_s: 0,
  flush_s: 0,
  due_s: null,
  ...fields,
});

/** The settings and machines of the smaller deployment of the brief (emmp-siniestros), with teams of one's own. */
export function siniestros(fields = {}) {
  const zones = ['centro', 'cuba', 'dosquebradas'];
  const machineTypes = [
    {
      sku: 'nodo-rack',
      cpus: 8,
      cards: 0,
      memory_gb: 64,
      cache_gb: 100,
      pull_gb_per_s: 0.5,
      rate: 0.63,
      low_price: 0.13,
      ready_s: 30,
      sites: zones,
    },
  ];
  return {
    controllers: 3,
    zones,
    teams: [
      { name: 'intake', cpus: 16, cpus_max: 48, gpus: 0, gpus_max: 0 },
      { name: 'intake-2', cpus: 16, cpus_max: 48, gpus: 0, gpus_max: 0 },
    ],
    workers: { report_s: 1, lease_s: 11, gang_wait_s: 30, gang_peer_s: 6, cancel_s: 36 },
    state: { rps: 250, write_rps: 15, value_kb: 4, txn_ops: 12 },
    cloud: { rps: 8, list_lag_s: 8 },
    quota: { cpu_share: 0.17, memory_mb: 146, max_sockets: 700 },
    machineTypes,
    machines: Array.from({ length: 20 }, (_, index) => ({
      flavor: 'nodo-rack',
      site: zones[index % 3],
      reclaimable: false,
    })),
    runMs: (submission) => submission.expect_s * 1000,
    ...fields,
  };
}

/** The settings of the other deployment of the brief (fvgcc-climate), with a few of its machines up at the start. */
export function climate(fields = {}) {
  const zones = ['abbotsford', 'langley'];
  const type = (sku, cpus, cards, memory_gb, rate, low_price, ready_s) => ({
    sku,
    cpus,
    cards,
    memory_gb,
    cache_gb: 100,
    pull_gb_per_s: 0.2,
    rate,
    low_price,
    ready_s,
    sites: zones,
  });
  const machines = (flavor, count) =>
    Array.from({ length: count }, (_, index) => ({
      flavor,
      site: zones[index % 2],
      reclaimable: false,
    }));
  return {
    controllers: 3,
    zones,
    teams: [
      { name: 'cedar-tomato', cpus: 48, cpus_max: 136, gpus: 2, gpus_max: 6 },
      { name: 'delta-pepper', cpus: 56, cpus_max: 224, gpus: 2, gpus_max: 8 },
      { name: 'coastal-cuke', cpus: 112, cpus_max: 264, gpus: 8, gpus_max: 16 },
    ],
    workers: { report_s: 2, lease_s: 14, gang_wait_s: 30, gang_peer_s: 6, cancel_s: 39 },
    state: { rps: 120, write_rps: 25, value_kb: 8, txn_ops: 20 },
    cloud: { rps: 5, list_lag_s: 8 },
    quota: { cpu_share: 0.17, memory_mb: 178, max_sockets: 1200 },
    machineTypes: [
      type('sill', 4, 0, 32, 0.24, 0.06, 50),
      type('trellis', 8, 0, 32, 0.46, 0.11, 25),
      type('silo', 64, 0, 512, 4.15, 1.07, 35),
      type('lampbox', 12, 2, 48, 4.79, 1.35, 30),
      type('glasshouse', 48, 8, 192, 27.54, 6.77, 60),
    ],
    machines: [...machines('silo', 6), ...machines('trellis', 6)],
    runMs: (submission) => submission.expect_s * 1000,
    ...fields,
  };
}

/** Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(folderUrl, options, play) {
  const recorder = new Recorder(fileURLToPath(new URL('record.txt', folderUrl)));
  const cluster = new Cluster(options, recorder);
  const trouble = process.env.TROUBLE !== '0';
  recorder.write(`TROUBLE=${trouble ? 1 : 0}`);
  let code = 2;
  const limit = setTimeout(() => {
    recorder.write('the time limit of the script is reached');
    void finish(2);
  }, 119_000);
  let finished = false;
  async function finish(result) {
    if (finished) return;
    finished = true;
    clearTimeout(limit);
    await cluster.shutDown();
    recorder.write(`exit ${result}`);
    await recorder.close();
    process.exit(result);
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => void finish(2));
  for (const fault of ['uncaughtException', 'unhandledRejection'])
    process.on(fault, (error) => {
      recorder.write(`could not run: ${error?.stack ?? error}`);
      void finish(2);
    });
  try {
    await cluster.start();
    await cluster.ready();
    const broken = await play(cluster, trouble, recorder);
    for (const line of broken) {
      recorder.write(`BROKEN: ${line}`);
      console.log(`broken: ${line}`);
    }
    if (broken.length === 0) console.log('the rule held');
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    recorder.write(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  await finish(code);
}
