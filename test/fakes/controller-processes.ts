/** Controllers of the service as processes of a simulated cluster: they start, crash, stand still and come back. */
import { pino } from 'pino';
import { Controller } from '../../src/controller/controller.js';
import type { Dependencies } from '../../src/controller/dependencies.js';
import { decodeSettings } from '../../src/protocol/settings.js';
import type { Answer, Call, Caller } from '../../src/wire/client.js';
import { findRoute } from '../../src/wire/router.js';
import type { Net } from './net.js';
import { Processor } from './processor.js';
import type { SeededRandom, VirtualTime } from './time.js';
import { peerAddress, settingsFor, type WorldOptions } from './world-options.js';

/** A controller's clock is off by this much at most, and drifts by this share. */
const CLOCK_OFFSET_MS = 100;
const CLOCK_DRIFT = 0.0005;

interface ControllerProcess {
  processor: Processor;
  controller: Controller;
  life: { isOver: boolean };
}

export interface ControllerProcessesOptions {
  time: VirtualTime;
  random: SeededRandom;
  net: Net;
  world: WorldOptions;
  /** Controllers whose memory runs out. */
  hostsShortOfMemory: ReadonlySet<string>;
}

/** Settles as `work` does, once the process has come to it. */
function inTurn<T>(processor: Processor, work: Promise<T> | T): Promise<T> {
  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      processor.run(resolve);
    });
  return Promise.resolve(work).finally(settle);
}

/** A request of a user or a worker to a controller. */
async function route(controller: Controller, call: Call): Promise<Answer> {
  const parts = call.path.split('/').slice(1);
  const found = findRoute(controller.routes, call.method, parts);
  if (!found) return { status: 404, body: {} };
  const { status, body } = await found.route.handle(found.args, call.body ?? {});
  return { status, body };
}

export class ControllerProcesses {
  private readonly processes = new Map<string, ControllerProcess>();

  constructor(private readonly options: ControllerProcessesOptions) {}

  isAlive(host: string): boolean {
    return this.processes.get(host)?.life.isOver === false;
  }

  /** The present or last controller of each host. */
  *controllers(): Generator<[string, Controller]> {
    for (const [host, { controller }] of this.processes) yield [host, controller];
  }

  start(host: string): void {
    const { time, net, world } = this.options;
    const processor = new Processor(time, world.processingCostMs);
    const life = { isOver: false };
    const controller = new Controller(
      decodeSettings(settingsFor(host, world)),
      world.operator,
      this.dependenciesOf(host, processor, () => !life.isOver),
    );
    this.processes.set(host, { processor, controller, life });
    net.serve(host, (call) => inTurn(processor, null).then(() => route(controller, call)));
    net.serve(peerAddress(host), async (call) => ({
      status: 200,
      body: await controller.servePeer(call.path, call.body ?? {}),
    }));
    void controller.start();
  }

  /** A controller crashes and starts again after a while. */
  kill(host: string, backAfterMs: number): void {
    const { net, time } = this.options;
    const process = this.processes.get(host);
    if (!process || process.life.isOver) return;
    process.life.isOver = true;
    process.controller.stop();
    net.serve(host, null);
    net.serve(peerAddress(host), null);
    time.after(backAfterMs, () => {
      this.start(host);
    });
  }

  /** A controller stands still for that long, while its clocks go on. */
  pause(host: string, ms: number): void {
    this.processes.get(host)?.processor.pause(ms);
  }

  /** Processor time that a controller's present process has used. */
  busyMs(host: string): number {
    return this.processes.get(host)?.processor.busyMs ?? 0;
  }

  /** What a controller gets from outside: its clock, and its links, which end with the process. */
  private dependenciesOf(host: string, processor: Processor, isAlive: () => boolean): Dependencies {
    const { time, random, net, hostsShortOfMemory } = this.options;
    const callerTo = (to: string): Caller => {
      const call = net.caller(host, () => to, isAlive);
      return (request) => inTurn(processor, call(request));
    };
    const drift = random.real(1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT);
    const offset = random.real(-CLOCK_OFFSET_MS, CLOCK_OFFSET_MS);
    return {
      clock: processor.clock(time.clockOf(isAlive, drift, offset)),
      log: pino({ level: 'silent' }),
      store: callerTo(`store for ${host}`),
      storeWatch: callerTo(`store for ${host}`),
      cloud: callerTo('cloud'),
      worker: callerTo,
      memoryIsShort: () => hostsShortOfMemory.has(host),
      peer: (address) => async (question, body, timeoutMs) => {
        const call: Call = { method: 'POST', path: question, body, timeoutMs };
        return (await callerTo(address)(call)).body;
      },
    };
  }
}
