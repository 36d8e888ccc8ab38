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

export const cutHost = (world: World, host: string, from: RegExp, forS: number): void => {
  cut(
    world,
    forS,
    'hold',
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
