/** The controllers of a simulated cluster as processes that can start, crash, be suspended and restart. */
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

/** Maximum offset of a controller's time of day. */
const CLOCK_OFFSET_MS = 100;
/** Maximum drift of a controller's clock, as a fraction of elapsed time. */
const CLOCK_DRIFT = 0.0005;

interface ControllerProcess {
  processor: Processor;
  controller: Controller;
  lifetime: { hasEnded: boolean };
}

export interface ControllerProcessesOptions {
  time: VirtualTime;
  random: SeededRandom;
  net: Net;
  world: WorldOptions;
  /** Controllers that are short of memory. */
  hostsShortOfMemory: ReadonlySet<string>;
}

/** Settles with the result of `work`, after the process has spent processor time on it. */
function withProcessingDelay<T>(processor: Processor, work: Promise<T> | T): Promise<T> {
  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      processor.run(resolve);
    });
  return Promise.resolve(work).finally(settle);
}

/** Passes a request of a user or a worker to the controller's matching route. */
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
    return this.processes.get(host)?.lifetime.hasEnded === false;
  }

  /** The current controller of each host, or the last one if the process is down. */
  *controllers(): Generator<[string, Controller]> {
    for (const [host, { controller }] of this.processes) yield [host, controller];
  }

  start(host: string): void {
    const { time, net, world } = this.options;
    const processor = new Processor(time, world.processingCostMs);
    const lifetime = { hasEnded: false };
    const controller = new Controller(
      decodeSettings(settingsFor(host, world)),
      world.operator,
      this.dependenciesOf(host, processor, () => !lifetime.hasEnded),
    );
    this.processes.set(host, { processor, controller, lifetime });
    net.serve(host, (call) =>
      withProcessingDelay(processor, null).then(() => route(controller, call)),
    );
    net.serve(peerAddress(host), async (call) => ({
      status: 200,
      body: await controller.servePeer(call.path, call.body ?? {}),
    }));
    void controller.start();
  }

  /** Crashes a controller and restarts it after a delay. */
  kill(host: string, restartDelayMs: number): void {
    const { net, time } = this.options;
    const process = this.processes.get(host);
    if (!process || process.lifetime.hasEnded) return;
    process.lifetime.hasEnded = true;
    process.controller.stop();
    net.serve(host, null);
    net.serve(peerAddress(host), null);
    time.after(restartDelayMs, () => {
      this.start(host);
    });
  }

  /** Suspends a controller for that long, while its clocks continue. */
  pause(host: string, ms: number): void {
    this.processes.get(host)?.processor.pause(ms);
  }

  /** Processor time that a controller's current process has used. */
  busyMs(host: string): number {
    return this.processes.get(host)?.processor.busyMs ?? 0;
  }

  /** The external dependencies of a controller: its clock and its connections, which end with the process. */
  private dependenciesOf(host: string, processor: Processor, isAlive: () => boolean): Dependencies {
    const { time, random, net, hostsShortOfMemory } = this.options;
    const callerTo = (to: string): Caller => {
      const call = net.caller(host, () => to, isAlive);
      return (request) => withProcessingDelay(processor, call(request));
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
      peer: (address) => async (requestType, body, timeoutMs) => {
        const call: Call = { method: 'POST', path: requestType, body, timeoutMs };
        return (await callerTo(address)(call)).body;
      },
    };
  }
}
