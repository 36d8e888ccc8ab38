/**
 * Real controller processes with fake workers, cloud and state service, connected through relays. A checker verifies the
 * behaviour that users and workers observe.
 */
import { join } from 'node:path';
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { Checker, type CheckerLimits } from '../fakes/checker.js';
import { FakeCloud } from '../fakes/cloud.js';
import { auditRecords } from '../fakes/store-audit.js';
import { FakeStateStore } from '../fakes/store.js';
import { SeededRandom } from '../fakes/time.js';
import { Users } from '../fakes/users.js';
import type { FakeWorker } from '../fakes/worker.js';
import { CallerPool } from './caller-pool.js';
import { Controllers } from './controllers.js';
import { Links } from './links.js';
import { Machines } from './machines.js';
import {
  CAPACITY,
  controllerIp,
  HOSTS,
  INITIAL_MACHINES,
  LIMITS,
  LIST_LAG_MS,
  MACHINE_TYPES,
  PORTS,
  STATE_LIMITS,
  type Network,
} from './options.js';
import { RealTime } from './real-time.js';
import type { Address } from './relay.js';
import { settingsOf } from './settings.js';

/** Maximum number of recent events kept; they are printed with a violation. */
const MAX_EVENTS = 60;
/** Interval of the checks of the whole cluster. */
const CHECK_INTERVAL_MS = 500;
const METRICS_TIMEOUT_MS = 3000;
/** Maximum number of connections from users to each controller. */
const USER_SOCKETS = 8;

export interface ClusterOptions {
  seed: number;
  /** Path of the service bundle that the controllers run. */
  program: string;
  /** Directory for settings and logs. */
  folder: string;
  network: Network;
}

const formatAddress = ({ host, port }: Address): string => `${host}:${String(port)}`;

export class Cluster {
  readonly time = new RealTime();
  readonly random: SeededRandom;
  readonly checker: Checker;
  readonly store: FakeStateStore;
  readonly users: Users;
  readonly machines: Machines;
  readonly links = new Links();
  readonly controllers: Controllers;
  /** Rules violated by the records in the store; each finding is listed once. */
  private readonly recordViolations = new Set<string>();
  private readonly cloud: FakeCloud;
  private readonly callers = new CallerPool();
  private readonly events: string[] = [];
  private readonly network: Network;

  constructor({ seed, program, folder, network }: ClusterOptions) {
    this.network = network;
    this.random = new SeededRandom(seed);
    const { time, random, links, callers } = this;
    const note = (event: string): void => {
      this.note(event);
    };
    const teams: CheckerLimits['teams'] = new Map(
      LIMITS.teams.map(({ name, cpusMax }) => [name, { cpus: cpusMax, gpus: Infinity }]),
    );
    this.checker = new Checker({ teams, cancelMs: LIMITS.cancelS * 1000 });
    this.controllers = new Controllers(program, join(folder, 'controllers'), note);
    this.store = new FakeStateStore(time, random, STATE_LIMITS);
    this.store.onApplied = (records) => {
      for (const { rule, what } of auditRecords(records, teams))
        this.noteRecordViolation(rule, what);
    };
    const { checker } = this;
    this.users = this.createUsers();
    const { users } = this;
    this.machines = new Machines({ time, random, checker, users, links, callers, network, note });
    this.cloud = this.createCloud();
  }

  get workers(): ReadonlyMap<string, FakeWorker> {
    return this.machines.workers;
  }

  async start(): Promise<void> {
    for (const [index, host] of HOSTS.entries()) await this.configure(host, index);
    this.cloud.startMachines(INITIAL_MACHINES);
    for (const host of HOSTS) this.controllers.start(host);
    this.checkRegularly();
  }

  note(event: string): void {
    this.events.push(`${(this.time.now / 1000).toFixed(3)} ${event}`);
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }

  lastEvents(): readonly string[] {
    return [...this.events];
  }

  /** The findings of all checks. */
  findings(): string[] {
    return [
      ...this.checker.violations,
      ...this.recordViolations,
      ...this.store.oversized.map((what) => `oversized: ${what}`),
      ...this.controllers.unexpectedExits.map((what) => `ended: ${what}`),
    ];
  }

  /** Metrics texts of the running controllers, by controller name. */
  async metrics(): Promise<Map<string, string>> {
    const texts = new Map<string, string>();
    for (const [index, host] of HOSTS.entries()) {
      if (!this.controllers.isUp(host)) continue;
      const address = { host: controllerIp(this.network, index), port: PORTS.mesh };
      const url = `http://${formatAddress(address)}/metrics`;
      const answer = await fetch(url, { signal: AbortSignal.timeout(METRICS_TIMEOUT_MS) });
      texts.set(host, await answer.text());
    }
    return texts;
  }

  shutDown(): void {
    this.controllers.shutDown();
    this.time.stop();
    this.machines.stopAll();
    this.links.close();
  }

  private createUsers(): Users {
    return new Users({
      time: this.time,
      random: this.random,
      checker: this.checker,
      hosts: () => HOSTS.filter((host) => this.controllers.isUp(host)),
      call: (host, call) => this.callAsUser(host, call),
      pollMs: LIMITS.heartbeatS * 1500,
      repeatMs: LIMITS.heartbeatS * 4000,
    });
  }

  private createCloud(): FakeCloud {
    return new FakeCloud({
      time: this.time,
      random: this.random,
      machineTypes: MACHINE_TYPES,
      capacity: CAPACITY,
      listLagMs: LIST_LAG_MS,
      onMachineUp: ({ machineId, machineType, zone, spot }) => {
        void this.machines.start(machineId, { machineType, zone, spot });
      },
      onMachineGone: (machineId) => {
        this.machines.remove(machineId);
      },
      addressOf: (machineId) => this.machines.addressOf(machineId),
    });
  }

  private noteRecordViolation(rule: string, what: string): void {
    const finding = `records: ${rule}: ${what}`;
    if (!this.recordViolations.has(finding)) this.note(finding);
    this.recordViolations.add(finding);
  }

  private checkRegularly(): void {
    this.checker.check(this.time.now);
    this.time.after(CHECK_INTERVAL_MS, () => {
      this.checkRegularly();
    });
  }

  /** Writes the settings of a controller and opens its links to the state service, the cloud and its peers. */
  private async configure(host: string, index: number): Promise<void> {
    const { links, network } = this;
    const own = controllerIp(network, index);
    const anyPort = { host: own, port: 0 };
    const store = await links.serve(anyPort, (call) => this.serveStore(host, call));
    const cloud = await links.serve(anyPort, (call) => this.cloud.handle(call));
    const peers = [];
    for (const [other, name] of HOSTS.entries()) {
      if (name === host) continue;
      const target = { host: controllerIp(network, other), port: PORTS.mesh };
      const listen = { host: own, port: PORTS.meshRelay + other };
      const relay = await links.openRelay({ kind: 'mesh', from: host, to: name }, target, listen);
      peers.push({ name, address: formatAddress(relay) });
    }
    const storeLink = { kind: 'store', from: host, to: 'store' } as const;
    const cloudLink = { kind: 'cloud', from: host, to: 'cloud' } as const;
    const settings = settingsOf({
      host,
      userAddress: formatAddress({ host: own, port: PORTS.users }),
      peerAddress: formatAddress({ host: own, port: PORTS.mesh }),
      peers,
      state: formatAddress(await links.openRelay(storeLink, store, anyPort)),
      cloud: formatAddress(await links.openRelay(cloudLink, cloud, anyPort)),
      limits: LIMITS,
    });
    this.controllers.configure(host, settings);
  }

  private async serveStore(host: string, call: Call): Promise<Answer> {
    const answer = await this.store.handle(host, call);
    if (call.path === '/commit')
      this.note(`${host} commits ${writtenKeys(call.body)}: ${String(answer.status)}`);
    return answer;
  }

  private async callAsUser(host: string, call: Call): Promise<Answer> {
    const index = HOSTS.findIndex((name) => name === host);
    const address = { host: controllerIp(this.network, index), port: PORTS.users };
    const send = this.callers.callerTo(`user ${host}`, address, USER_SOCKETS);
    const answer = await send(call);
    const { phase } = answer.body;
    const phaseText = typeof phase === 'string' ? phase : '';
    this.note(
      `user: ${call.method} ${call.path} at ${host}: ${String(answer.status)} ${phaseText}`,
    );
    return answer;
  }
}

/** Keys of the records that a transaction writes, for the list of events; `-` marks a deletion. */
function writtenKeys(body: Body | undefined): string {
  const writes = (body?.['apply'] ?? []) as { put?: string; delete?: string }[];
  return writes.map((write) => write.put ?? `-${write.delete ?? ''}`).join(' ');
}
