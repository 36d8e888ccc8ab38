/** The fake machines of a soak run: each has its own IP address, and relays for heartbeats and for commands. */
import type { Answer, Call } from '../../src/wire/client.js';
import type { MachineTraits } from '../fakes/available-machines.js';
import type { Checker } from '../fakes/checker.js';
import type { SeededRandom } from '../fakes/time.js';
import type { Users } from '../fakes/users.js';
import { FakeWorker } from '../fakes/worker.js';
import type { WorkerEnvironment } from '../fakes/worker-environment.js';
import type { CallerPool } from './caller-pool.js';
import type { Links } from './links.js';
import {
  controllerIp,
  HOSTS,
  LIMITS,
  MACHINE_TYPES,
  networkIp,
  PORTS,
  type Network,
} from './options.js';
import type { RealTime } from './real-time.js';

/**
 * Leases of the fake workers end this much early, in milliseconds. A fake worker checks its lease every 100 ms, and on a
 * busy machine this program may check later still, while controllers tolerate a delay of only a quarter of a heartbeat.
 */
const LEASE_MARGIN_MS = 150;

/** First value of the last byte of machines' IP addresses. Addresses are reused in turn; machine ids are not. */
const FIRST_IP_BYTE = 100;
const IP_COUNT = 150;

export interface MachinesOptions {
  time: RealTime;
  random: SeededRandom;
  checker: Checker;
  users: Users;
  links: Links;
  callers: CallerPool;
  network: Network;
  note: (event: string) => void;
}

export class Machines {
  readonly workers = new Map<string, FakeWorker>();
  /** Share of heartbeats that are sent again later, to the process that then has the address. */
  duplicateShare = 0;
  /** Share of command requests of which a copy reaches the worker later. */
  duplicateCommandShare = 0;
  private readonly addresses = new Map<string, string>();
  private readonly environment: WorkerEnvironment;

  constructor(private readonly options: MachinesOptions) {
    this.environment = this.createEnvironment();
  }

  /** The address at which a machine accepts direct commands. */
  addressOf(machineId: string): string {
    let address = this.addresses.get(machineId);
    if (address === undefined) {
      const lastByte = FIRST_IP_BYTE + (this.addresses.size % IP_COUNT);
      address = `${networkIp(this.options.network, lastByte)}:${String(PORTS.worker)}`;
      this.addresses.set(machineId, address);
    }
    return address;
  }

  async start(machineId: string, traits: MachineTraits): Promise<void> {
    const { links, network } = this.options;
    const host = this.ipOf(machineId);
    for (const [index, name] of HOSTS.entries()) {
      const target = { host: controllerIp(network, index), port: PORTS.users };
      const link = { kind: 'heartbeat', from: machineId, to: name } as const;
      await links.openRelay(link, target, { host, port: PORTS.heartbeatRelay + index });
    }
    const worker = new FakeWorker(machineId, traits, this.environment);
    this.workers.set(machineId, worker);
    const server = await links.serve({ host, port: PORTS.workerBehindRelay }, (call) =>
      this.serveCommands(worker, call),
    );
    const link = { kind: 'command', from: machineId, to: machineId } as const;
    await links.openRelay(link, server, { host, port: PORTS.worker });
  }

  /** Removes a machine that the cloud has deleted. */
  remove(machineId: string): void {
    this.options.note(`cloud: ${machineId} deleted`);
    this.workers.get(machineId)?.die();
    this.workers.delete(machineId);
  }

  stopAll(): void {
    for (const worker of this.workers.values()) worker.die();
  }

  private ipOf(machineId: string): string {
    return this.addressOf(machineId).split(':')[0] ?? '';
  }

  private serveCommands(worker: FakeWorker, call: Call): Promise<Answer> {
    const commands = JSON.stringify(call.body?.['orders'] ?? []);
    this.options.note(`${worker.id} gets ${call.path} ${commands}`);
    this.repeatLater(worker, call);
    return worker.dead ? new Promise<Answer>(() => undefined) : worker.handle(call);
  }

  /** Delivers a copy of some command requests late; nobody gets the answer. */
  private repeatLater(worker: FakeWorker, call: Call): void {
    const { time, random, note } = this.options;
    if (!random.chance(this.duplicateCommandShare)) return;
    time.after(random.real(500, LIMITS.leaseS * 2000), () => {
      if (worker.dead) return;
      note(`${worker.id} gets a copy of ${JSON.stringify(call.body ?? {})}`);
      void worker.handle(call);
    });
  }

  private sendHeartbeat(machineId: string, host: string, call: Call): Promise<Answer> {
    const { time, random, callers } = this.options;
    const index = HOSTS.findIndex((name) => name === host);
    const address = { host: this.ipOf(machineId), port: PORTS.heartbeatRelay + index };
    const send = callers.callerTo(`${machineId} ${host}`, address, 1);
    if (random.chance(this.duplicateShare))
      time.after(random.real(500, LIMITS.leaseS * 2000), () => {
        send(call).catch(() => undefined);
      });
    return send(call);
  }

  private createEnvironment(): WorkerEnvironment {
    const { time, random, checker, users } = this.options;
    return {
      time,
      random,
      checker,
      hosts: [...HOSTS],
      heartbeatMs: LIMITS.heartbeatS * 1000,
      leaseMs: LIMITS.leaseS * 1000 - LEASE_MARGIN_MS,
      gangWaitMs: LIMITS.gangWaitS * 1000,
      gangPeerMs: LIMITS.gangPeerS * 1000,
      machineTypes: new Map(MACHINE_TYPES.map((type) => [type.name, type])),
      jobSpec: (jobId) => users.specs.get(jobId),
      onTaskDone: () => undefined,
      gangs: new Map(),
      addressOf: (machineId) => this.addressOf(machineId),
      callerTo: (machineId, host) => (call) => this.sendHeartbeat(machineId, host, call),
    };
  }
}
