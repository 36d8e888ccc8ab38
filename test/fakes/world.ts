/** A simulated cluster: several controllers in one process, with fakes of all other components, in simulated time. */
import type { JobSpec } from '../../src/model/job.js';
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { AvailableMachine, MachineTraits } from './available-machines.js';
import { Checker, type CheckerLimits, type UserAnswer } from './checker.js';
import { FakeCloud } from './cloud.js';
import { ControllerProcesses } from './controller-processes.js';
import { Net } from './net.js';
import { auditRecords, type Violation } from './store-audit.js';
import { FakeStateStore } from './store.js';
import { SeededRandom, VirtualTime } from './time.js';
import { Users } from './users.js';
import { FakeWorker } from './worker.js';
import type { WorkerEnvironment } from './worker-environment.js';
import {
  CANCEL_S,
  DEFAULT_OPTIONS,
  GANG_PEER_S,
  GANG_WAIT_S,
  HEARTBEAT_S,
  LEASE_S,
  LIST_LAG_S,
  quotaLimits,
  workerAddress,
  type WorldOptions,
} from './world-options.js';

export { JOB, WIRE_JOB } from './users.js';
export { CANCEL_S, MACHINE_TYPES, type WorldOptions } from './world-options.js';

/** How often the checker checks the whole cluster. */
const CHECK_INTERVAL_MS = 1000;
/** Time between two polls of a user. */
const POLL_INTERVAL_MS = 5000;
/** Time after which a user polls and submits a finished job once more. */
const REPEAT_AFTER_MS = 20_000;
/** Restart delay of a controller that is never to restart: longer than any simulation. */
const NO_RESTART_MS = 1e9;

export class World {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly net: Net;
  readonly store: FakeStateStore;
  readonly cloud: FakeCloud;
  readonly checker: Checker;
  readonly workers = new Map<string, FakeWorker>();
  /** Controllers that are short of memory. */
  readonly hostsShortOfMemory = new Set<string>();
  /** Violations found in the stored records after any transaction, and those found by controllers' own checks. */
  readonly recordViolations: (Violation & { at: number })[] = [];
  /** Called at the moment at which a task completes. */
  onTaskDone: ((jobId: string) => void) | null = null;
  private readonly users: Users;
  private readonly controllers: ControllerProcesses;
  private readonly workerEnvironment: WorkerEnvironment;
  private readonly options: WorldOptions;

  constructor(seed: number, options: Partial<WorldOptions> = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
    const { time, hostsShortOfMemory } = this;
    const random = new SeededRandom(seed);
    const net = new Net(time, random);
    this.random = random;
    this.net = net;
    this.store = new FakeStateStore(time, random, this.options.state);
    const teams = quotaLimits(this.options);
    this.checker = new Checker({ teams, cancelMs: CANCEL_S * 1000 });
    this.store.onApplied = (records) => {
      this.audit(records, teams);
    };
    this.controllers = new ControllerProcesses({
      time,
      random,
      net,
      world: this.options,
      hostsShortOfMemory,
    });
    this.users = this.createUsers();
    this.workerEnvironment = this.createWorkerEnvironment();
    this.cloud = this.createCloud();
    this.startAll();
    this.checkPeriodically();
  }

  get specs(): Map<string, JobSpec> {
    return this.users.specs;
  }

  /** Job -> the final phase that was reported to its user. */
  get finalPhases(): Map<string, string> {
    return this.users.finalPhases;
  }

  hosts(): readonly string[] {
    return this.options.hosts;
  }

  /** Suspends a controller for that long, while its clocks continue. */
  pauseHost(host: string, ms: number): void {
    this.controllers.pause(host, ms);
  }

  /** Processor time that a controller's current process has used. */
  busyMs(host: string): number {
    return this.controllers.busyMs(host);
  }

  /** Crashes a controller and restarts it after a delay. */
  kill(host: string, restartDelayMs: number): void {
    this.controllers.kill(host, restartDelayMs);
  }

  /** Stops all controllers permanently. */
  shutDown(): void {
    for (const host of this.options.hosts) this.controllers.kill(host, NO_RESTART_MS);
  }

  /** See `Users.submit`. */
  submit(spec: Partial<JobSpec>, cancelAfterMs: number | null = null, suffix = ''): string {
    return this.users.submit(spec, cancelAfterMs, suffix);
  }

  /** Submits long-running jobs, alternately for both teams. */
  submitLongJobs(overrides: Partial<JobSpec>, count: number): void {
    for (let index = 0; index < count; index++)
      this.submit({ team: index % 2 ? 'red' : 'blue', expectedSeconds: 60, cpus: 1, ...overrides });
  }

  /** See `Users.cancel`. */
  cancel(jobId: string, via?: string): Promise<void> {
    return this.users.cancel(jobId, via);
  }

  /** See `Users.resubmit`. */
  resubmit(jobId: string, changedFields: Body = {}): Promise<number> {
    return this.users.resubmit(jobId, changedFields);
  }

  /** See `Users.submitInvalid`. */
  submitInvalid(body: Body): Promise<number> {
    return this.users.submitInvalid(body);
  }

  /** See `Users.request`. */
  request(jobId: string, call: Call, via?: string): Promise<UserAnswer> {
    return this.users.request(jobId, call, via);
  }

  /** The controller that owns a machine according to the records in the store. */
  ownerOf(machineId: string): string | null {
    const listsMachine = (shard: Body): boolean =>
      Object.values(shard as Record<string, string[]>).some((ids) => ids.includes(machineId));
    for (const host of this.options.hosts)
      if (this.store.valuesUnder(`tv/own/${host}/`).some(listsMachine)) return host;
    return null;
  }

  /** A randomly chosen worker of those that are up or hang. */
  randomWorker(): FakeWorker | undefined {
    const all = [...this.workers.values()];
    return all[this.random.int(0, Math.max(0, all.length - 1))];
  }

  private createUsers(): Users {
    const { hosts } = this.options;
    return new Users({
      time: this.time,
      random: this.random,
      checker: this.checker,
      // The load balancer skips controllers that are down, unless all are.
      hosts: () => {
        const alive = hosts.filter((host) => this.controllers.isAlive(host));
        return alive.length > 0 ? alive : hosts;
      },
      call: (host, call) =>
        this.net.caller(
          'user',
          () => host,
          () => true,
        )(call),
      pollMs: POLL_INTERVAL_MS,
      repeatMs: REPEAT_AFTER_MS,
    });
  }

  private createWorkerEnvironment(): WorkerEnvironment {
    return {
      time: this.time,
      random: this.random,
      checker: this.checker,
      hosts: this.options.hosts,
      heartbeatMs: HEARTBEAT_S * 1000,
      leaseMs: LEASE_S * 1000,
      gangWaitMs: GANG_WAIT_S * 1000,
      gangPeerMs: GANG_PEER_S * 1000,
      machineTypes: new Map(this.options.machineTypes.map((type) => [type.name, type])),
      jobSpec: (jobId) => this.specs.get(jobId),
      onTaskDone: (jobId) => this.onTaskDone?.(jobId),
      gangs: new Map(),
      addressOf: workerAddress,
      callerTo: (from, host) =>
        this.net.caller(
          from,
          () => host,
          () => !this.workers.get(from)?.dead,
        ),
    };
  }

  private createCloud(): FakeCloud {
    return new FakeCloud({
      time: this.time,
      random: this.random,
      machineTypes: this.options.machineTypes,
      capacity: this.options.capacity,
      listLagMs: LIST_LAG_S * 1000,
      onMachineUp: ({ machineId, machineType, zone, spot }) => {
        this.startWorker(machineId, { machineType, zone, spot });
      },
      onMachineGone: (machineId) => {
        this.endWorker(machineId);
      },
      addressOf: workerAddress,
    });
  }

  private startWorker(machineId: string, traits: MachineTraits): void {
    const worker = new FakeWorker(machineId, traits, this.workerEnvironment);
    this.workers.set(machineId, worker);
    this.net.serve(worker.address, (call) => worker.handle(call));
  }

  private endWorker(machineId: string): void {
    const worker = this.workers.get(machineId);
    if (!worker) return;
    worker.die();
    this.net.serve(worker.address, null);
    this.workers.delete(machineId);
  }

  private startAll(): void {
    this.net.serve('cloud', (call) => this.cloud.handle(call));
    for (const host of this.options.hosts) {
      const serveStore = (call: Call): Promise<Answer> => this.store.handle(host, call);
      this.net.serve(`store for ${host}`, serveStore);
      this.controllers.start(host);
    }
  }

  private checkPeriodically(): void {
    this.checker.check(this.time.now, this.availableMachines());
    this.collectSelfReported();
    this.time.after(CHECK_INTERVAL_MS, () => {
      this.checkPeriodically();
    });
  }

  /**
   * Collects what controllers' own checks have found: indexes that differ from their records, and quota that does not
   * add up.
   */
  private collectSelfReported(): void {
    for (const [host, controller] of this.controllers.controllers()) {
      const { indexDifferences, violations } = controller.metrics;
      for (const found of [...indexDifferences.counts.keys(), ...violations.counts.keys()])
        this.noteRecordViolation({ rule: 'self-check', what: `${host}: ${found}` });
    }
  }

  /** Checks all records and notes the violations in the order in which they are found. */
  private audit(records: Iterable<readonly [string, Body]>, limits: CheckerLimits['teams']): void {
    for (const violation of auditRecords(records, limits)) this.noteRecordViolation(violation);
  }

  /** Adds a violation, unless it repeats the last one. */
  private noteRecordViolation({ rule, what }: Violation): void {
    const last = this.recordViolations.at(-1);
    if (last?.rule !== rule || last.what !== what)
      this.recordViolations.push({ rule, what, at: Math.round(this.time.now) });
  }

  /**
   * Machines that are up, respond, run tasks without failing them, and are not to be returned to the cloud, with their
   * free resources.
   */
  private availableMachines(): AvailableMachine[] {
    return [...this.workers.values()]
      .filter(
        ({ dead, failsTasks, hung, id }) => !dead && !failsTasks && !hung && !this.isDrained(id),
      )
      .map((worker) => ({ machineId: worker.id, traits: worker.traits, free: worker.free() }));
  }

  /** Whether a machine is recorded as to be drained and returned to the cloud. */
  private isDrained(machineId: string): boolean {
    const batches = this.store.valuesUnder('tv/lot/');
    return batches.some((batch) => Object.hasOwn(batch['g'] ?? {}, machineId));
  }
}
