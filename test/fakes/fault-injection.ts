/** Faults that tests inject into a simulated cluster: network partitions, hanging machines, sudden cancellations. */
import type { NetworkPartition } from './net.js';
import type { FakeWorker } from './worker.js';
import type { World } from './world.js';

/** Port at which machines accept direct commands. The sender's address of a heartbeat has no port. */
const COMMAND_PORT = ':9000';

/** The name of a host without its port. */
export const hostOf = (address: string): string => address.split(':')[0] ?? '';

/** Runs a function after this many simulated seconds. */
export const afterSeconds = (world: World, seconds: number, run: () => void): void => {
  world.time.after(seconds * 1000, run);
};

/** Drops or holds the messages that `affects` selects for `forS` seconds. */
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

/** Isolates a controller from the hosts whose names match `peers`. */
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

/** One direction only: messages from the machine arrive, messages to it are dropped. */
export const dropMessagesToRandomWorker = (world: World, forS: number): void => {
  const worker = world.randomWorker();
  if (!worker) return;
  partition(world, forS, 'drop', (_, to) => to === worker.id || to === worker.address);
};

/** One direction only: heartbeats of the machine reach no controller, while direct commands reach it and are answered. */
export const dropMessagesFromRandomWorker = (world: World, forS: number): void => {
  const worker = world.randomWorker();
  if (worker) partition(world, forS, 'drop', (from) => from === worker.id);
};

/** Isolates a zone from the other, together with the controllers if they are in it. */
export const isolateZone = (world: World, zone: string, forS: number): void => {
  const isInside = (name: string): boolean => {
    const worker = world.workers.get(hostOf(name));
    if (worker) return worker.traits.zone === zone;
    // The controllers are in zone x.
    return zone === 'x' && world.hosts().includes(hostOf(name));
  };
  partition(world, forS, 'hold', (from, to) => isInside(from) !== isInside(to));
};

/** Isolates a controller together with the workers of a zone: they reach one another and no other host. */
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

/** Holds commands to machines, or their answers, for `forS` seconds and then delivers them. */
export const delayCommands = (world: World, forS: number, which: 'commands' | 'answers'): void => {
  partition(world, forS, 'hold', (from, to) =>
    which === 'commands' ? to.endsWith(COMMAND_PORT) : from.endsWith(COMMAND_PORT),
  );
};

/** Makes a machine hang for `forS` seconds; no effect if it hangs already. */
export const hangWorker = (world: World, worker: FakeWorker | undefined, forS: number): void => {
  if (!worker || worker.hung) return;
  worker.hung = true;
  afterSeconds(world, forS, () => {
    worker.resume();
  });
};

/** Users cancel up to `count` running jobs. Up to two machines of each job hang for `hangS` seconds; 0 for none. */
export const cancelRunningJobs = (world: World, count: number, hangS = 0): void => {
  const running = world.checker.running();
  const jobIds = [...new Set(running.map(({ jobId }) => jobId))]
    .filter((jobId) => !world.finalPhases.has(jobId))
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

/**
 * When a task completes, with probability `share` its job is cancelled and submitted again within 400 ms, at most once for
 * each job.
 */
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
