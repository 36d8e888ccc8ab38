/** Real controllers among stand-ins of this repository, joined by relays, with a checker of what is seen from outside. */
import type { JobSpec } from '../../src/model/job.js';
import type { Server } from 'node:http';
import { join } from 'node:path';
import { httpCaller, type Answer, type Call, type Caller } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { Checker, type Limits } from '../fakes/checker.js';
import { FakeCloud, type FakeMachineType } from '../fakes/cloud.js';
import { auditRecords } from '../fakes/store-audit.js';
import { FakeStateStore } from '../fakes/store.js';
import { SeededRandom } from '../fakes/time.js';
import { Users } from '../fakes/users.js';
import { FakeWorker, type WorkerWorld } from '../fakes/worker.js';
import { Controllers } from './controllers.js';
import { RealTime } from './real-time.js';
import { Relay, type RelayMode } from './relay.js';
import { settingsOf, type ClusterLimits } from './settings.js';
import { serveStandIn } from './stand-in-server.js';

export const HOSTS = ['h0', 'h1', 'h2'] as const;

export const LIMITS: ClusterLimits = {
  reportS: 0.5,
  leaseS: 5,
  gangWaitS: 8,
  gangPeerS: 2,
  cancelS: 13,
  teams: [
    { name: 'red', cpus: 6, cpusMax: 12 },
    { name: 'blue', cpus: 6, cpusMax: 12 },
  ],
};

const flavor = (sku: string, cpus: number): FakeMachineType => ({
  sku,
  cpus,
  cards: 0,
  memory_gb: cpus * 8,
  rate: cpus,
  low_price: cpus / 3,
  ready_s: 1.5,
  sites: ['x', 'y'],
});
const FLAVORS = [flavor('small', 4), flavor('large', 8)];
/** Machines of each type, zone and kind that can be rented, and those up at the start. */
const CAPACITY = 1;
const MACHINES = 4;
const LIST_LAG_MS = 1000;
const STATE_LIMITS = { value_kb: 4, txn_ops: 12 };

const PORTS = {
  users: 8080,
  mesh: 8081,
  worker: 9000,
  workerBehindRelay: 9001,
  meshRelay: 9100,
  reportRelay: 9200,
};

/**
 * A worker's stand-in looks at its lease every 100 ms, and this program may be late on a busy machine. Controllers allow a
 * quarter of a report for a lapse, so the stand-ins' leases end this much early rather than late, in milliseconds.
 */
const LAPSE_EARLY_MS = 150;

/** Events kept, to show what went before a violation. */
const EVENTS_KEPT = 60;

type Link = 'store' | 'cloud' | 'mesh' | 'report' | 'command';

interface NamedRelay {
  link: Link;
  from: string;
  to: string;
  relay: Relay;
}

export class Cluster {
  readonly time = new RealTime();
  readonly chance: SeededRandom;
  readonly checker: Checker;
  readonly store: FakeStateStore;
  readonly users: Users;
  readonly workers = new Map<string, FakeWorker>();
  readonly controllers: Controllers;
  /** What the records in the store broke, each finding once. */
  readonly recordsBroken = new Set<string>();
  /** Share of the reports that come again later, to whoever is at that address then. */
  repeatShare = 0;
  private readonly cloud: FakeCloud;
  private readonly relays: NamedRelay[] = [];
  private readonly servers: Server[] = [];
  private readonly events: string[] = [];
  private readonly workerWorld: WorkerWorld;
  private readonly addresses = new Map<string, string>();

  constructor(
    seed: number,
    program: string,
    folder: string,
    /** Two bytes of the loopback network that are this run's own. */
    private readonly network: readonly [number, number],
  ) {
    this.chance = new SeededRandom(seed);
    const teams: Limits['teams'] = new Map(
      LIMITS.teams.map(({ name, cpusMax }) => [name, { cpus: cpusMax, gpus: Infinity }]),
    );
    this.checker = new Checker({ teams, cancelMs: LIMITS.cancelS * 1000 });
    this.controllers = new Controllers(program, join(folder, 'controllers'), (what) => {
      this.note(what);
    });
    this.store = new FakeStateStore(this.time, this.chance, STATE_LIMITS);
    this.store.onApplied = (records) => {
      for (const { rule, what } of auditRecords(records, teams)) this.recordBroken(rule, what);
    };
    this.users = new Users({
      time: this.time,
      chance: this.chance,
      checker: this.checker,
      hosts: () => HOSTS.filter((host) => this.controllers.isUp(host)),
      call: (host, call) => this.callAsUser(host, call),
      pollMs: LIMITS.reportS * 1500,
      repeatMs: LIMITS.reportS * 4000,
    });
    this.workerWorld = this.makeWorkerWorld();
    this.cloud = new FakeCloud(
      this.time,
      this.chance,
      FLAVORS,
      CAPACITY,
      LIST_LAG_MS,
      ({ uid, flavor: sku, site, reclaimable }) => {
        void this.startWorker(uid, { flavor: sku, site, reclaimable });
      },
      (uid) => {
        this.note(`cloud: ${uid} deleted`);
        this.workers.get(uid)?.die();
        this.workers.delete(uid);
      },
      (uid) => this.workerAddress(uid),
    );
  }

  async start(): Promise<void> {
    for (const [index, host] of HOSTS.entries()) await this.wire(host, index);
    this.cloud.begin(MACHINES);
    for (const host of HOSTS) this.controllers.start(host);
    this.look();
  }

  /** Sets how all relays of a link behave that concern somebody, or all of them. */
  setLink(link: Link, who: string | null, mode: RelayMode, delayMs = 0): void {
    for (const one of this.relays)
      if (one.link === link && (who === null || one.from === who || one.to === who))
        one.relay.set(mode, delayMs);
  }

  note(what: string): void {
    this.events.push(`${(this.time.now / 1000).toFixed(3)} ${what}`);
    if (this.events.length > EVENTS_KEPT) this.events.shift();
  }

  lastEvents(): readonly string[] {
    return [...this.events];
  }

  /** All that was found, by whichever check. */
  findings(): string[] {
    return [
      ...this.checker.broken,
      ...this.recordsBroken,
      ...this.store.oversized.map((what) => `oversized: ${what}`),
      ...this.controllers.endedAlone.map((what) => `ended: ${what}`),
    ];
  }

  /** Metrics of the controllers that are up, by name. */
  async metrics(): Promise<Map<string, string>> {
    const texts = new Map<string, string>();
    for (const [index, host] of HOSTS.entries()) {
      if (!this.controllers.isUp(host)) continue;
      const url = `http://${this.ip(10 + index)}:${String(PORTS.mesh)}/metrics`;
      const answer = await fetch(url, { signal: AbortSignal.timeout(3000) });
      texts.set(host, await answer.text());
    }
    return texts;
  }

  end(): void {
    this.controllers.end();
    this.time.end();
    for (const worker of this.workers.values()) worker.die();
    for (const { relay } of this.relays) relay.close();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private recordBroken(rule: string, what: string): void {
    const finding = `records: ${rule}: ${what}`;
    if (!this.recordsBroken.has(finding)) this.note(finding);
    this.recordsBroken.add(finding);
  }

  private look(): void {
    this.checker.look(this.time.now);
    this.time.after(500, () => {
      this.look();
    });
  }

  private ip(last: number): string {
    return `127.${this.network.join('.')}.${String(last)}`;
  }

  /** A controller with all its links: to the state service, the cloud and its peers. */
  private async wire(host: string, index: number): Promise<void> {
    const own = this.ip(10 + index);
    const store = await this.serve(own, 0, (call) => this.handleStore(host, call));
    const cloud = await this.serve(own, 0, (call) => this.cloud.handle(call));
    const others = [];
    for (const [other, name] of HOSTS.entries()) {
      if (name === host) continue;
      const target = { host: this.ip(10 + other), port: PORTS.mesh };
      const port = await this.relay('mesh', host, name, target, own, PORTS.meshRelay + other);
      others.push({ name, address: `${own}:${String(port)}` });
    }
    const settings = settingsOf({
      host,
      servesOn: `${own}:${String(PORTS.users)}`,
      internal: `${own}:${String(PORTS.mesh)}`,
      others,
      state: `${own}:${String(await this.relay('store', host, 'store', store, own))}`,
      cloud: `${own}:${String(await this.relay('cloud', host, 'cloud', cloud, own))}`,
      limits: LIMITS,
    });
    this.controllers.configure(host, settings);
  }

  private async serve(
    host: string,
    port: number,
    handle: (call: Call) => Promise<Answer> | Answer,
  ): Promise<{ host: string; port: number }> {
    const server = await serveStandIn({ host, port }, handle);
    this.servers.push(server);
    const bound = server.address();
    return { host, port: typeof bound === 'object' && bound ? bound.port : port };
  }

  private async relay(
    link: Link,
    from: string,
    to: string,
    target: { host: string; port: number },
    host: string,
    port = 0,
  ): Promise<number> {
    const relay = new Relay(target);
    this.relays.push({ link, from, to, relay });
    return relay.listen(host, port);
  }

  private async handleStore(host: string, call: Call): Promise<Answer> {
    const answer = await this.store.handle(host, call);
    if (call.path === '/commit')
      this.note(`${host} commits ${keysOf(call.body)}: ${String(answer.status)}`);
    return answer;
  }

  private async callAsUser(host: string, call: Call): Promise<Answer> {
    const index = HOSTS.findIndex((one) => one === host);
    const answer = await this.callerTo(`user ${host}`, this.ip(10 + index), PORTS.users, 8)(call);
    this.note(
      `user: ${call.method} ${call.path} at ${host}: ${String(answer.status)} ${String(answer.body['phase'] ?? '')}`,
    );
    return answer;
  }

  private readonly callers = new Map<string, Caller>();

  private callerTo(name: string, host: string, port: number, sockets: number): Caller {
    let caller = this.callers.get(name);
    if (!caller) this.callers.set(name, (caller = httpCaller(`${host}:${String(port)}`, sockets)));
    return caller;
  }

  private makeWorkerWorld(): WorkerWorld {
    return {
      time: this.time,
      chance: this.chance,
      checker: this.checker,
      hosts: [...HOSTS],
      reportMs: LIMITS.reportS * 1000,
      leaseMs: LIMITS.leaseS * 1000 - LAPSE_EARLY_MS,
      gangWaitMs: LIMITS.gangWaitS * 1000,
      gangPeerMs: LIMITS.gangPeerS * 1000,
      flavors: new Map(FLAVORS.map((one) => [one.sku, one])),
      spec: (uid) => this.users.specs.get(uid),
      done: () => undefined,
      gangs: new Map(),
      addressOf: (machine) => this.workerAddress(machine),
      call: (from, host) => (call) => this.report(from, host, call),
    };
  }

  private workerAddress(machine: string): string {
    let address = this.addresses.get(machine);
    if (address === undefined) {
      // Names are not used again; the last byte goes round among the addresses that there are.
      address = `${this.ip(100 + (this.addresses.size % 150))}:${String(PORTS.worker)}`;
      this.addresses.set(machine, address);
    }
    return address;
  }

  private async startWorker(
    uid: string,
    facts: { flavor: string; site: string; reclaimable: boolean },
  ): Promise<void> {
    const [host = ''] = this.workerAddress(uid).split(':');
    for (const [index, name] of HOSTS.entries()) {
      const target = { host: this.ip(10 + index), port: PORTS.users };
      await this.relay('report', uid, name, target, host, PORTS.reportRelay + index);
    }
    const worker = new FakeWorker(uid, facts, this.workerWorld);
    this.workers.set(uid, worker);
    const behind = await this.serve(host, PORTS.workerBehindRelay, (call) => {
      this.note(`${uid} gets ${call.path} ${JSON.stringify(call.body?.['orders'] ?? [])}`);
      return worker.dead ? new Promise<Answer>(() => undefined) : worker.handle(call);
    });
    await this.relay('command', uid, uid, behind, host, PORTS.worker);
  }

  private report(from: string, host: string, call: Call): Promise<Answer> {
    const index = HOSTS.findIndex((one) => one === host);
    const [address = ''] = this.workerAddress(from).split(':');
    const caller = this.callerTo(`${from} ${host}`, address, PORTS.reportRelay + index, 1);
    if (this.chance.hit(this.repeatShare))
      this.time.after(this.chance.real(500, LIMITS.leaseS * 2000), () => {
        caller(call).catch(() => undefined);
      });
    return caller(call);
  }
}

/** The records that a transaction writes, for the list of events. */
function keysOf(body: Body | undefined): string {
  const apply = (body?.['apply'] ?? []) as { put?: string; delete?: string }[];
  return apply.map((change) => change.put ?? `-${change.delete ?? ''}`).join(' ');
}

/** What the users of a run ask for: more than the limits let run. */
export function drawJob(chance: SeededRandom, index: number): Partial<JobSpec> {
  const owner = index % 2 === 0 ? 'red' : 'blue';
  const image = `img-${String(index % 3)}`;
  if (index < 2)
    return {
      team: owner,
      image,
      kind: 'service',
      priority: 'critical',
      tasks: 2,
      cpus: 1,
      memoryGb: 2,
      expectedSeconds: 0,
    };
  return {
    team: owner,
    image,
    tasks: chance.int(1, 4),
    cpus: 2,
    memoryGb: 2,
    spot: true,
    expectedSeconds: chance.real(0.5, 3),
  };
}
