/** Faults that tests inject into a simulated cluster: network partitions, hanging machines, sudden cancellations. */
import type { NetworkPartition } from './net.js';
import type { FakeWorker } from './worker.js';
import type { World } from './world.js';

/** Machines take direct commands at this port; their heartbeats have no port in their sender's name. */
const COMMAND_PORT = ':9000';

/** The name of a host without its port. */
export const hostOf = (address: string): string => address.split(':')[0] ?? '';

/** Runs something that many simulated seconds from now. */
export const afterSeconds = (world: World, seconds: number, run: () => void): void => {
  world.time.after(seconds * 1000, run);
};

/** Messages between these are dropped or held for so long. */
export const partition = (
  world: World,
  forS: number,
  mode: NetworkPartition['mode'],
  affects: NetworkPartition['affects'],
): void => {
  world.net.partitions.push({ affects, mode, untilMs: world.time.now + forS * 1000 });
};

export const partitionRandomWorker = (world: World, forS: number, mode: 'drop' | 'hold'): void => {
  const worker = world.randomWorker();
  if (!worker) return;
  const names = [worker.id, worker.address];
  partition(world, forS, mode, (from, to) => names.includes(from) || names.includes(to));
};

/** Cuts a controller off from those whose names match `peers`. */
export const isolateController = (
  world: World,
  host: string,
  peers: RegExp,
  { forS, mode = 'hold' }: { forS: number; mode?: NetworkPartition['mode'] },
): void => {
  partition(
    world,
    forS,
    mode,
    (from, to) => (from === host && peers.test(to)) || (to === host && peers.test(from)),
  );
};

/** One way only: what the machine says arrives, what is said to it does not. */
export const dropMessagesToRandomWorker = (world: World, forS: number): void => {
  const worker = world.randomWorker();
  if (!worker) return;
  partition(world, forS, 'drop', (_, to) => to === worker.id || to === worker.address);
};

/** One way only: the machine reaches no controller, while direct commands reach it and are answered. */
export const dropMessagesFromRandomWorker = (world: World, forS: number): void => {
  const worker = world.randomWorker();
  if (worker) partition(world, forS, 'drop', (from) => from === worker.id);
};

/** Cuts a zone off from the other, with the controllers if they are in it. */
export const isolateZone = (world: World, zone: string, forS: number): void => {
  const isInside = (name: string): boolean => {
    const worker = world.workers.get(hostOf(name));
    if (worker) return worker.traits.zone === zone;
    // The controllers are in zone x.
    return zone === 'x' && world.hosts().includes(hostOf(name));
  };
  partition(world, forS, 'hold', (from, to) => isInside(from) !== isInside(to));
};

/** A controller and the workers of a zone, and nothing else, can reach each other. */
export const isolateZoneWithController = (
  world: World,
  zone: string,
  host: string,
  forS: number,
): void => {
  const isInside = (name: string): boolean =>
    hostOf(name) === host || world.workers.get(hostOf(name))?.traits.zone === zone;
  partition(world, forS, 'hold', (from, to) => isInside(from) !== isInside(to));
};

/** Commands to machines, or their answers, are held for seconds and then delivered. */
export const delayCommands = (world: World, forS: number, which: 'commands' | 'answers'): void => {
  partition(world, forS, 'hold', (from, to) =>
    which === 'commands' ? to.endsWith(COMMAND_PORT) : from.endsWith(COMMAND_PORT),
  );
};

/** A machine does nothing for so long, then goes on; no change if it hangs already. */
export const hangWorker = (world: World, worker: FakeWorker | undefined, forS: number): void => {
  if (!worker || worker.hung) return;
  worker.hung = true;
  afterSeconds(world, forS, () => {
    worker.resume();
  });
};

/** Users cancel jobs that run; their machines hang for so long. */
export const cancelRunningJobs = (world: World, count: number, hangS = 0): void => {
  const running = world.checker.running();
  const jobIds = [...new Set(running.map(({ jobId }) => jobId))]
    .filter((jobId) => !world.finals.has(jobId))
    .slice(0, count);
  for (const jobId of jobIds) {
    const tasks = running.filter((task) => task.jobId === jobId);
    afterSeconds(world, world.random.real(0, 0.2), () => {
      void world.cancel(jobId);
    });
    if (hangS === 0) continue;
    for (const { machineId } of tasks.slice(0, 2))
      hangWorker(world, world.workers.get(machineId), hangS);
  }
};

/** Some jobs are cancelled, and asked for and submitted again, at the moment at which a task completes. */
export const cancelOnCompletion = (world: World, share: number): void => {
  const seen = new Set<string>();
  world.onTaskDone = (jobId) => {
    if (seen.has(jobId) || !world.random.chance(share)) return;
    seen.add(jobId);
    world.time.after(world.random.real(0, 400), () => {
      void world.cancel(jobId);
      void world.resubmit(jobId);
    });
  };
};
