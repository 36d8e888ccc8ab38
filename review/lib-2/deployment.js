/* eslint-disable */
// A small deployment for one case: controllers started by the deploy file's run line, and the stand-ins around them.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.js';
import { StateService } from './state-service.js';
import { Client, freePorts } from './wire.js';
import { Worker } from './worker.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const RUN_LIMIT_MS = 117_000;

/** The run is not possible; the script exits with 2. */
export class CannotRun extends Error {}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Settings of a small deployment: figures of the greenhouse platform's site. */
export const GREENHOUSE = {
  zones: ['abbotsford', 'langley'],
  controllers: [
    { name: 'host-0', zone: 'abbotsford' },
    { name: 'host-1', zone: 'abbotsford' },
    { name: 'host-2', zone: 'abbotsford' },
  ],
  workers: { report_s: 2, lease_s: 14, gang_wait_s: 30, gang_peer_s: 6, cancel_s: 39 },
  state: { rps: 120, writeRps: 25, valueKb: 8, txnOps: 20 },
  cloud: { rps: 5, listLagS: 8 },
  quota: { cpu_share: 0.17, memory_mb: 178, max_sockets: 1200 },
  objectives: [{ kind: 'guarantee', within_s: 5, share: 0.92 }],
};

const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));

export class Deployment {
  constructor(caseUrl, options) {
    this.options = { ...GREENHOUSE, ...options };
    this.folder = dirname(fileURLToPath(caseUrl));
    this.recordFile = join(this.folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startedAt = performance.now();
    this.temp = mkdtempSync(join(tmpdir(), 'tackvane-review-'));
    this.children = new Map();
    this.workers = new Map();
    this.nodes = new Map();
    this.jobs = new Map();
    this.listeners = [];
    this.commandListeners = [];
    this.client = new Client(16);
    this.settings = this.options.workers;
    process.on('exit', () => {
      this.killAll();
      rmSync(this.temp, { recursive: true, force: true });
    });
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
    this.watchdog = setTimeout(() => {
      this.note('the run took too long');
      process.exit(2);
    }, RUN_LIMIT_MS);
  }

  get seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }

  note(text) {
    appendFileSync(this.recordFile, `${this.seconds.toFixed(3).padStart(8)} ${text}\n`);
  }

  // What workers need.
  specOf(uid) {
    return this.jobs.get(uid)?.spec;
  }
  runSecondsOf(uid, task) {
    const run = this.jobs.get(uid)?.runSeconds ?? 1;
    return typeof run === 'function' ? run(task) : run;
  }
  commanded(worker, body) {
    for (const listener of this.commandListeners) listener(worker, body);
  }
  event(kind, worker, task) {
    for (const listener of this.listeners) listener(kind, worker, task);
  }

  async start() {
    const { controllers, state, cloud, flavors, capacity, machines } = this.options;
    this.state = new StateService(state);
    await this.state.start();
    this.cloud = new Cloud({
      flavors,
      capacity,
      ...cloud,
      note: (text) => this.note(text),
      onUp: (box) => this.machineUp(box),
      onGone: (uid) => this.machineGone(uid),
    });
    await this.cloud.start();
    const ports = await freePorts(controllers.length * 2);
    for (const [index, { name }] of controllers.entries()) {
      this.nodes.set(name, `127.0.0.1:${ports[2 * index]}`);
    }
    this.internal = new Map(
      controllers.map(({ name }, index) => [name, `127.0.0.1:${ports[2 * index + 1]}`]),
    );
    for (const { flavor, site, reclaimable } of machines)
      await this.cloud.addUp(flavor, site, reclaimable);
    for (const { name } of controllers) {
      writeFileSync(join(this.temp, `${name}.toml`), this.settingsOf(name));
      this.startController(name);
    }
    await this.waitFor('all controllers healthy and all machines known to them', 25, async () => {
      for (const address of this.nodes.values()) {
        const up = await this.client.call(address, 'GET', '/up', undefined, 1000).catch(() => null);
        if (up?.status !== 200) return false;
      }
      return [...this.workers.values()].every(({ answeredAt }) => answeredAt > 0);
    });
    this.note('deployment is up');
  }

  async machineUp(box) {
    const type = this.options.flavors.find(({ sku }) => sku === box.flavor);
    const worker = new Worker(box, type, this);
    await worker.start();
    this.workers.set(box.uid, worker);
    this.note(`${box.uid}: up, ${box.flavor} in ${box.site}${box.reclaimable ? ', cheap' : ''}`);
    return worker;
  }

  machineGone(uid) {
    this.workers.get(uid)?.die();
    this.workers.delete(uid);
  }

  settingsOf(name) {
    const { controllers, zones, teams, workers, state, cloud, quota, objectives } = this.options;
    const self = controllers.find((each) => each.name === name);
    const lines = [
      `host_name = "${name}"`,
      `zone = "${self.zone}"`,
      `serve_on = "${this.nodes.get(name)}"`,
      `internal_addr = "${this.internal.get(name)}"`,
    ];
    for (const other of controllers)
      if (other.name !== name)
        lines.push(
          '[[others]]',
          `host_name = "${other.name}"`,
          `zone = "${other.zone}"`,
          `address = "${this.peerAddress(name, other.name)}"`,
        );
    lines.push(
      '[external]',
      `cloud = "${this.cloud.address}"`,
      `state = "${this.stateAddress(name)}"`,
      '[settings]',
      `size = ${controllers.length}`,
      `zones = [${zones.map((zone) => `"${zone}"`).join(', ')}]`,
      'clock_error_ms = 100.0',
    );
    const table = (header, fields) => {
      lines.push(header);
      for (const [key, value] of Object.entries(fields))
        lines.push(
          typeof value === 'string' ? `${key} = "${value}"` : `${key} = ${decimal(value)}`,
        );
    };
    for (const team of teams) table('[[settings.teams]]', team);
    for (const objective of objectives) table('[[settings.objectives]]', objective);
    table('[settings.workers]', workers);
    lines.push(
      '[settings.state]',
      `rps = ${decimal(state.rps)}`,
      `write_rps = ${decimal(state.writeRps)}`,
      `value_kb = ${decimal(state.valueKb)}`,
      `txn_ops = ${state.txnOps}`,
      '[settings.cloud]',
      `rps = ${decimal(cloud.rps)}`,
      `list_lag_s = ${decimal(cloud.listLagS)}`,
      '[settings.quota]',
      `cpu_share = ${quota.cpu_share}`,
      `memory_mb = ${decimal(quota.memory_mb)}`,
      `max_sockets = ${quota.max_sockets}`,
    );
    return `${lines.join('\n')}\n`;
  }

  /** Address at which a controller reaches a peer; cases may put a proxy there. */
  peerAddress(_from, to) {
    return this.internal.get(to);
  }

  /** Address at which a controller reaches the state service; cases may put a proxy there. */
  stateAddress(_from) {
    return this.state.address;
  }

  startController(name) {
    const deploy = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
    const [, run] = /^run\s*=\s*"([^"]*)"/m.exec(deploy) ?? [];
    if (!run) throw new CannotRun('no run line in the deploy file');
    const [program, ...args] = run.split(/\s+/);
    const child = spawn(program, [...args, join(this.temp, `${name}.toml`)], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.children.set(name, child);
    const log = join(this.temp, `${name}.log`);
    child.stderr.on('data', (bytes) => {
      if (this.children.get(name) === child) appendFileSync(log, bytes);
    });
    child.on('error', (error) => this.note(`${name}: ${error.message}`));
    child.on('exit', (code, signal) => {
      if (this.children.get(name) !== child) return;
      this.children.delete(name);
      this.note(`${name} ended by itself: code ${code}, signal ${signal}`);
      this.endedByItself = name;
    });
    this.note(`${name} started`);
  }

  kill(name) {
    const child = this.children.get(name);
    this.children.delete(name);
    child?.kill('SIGKILL');
    this.note(`${name} killed`);
  }

  killAll() {
    for (const child of this.children.values()) child.kill('SIGKILL');
    this.children.clear();
  }

  async stop() {
    this.killAll();
    for (const worker of this.workers.values()) worker.die();
    this.state?.stop();
    this.cloud?.stop();
    this.client.close();
    clearTimeout(this.watchdog);
    rmSync(this.temp, { recursive: true, force: true });
  }

  async waitFor(what, seconds, test) {
    const until = performance.now() + seconds * 1000;
    while (performance.now() < until) {
      if (await test()) return;
      await sleep(100);
    }
    throw new CannotRun(`not in time: ${what}`);
  }

  // What users do.
  spec(fields) {
    return {
      jobclass: 'sensor-calibrate',
      owner: 'cedar-tomato',
      shape: 'array',
      rank: 'standard',
      tasks: 1,
      cpus: 2,
      cards: 0,
      memory_gb: 7.2,
      image: 'img-07',
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
    };
  }

  /** Submits a job as its user does: with retries, at one node after another. */
  async submit(uid, runSeconds, fields, node) {
    const spec = this.spec(fields);
    const job = { uid, spec, runSeconds, starts: 0, exits: [], phase: null };
    this.jobs.set(uid, job);
    const until = performance.now() + 60_000;
    for (let attempt = 0; performance.now() < until; attempt++) {
      const answer = await this.ask(
        node ?? this.pick(attempt),
        'POST',
        '/v2/runs',
        { uid, ...spec },
        5000,
      );
      if (answer.status === 200 || answer.status === 201) {
        job.acceptedAt = performance.now();
        job.phase = answer.body.phase;
        return job;
      }
      if (answer.status === 400 || answer.status === 422)
        throw new CannotRun(`${uid} refused: ${JSON.stringify(answer.body)}`);
      await sleep(1000);
    }
    throw new CannotRun(`${uid} not accepted`);
  }

  async poll(uid, node) {
    const answer = await this.ask(node ?? this.pick(), 'GET', `/v2/runs/${uid}`, undefined, 2000);
    const job = this.jobs.get(uid);
    if (answer.status === 200 && job) job.phase = answer.body.phase;
    return answer;
  }

  async cancel(uid, node) {
    for (let attempt = 0; ; attempt++) {
      const answer = await this.ask(
        node ?? this.pick(attempt),
        'POST',
        `/v2/runs/${uid}/withdraw`,
        {},
        5000,
      );
      if (answer.status === 200 || answer.status === 404) return answer;
      await sleep(1000);
    }
  }

  async ask(node, method, path, body, timeoutMs) {
    this.note(`user to ${node}: ${method} ${path}${body?.uid ? ` ${body.uid}` : ''}`);
    const answer = await this.client
      .call(this.nodes.get(node), method, path, body, timeoutMs)
      .catch((error) => ({ status: 0, body: { error: error.message } }));
    this.note(
      `${node} to user: ${method} ${path}: ${answer.status} ${JSON.stringify(answer.body)}`,
    );
    return answer;
  }

  pick(attempt = Math.floor(Math.random() * 100)) {
    const names = [...this.nodes.keys()];
    return names[attempt % names.length];
  }
}

/** Runs a case: `judge(deployment, trouble)` returns what broke the rule, or null. */
export async function runCase(caseUrl, options, judge) {
  const trouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(caseUrl, options);
  let code = 2;
  try {
    deployment.note(trouble ? 'with the disruption' : 'without the disruption');
    await options.prepare?.(deployment);
    await deployment.start();
    const broken = await judge(deployment, trouble);
    if (deployment.endedByItself)
      throw new CannotRun(`${deployment.endedByItself} ended by itself`);
    const verdict = broken ? `rule broken: ${broken}` : 'rule held';
    deployment.note(verdict);
    console.log(verdict);
    code = broken ? 1 : 0;
  } catch (error) {
    deployment.note(`could not run: ${error.message}`);
    console.log(`could not run: ${error.message}`);
    if (!(error instanceof CannotRun)) console.log(error.stack);
  }
  await deployment.stop();
  process.exit(code);
}

/**
 * Watches a waiting job: for how long in one piece it was left waiting while a machine that fits has room and its team is
 * under its limit. Returns once that reached `limitS`, the job has started, or `maxS` have passed.
 */
export async function watchWaiting(deployment, uid, { limitS, maxS, team }) {
  const { spec } = deployment.jobs.get(uid);
  const startedAt = performance.now();
  let since = null;
  let polledAt = -Infinity;
  for (;;) {
    const now = performance.now();
    if (now - polledAt > 5000) {
      polledAt = now;
      void deployment.poll(uid);
    }
    const holders = holdersOf(deployment, uid);
    if (holders.length > 0 || deployment.jobs.get(uid).phase === 'done') return { waitedS: 0 };
    const room = roomFor(deployment, spec);
    const used = usedBy(deployment, spec.owner);
    const isUnder =
      used.cpus + spec.cpus <= team.cpus_max && used.cards + spec.cards <= team.gpus_max;
    if (room && isUnder) since ??= now;
    else since = null;
    const waitedS = since === null ? 0 : (now - since) / 1000;
    if (waitedS >= limitS) {
      deployment.note(
        `${uid} has waited for ${waitedS.toFixed(1)} s in one piece; room on ${room}; ${spec.owner} uses ${used.cpus} of ${team.cpus_max} CPUs`,
      );
      return { waitedS, room };
    }
    if (now - startedAt > maxS * 1000) return { waitedS };
    await sleep(100);
  }
}

/** Machines on which a task of the job is, fetching included. */
export function holdersOf(deployment, uid) {
  const holders = [];
  for (const worker of deployment.workers.values())
    for (const task of worker.tasks.values())
      if (task.uid === uid && task.phase !== 'exited') holders.push(worker.uid);
  return holders;
}

/** A machine that is up, is answered, fits the job and has room for one task. */
function roomFor(deployment, spec) {
  const { report_s } = deployment.settings;
  for (const worker of deployment.workers.values()) {
    const { box } = worker;
    const isUp = !worker.dead && performance.now() - worker.answeredAt < report_s * 3000;
    const isAllowed =
      (spec.flavors === null || spec.flavors.includes(box.flavor)) &&
      (spec.site === null || spec.site === box.site) &&
      (spec.reclaimable || !box.reclaimable);
    if (isUp && isAllowed && !worker.sick && worker.hasRoomFor(spec)) return worker.uid;
  }
  return null;
}

function usedBy(deployment, owner) {
  const used = { cpus: 0, cards: 0 };
  for (const worker of deployment.workers.values())
    for (const { spec, phase } of worker.tasks.values()) {
      if (phase === 'exited' || spec?.owner !== owner) continue;
      used.cpus += spec.cpus;
      used.cards += spec.cards;
    }
  return used;
}
