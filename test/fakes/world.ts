import type { JobSpec } from '../../src/model/job.js';
import { pino } from 'pino';
import { OPERATOR_DEFAULTS, type Operator } from '../../src/config/operator.js';
import { decodeSettings, type WireSettings } from '../../src/protocol/settings.js';
import { Controller } from '../../src/controller/controller.js';
export { JOB, WIRE_JOB } from './users.js';
import type { Answer, Call, Caller } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { findRoute } from '../../src/wire/router.js';
import { Checker, type Limits, type Room } from './checker.js';
import { FakeCloud, type FakeMachineType } from './cloud.js';
import { Net } from './net.js';
import { Processor } from './processor.js';
import { auditRecords, type Violation } from './store-audit.js';
import { FakeStateStore } from './store.js';
import { SeededRandom, VirtualTime } from './time.js';
import { Users, type UserAnswer } from './users.js';
import { FakeWorker, type WorkerWorld } from './worker.js';

const REPORT_S = 1;
const LEASE_S = 10;
export const CANCEL_S = 30;

export const MACHINE_TYPES: FakeMachineType[] = [
  {
    sku: 'plain',
    cpus: 8,
    cards: 0,
    memory_gb: 64,
    rate: 1,
    low_price: 0.3,
    ready_s: 10,
    sites: ['x', 'y'],
  },
  {
    sku: 'carded',
    cpus: 8,
    cards: 4,
    memory_gb: 64,
    rate: 4,
    low_price: 1,
    ready_s: 10,
    sites: ['x', 'y'],
  },
];

const addressOf = (machine: string): string => `${machine}:9000`;

/** What a world is made of; tests change what they are about. */
export interface Size {
  hosts: string[];
  flavors: FakeMachineType[];
  /** Machines of each flavor, zone and kind that can be had. */
  capacity: number;
  teams: WireSettings['settings']['teams'];
  state: WireSettings['settings']['state'];
  cloudRps: number;
  /** Processor time that each timer, request and answer takes of a controller. */
  costMs: number;
  operator: Operator;
}

const SMALL: Size = {
  hosts: ['a', 'b', 'c'],
  flavors: MACHINE_TYPES,
  capacity: 4,
  teams: [
    { name: 'red', cpus: 16, cpus_max: 40, gpus: 4, gpus_max: 8 },
    { name: 'blue', cpus: 16, cpus_max: 24, gpus: 0, gpus_max: 4 },
  ],
  state: { rps: 200, write_rps: 60, value_kb: 4, txn_ops: 12 },
  cloudRps: 10,
  costMs: 0,
  operator: OPERATOR_DEFAULTS,
};

function settingsFor(host: string, size: Size): WireSettings {
  return {
    host_name: host,
    zone: 'x',
    serve_on: `${host}:1`,
    internal_addr: `${host}:2`,
    others: size.hosts
      .filter((other) => other !== host)
      .map((other) => ({ host_name: other, zone: 'x', address: `${other}:2` })),
    external: { cloud: 'cloud:1', state: 'store:1' },
    settings: {
      size: size.hosts.length,
      zones: ['x', 'y'],
      clock_error_ms: 100,
      teams: size.teams,
      objectives: [{ kind: 'guarantee', within_s: 5, share: 0.9 }],
      workers: {
        report_s: REPORT_S,
        lease_s: LEASE_S,
        gang_wait_s: 20,
        gang_peer_s: 4,
        cancel_s: CANCEL_S,
      },
      state: size.state,
      cloud: { rps: size.cloudRps, list_lag_s: 4 },
      quota: { cpu_share: 1, memory_mb: 100, max_sockets: 100 },
    },
  };
}

interface Process {
  processor: Processor;
  controller: Controller;
  alive: boolean;
}

/** Settles as `work` does, once the process has come to it. */
function inTurn<T>(processor: Processor, work: Promise<T> | T): Promise<T> {
  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      processor.run(resolve);
    });
  return Promise.resolve(work).finally(settle);
}

/** Several controllers in one process, among stand-ins, under simulated time. */
export class World {
  readonly time = new VirtualTime();
  readonly chance: SeededRandom;
  readonly net: Net;
  readonly store: FakeStateStore;
  readonly cloud: FakeCloud;
  readonly checker: Checker;
  readonly workers = new Map<string, FakeWorker>();
  private readonly users: Users;
  /** Controllers whose memory runs out. */
  readonly memoryShort = new Set<string>();
  /** What the records in the store broke after some transaction. */
  readonly recordsBroken: (Violation & { at: number })[] = [];
  /** Called when a task completes, at that moment. */
  onDone: ((uid: string) => void) | null = null;
  private readonly processes = new Map<string, Process>();
  private readonly workerWorld: WorkerWorld;
  private readonly size: Size;

  constructor(seed: number, size: Partial<Size> = {}) {
    this.size = { ...SMALL, ...size };
    const { hosts, flavors, capacity } = this.size;
    this.chance = new SeededRandom(seed);
    this.net = new Net(this.time, this.chance);
    this.store = new FakeStateStore(this.time, this.chance, this.size.state);
    const teams = new Map(
      this.size.teams.map((team) => [
        team.name,
        { cpus: team.cpus_max || Infinity, gpus: team.gpus_max || Infinity },
      ]),
    );
    this.checker = new Checker({ teams, cancelMs: CANCEL_S * 1000 });
    this.store.onApplied = (records) => {
      this.audit(records, teams);
    };
    this.users = new Users({
      time: this.time,
      chance: this.chance,
      checker: this.checker,
      // The load balancer passes over nodes that are down.
      hosts: () => {
        const alive = hosts.filter((one) => this.processes.get(one)?.alive);
        return alive.length > 0 ? alive : hosts;
      },
      call: (host, call) =>
        this.net.caller(
          'user',
          () => host,
          () => true,
        )(call),
      pollMs: 5000,
      repeatMs: 20_000,
    });
    this.workerWorld = {
      time: this.time,
      chance: this.chance,
      checker: this.checker,
      hosts,
      reportMs: REPORT_S * 1000,
      leaseMs: LEASE_S * 1000,
      gangWaitMs: 20_000,
      gangPeerMs: 4000,
      flavors: new Map(flavors.map((flavor) => [flavor.sku, flavor])),
      spec: (uid) => this.users.specs.get(uid),
      done: (uid) => this.onDone?.(uid),
      gangs: new Map(),
      addressOf,
      call: (from, host) =>
        this.net.caller(
          from,
          () => host,
          () => !this.workers.get(from)?.dead,
        ),
    };
    this.cloud = new FakeCloud(
      this.time,
      this.chance,
      flavors,
      capacity,
      4000,
      ({ uid, flavor, site, reclaimable }) => {
        const worker = new FakeWorker(uid, { flavor, site, reclaimable }, this.workerWorld);
        this.workers.set(uid, worker);
        this.net.serve(worker.address, (call) => worker.handle(call));
      },
      (uid) => {
        const worker = this.workers.get(uid);
        if (!worker) return;
        worker.die();
        this.net.serve(worker.address, null);
        this.workers.delete(uid);
      },
      addressOf,
    );
    this.net.serve('cloud', (call) => this.cloud.handle(call));
    for (const host of hosts) {
      this.net.serve(`store for ${host}`, (call) => this.store.handle(host, call));
      this.boot(host);
    }
    const look = (): void => {
      this.checker.look(this.time.now, this.rooms());
      this.lookAtControllers();
      this.time.after(1000, look);
    };
    look();
  }

  get specs(): Map<string, JobSpec> {
    return this.users.specs;
  }

  /** Job -> the final state that its user was told. */
  get finals(): Map<string, string> {
    return this.users.finals;
  }

  /** What controllers have found of themselves: an index beside its records, limits that do not add up. */
  private lookAtControllers(): void {
    for (const [host, { controller }] of this.processes) {
      const { indexDifferences, violations } = controller.metrics;
      for (const found of [...indexDifferences.counts.keys(), ...violations.counts.keys()])
        this.noteBroken({ rule: 'index', what: `${host}: ${found}` });
    }
  }

  private noteBroken({ rule, what }: Violation): void {
    const last = this.recordsBroken.at(-1);
    if (last?.rule !== rule || last.what !== what)
      this.recordsBroken.push({ rule, what, at: Math.round(this.time.now) });
  }

  /** Each violation of the records once, in the order in which they came up. */
  private audit(records: Iterable<readonly [string, Body]>, limits: Limits['teams']): void {
    for (const violation of auditRecords(records, limits)) this.noteBroken(violation);
  }

  boot(host: string): void {
    const processor = new Processor(this.time, this.size.costMs);
    const process: Process = { processor, alive: true, controller: null as unknown as Controller };
    const alive = (): boolean => process.alive;
    const caller = (to: string): Caller => {
      const call = this.net.caller(host, () => to, alive);
      return (request) => inTurn(processor, call(request));
    };
    const drift = this.chance.real(0.9995, 1.0005);
    const offset = this.chance.real(-100, 100);
    process.controller = new Controller(
      decodeSettings(settingsFor(host, this.size)),
      this.size.operator,
      {
        clock: processor.clock(this.time.clockOf(alive, drift, offset)),
        log: pino({ level: 'silent' }),
        store: caller(`store for ${host}`),
        storeWatch: caller(`store for ${host}`),
        cloud: caller('cloud'),
        worker: (address) => caller(address),
        memoryIsShort: () => this.memoryShort.has(host),
        peer: (address) => async (ask, body, timeoutMs) => {
          const call: Call = { method: 'POST', path: ask, body, timeoutMs };
          return (await caller(address)(call)).body;
        },
      },
    );
    this.processes.set(host, process);
    this.net.serve(host, (call) =>
      inTurn(processor, null).then(() => this.route(process.controller, call)),
    );
    this.net.serve(`${host}:2`, async (call) => ({
      status: 200,
      body: await process.controller.servePeer(call.path, call.body ?? {}),
    }));
    void process.controller.start();
  }

  /** A controller stands still for that long, while its clocks go on. */
  pauseHost(host: string, ms: number): void {
    this.processes.get(host)?.processor.pause(ms);
  }

  /** Processor time that a controller's present process has used. */
  busyMs(host: string): number {
    return this.processes.get(host)?.processor.busyMs ?? 0;
  }

  kill(host: string, backAfterMs: number): void {
    const process = this.processes.get(host);
    if (!process?.alive) return;
    process.alive = false;
    process.controller.stop();
    this.net.serve(host, null);
    this.net.serve(`${host}:2`, null);
    this.time.after(backAfterMs, () => {
      this.boot(host);
    });
  }

  private async route(controller: Controller, call: Call): Promise<Answer> {
    const parts = call.path.split('/').slice(1);
    const found = findRoute(controller.routes, call.method, parts);
    if (!found) return { status: 404, body: {} };
    const reply = await found.route.handle(found.args, call.body ?? {});
    return { status: reply.status, body: reply.body };
  }

  /** See `Users.user`. */
  user(spec: Partial<JobSpec>, withdrawAfterMs: number | null = null, suffix = ''): string {
    return this.users.user(spec, withdrawAfterMs, suffix);
  }

  /** Jobs of both teams that go on for long. */
  long(overrides: Partial<JobSpec>, count: number): void {
    for (let index = 0; index < count; index++)
      this.user({ team: index % 2 ? 'red' : 'blue', expectedSeconds: 60, cpus: 1, ...overrides });
  }

  /** See `Users.withdraw`. */
  withdraw(uid: string, via?: string): Promise<void> {
    return this.users.withdraw(uid, via);
  }

  /** See `Users.repeat`. */
  repeat(uid: string, changed: Body = {}): Promise<number> {
    return this.users.repeat(uid, changed);
  }

  /** See `Users.wrong`. */
  wrong(body: Body): Promise<number> {
    return this.users.wrong(body);
  }

  /** See `Users.ask`. */
  ask(
    uid: string,
    method: 'GET' | 'POST',
    path: string,
    body: Body | undefined,
    timeoutMs: number,
    via?: string,
  ): Promise<UserAnswer> {
    return this.users.ask(uid, { method, path, timeoutMs, ...(body ? { body } : {}) }, via);
  }

  /** Room on the machines that are up and can be reached. */
  private rooms(): Room[] {
    const up = [...this.workers.values()].filter(
      ({ dead, sick, hung, id }) => !dead && !sick && !hung && !this.isGoing(id),
    );
    return up.map((worker) => ({ box: worker.id, facts: worker.facts, free: worker.free() }));
  }

  /** Whether the records say that a machine is to be given back: it is no room for anybody. */
  private isGoing(box: string): boolean {
    return this.store.under('tv/lot/').some((lot) => box in ((lot['g'] ?? {}) as object));
  }

  /** Who holds a machine by the records in the store. */
  ownerOf(box: string): string | null {
    for (const host of this.size.hosts)
      for (const shard of this.store.under(`tv/own/${host}/`))
        if (Object.values(shard as Record<string, string[]>).some((boxes) => boxes.includes(box)))
          return host;
    return null;
  }

  /** Any worker that is up, picked by chance. */
  someWorker(): FakeWorker | undefined {
    const all = [...this.workers.values()];
    return all[this.chance.int(0, Math.max(0, all.length - 1))];
  }

  hosts(): readonly string[] {
    return this.size.hosts;
  }
}
