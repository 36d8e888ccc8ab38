import type { Cut } from './net.js';
import type { World } from './world.js';

export const at = (world: World, s: number, run: () => void): void => {
  world.time.after(s * 1000, run);
};

export const cut = (
  world: World,
  forS: number,
  mode: Cut['mode'],
  between: Cut['between'],
): void => {
  world.net.cuts.push({ between, mode, until: world.time.now + forS * 1000 });
};

export const cutWorker = (world: World, forS: number, mode: 'drop' | 'hold'): void => {
  const worker = world.someWorker();
  if (!worker) return;
  const names = [worker.id, worker.address];
  cut(world, forS, mode, (from, to) => names.includes(from) || names.includes(to));
};

export const cutHost = (
  world: World,
  host: string,
  from: RegExp,
  forS: number,
  mode: Cut['mode'] = 'hold',
): void => {
  cut(
    world,
    forS,
    mode,
    (one, two) => (one === host && from.test(two)) || (two === host && from.test(one)),
  );
};

/** One way only: what the machine says arrives, what is said to it does not. */
export const deafen = (world: World, forS: number): void => {
  const worker = world.someWorker();
  if (!worker) return;
  cut(world, forS, 'drop', (_, to) => to === worker.id || to === worker.address);
};

export const cutZone = (world: World, site: string, forS: number): void => {
  const inside = (name: string): boolean => {
    const worker = world.workers.get(name.split(':')[0] ?? '');
    if (worker) return worker.facts.site === site;
    // The controllers stand in zone x.
    return site === 'x' && world.hosts().includes(name.split(':')[0] ?? '');
  };
  cut(world, forS, 'hold', (from, to) => inside(from) !== inside(to));
};

/** One way only: the machine reaches no controller, while direct commands reach it and are answered. */
export const mute = (world: World, forS: number): void => {
  const worker = world.someWorker();
  if (worker) cut(world, forS, 'drop', (from) => from === worker.id);
};

/** A controller and the workers of a zone, and nothing else, stay in touch. */
export const cutZoneWith = (world: World, site: string, host: string, forS: number): void => {
  const inside = (name: string): boolean => {
    const [id = ''] = name.split(':');
    return id === host || world.workers.get(id)?.facts.site === site;
  };
  cut(world, forS, 'hold', (from, to) => inside(from) !== inside(to));
};

/** Commands to machines, or their answers, are held up for seconds and then go on. */
export const holdCommands = (world: World, forS: number, way: 'commands' | 'answers'): void => {
  cut(world, forS, 'hold', (from, to) =>
    way === 'commands' ? to.endsWith(':9000') : from.endsWith(':9000'),
  );
};

/** Users call off jobs that run; their machines hang for so long. */
export const cancelNow = (world: World, count: number, hangS = 0): void => {
  const running = world.checker.running();
  const jobs = [...new Set(running.map(({ uid }) => uid))];
  const uids = jobs.filter((uid) => !world.finals.has(uid)).slice(0, count);
  for (const uid of uids) {
    const boxes = running.filter((stay) => stay.uid === uid);
    at(world, world.chance.real(0, 0.2), () => {
      void world.withdraw(uid);
    });
    if (hangS === 0) continue;
    for (const { box } of boxes.slice(0, 2)) {
      const worker = world.workers.get(box);
      if (!worker || worker.hung) continue;
      worker.hung = true;
      at(world, hangS, () => {
        worker.resume();
      });
    }
  }
};

/** Some jobs are called off, and asked for and submitted again, at the moment at which a task completes. */
export const cancelAtEnd = (world: World, share: number): void => {
  const seen = new Set<string>();
  world.onDone = (uid) => {
    if (seen.has(uid) || !world.chance.hit(share)) return;
    seen.add(uid);
    world.time.after(world.chance.real(0, 400), () => {
      void world.withdraw(uid);
      void world.repeat(uid);
    });
  };
};
