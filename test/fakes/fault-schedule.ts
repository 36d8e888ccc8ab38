/** Days of faults drawn by seed: tens of machines, teams at their limits, faults that overlap at random. */
import type { JobSpec } from '../../src/model/job.js';
import { SeededRandom } from './time.js';
import { at, cancelNow, cut, cutHost, holdCommands } from './troubles.js';
import { World, type Size } from './world.js';

const KINDS = [
  'crash',
  'blink',
  'crash all',
  'pause',
  'store refuses one',
  'store out',
  'store slow',
  'watch late',
  'reads refused',
  'commits unanswered',
  'answers and reads lost',
  'commits late',
  'workers cut',
  'workers mute',
  'workers deaf',
  'workers die',
  'workers hang',
  'zone cut',
  'controller cut from workers',
  'controller cut from peers',
  'commands held',
  'answers held',
  'reports copied',
  'cancel now',
] as const;

type Kind = (typeof KINDS)[number];

/** One fault, as data, so that a schedule can be printed, shrunk and played again. */
export interface Fault {
  kind: Kind;
  /** When it begins, in seconds. */
  atS: number;
  forS: number;
  /** The controller that it concerns, by its place among the hosts. */
  host: number;
  /** How many machines or jobs it concerns. */
  count: number;
}

export interface Schedule {
  seed: number;
  faults: Fault[];
}

/** Faults begin after this and are over by `OVER_S`; by `END_S` everything has settled. */
const FIRST_S = 25;
const OVER_S = 110;
const END_S = 215;

/** A deployment that days are played on; values are small, so that records of one kind split. */
interface Deployment {
  size: Partial<Size> & Pick<Size, 'hosts'>;
  /** Machines that are up at the start. */
  machines: number;
  /** How many times the work of the smallest. */
  load: number;
}

const teams = (red: number, blue: number): Size['teams'] => [
  { name: 'red', cpus: red / 4, cpus_max: red, gpus: 4, gpus_max: 8 },
  { name: 'blue', cpus: blue / 2, cpus_max: blue, gpus: 0, gpus_max: 4 },
];

const DEPLOYMENTS: readonly Deployment[] = [
  {
    size: {
      hosts: ['a', 'b', 'c'],
      capacity: 10,
      teams: teams(90, 70),
      state: { rps: 200, write_rps: 60, value_kb: 1, txn_ops: 12 },
    },
    machines: 30,
    load: 1,
  },
  // Few writes a second, so that what is gathered meanwhile is large; a short lag of the watch.
  {
    size: {
      hosts: ['a', 'b', 'c'],
      capacity: 10,
      teams: teams(70, 60),
      state: { rps: 120, write_rps: 18, value_kb: 1, txn_ops: 12 },
    },
    machines: 24,
    load: 0.7,
  },
  // Takeovers that one transaction does not hold.
  {
    size: {
      hosts: ['a', 'b', 'c', 'd', 'e'],
      capacity: 16,
      teams: teams(150, 130),
      state: { rps: 200, write_rps: 40, value_kb: 1, txn_ops: 7 },
    },
    machines: 60,
    load: 1.5,
  },
];

const deploymentOf = (seed: number): Deployment =>
  DEPLOYMENTS[seed % DEPLOYMENTS.length] ?? (DEPLOYMENTS[0] as Deployment);

export function drawSchedule(seed: number): Schedule {
  const chance = new SeededRandom(seed * 7919 + 13);
  const faults: Fault[] = [];
  const count = chance.int(3, 12);
  for (let n = 0; n < count; n++) {
    const kind = KINDS[chance.int(0, KINDS.length - 1)] ?? 'crash';
    const atS = chance.real(FIRST_S, OVER_S - 15);
    const forS = Math.min(chance.real(1, 22), OVER_S - atS);
    const host = chance.int(0, deploymentOf(seed).size.hosts.length - 1);
    faults.push({ kind, atS, forS, host, count: chance.int(1, 5) });
  }
  return { seed, faults: faults.sort((a, b) => a.atS - b.atS) };
}

/** What one run broke: rules at workers and users first, then what the records broke. */
export interface Findings {
  broken: string[];
  records: string[];
  starts: number;
  finals: number;
}

export async function play({ seed, faults }: Schedule): Promise<Findings> {
  const { size, machines, load } = deploymentOf(seed);
  const world = new World(seed, size);
  world.cloud.begin(machines);
  work(world, load);
  lookClosely(world);
  for (const fault of faults)
    at(world, fault.atS, () => {
      begin(world, fault);
    });
  const findings = await playOut(world, OVER_S, END_S);
  const unserved = world.checker.unserved().map((name) => `unserved: ${name}`);
  return { ...findings, broken: [...findings.broken, ...unserved] };
}

/** Plays a day whose troubles are laid out to its end, and gathers what it broke. */
export async function playOut(world: World, overS: number, endS: number): Promise<Findings> {
  world.checker.troublesOver = overS * 1000;
  await world.time.runUntil(endS * 1000);
  world.checker.finish();
  for (const host of world.hosts()) world.kill(host, 1e9);
  return {
    broken: [...world.checker.broken],
    records: world.recordsBroken.map(
      ({ rule, what, at: when }) => `${rule} at ${String(when)}: ${what}`,
    ),
    starts: world.checker.starts.length,
    finals: world.finals.size,
  };
}

/** Both teams have more to do than their limits let them. */
function work(world: World, load: number): void {
  const { chance } = world;
  const short = (index: number): Partial<JobSpec> => ({
    team: index % 2 === 0 ? 'red' : 'blue',
    image: `img-${String(index % 4)}`,
    cpus: 1,
    memoryGb: 2,
  });
  for (let index = 0; index < 260 * load; index++)
    at(world, (index * 0.5) / load, () => {
      const withdrawAfterMs = chance.hit(0.25) ? chance.real(0, 9000) : null;
      // Names of many lengths: what has room in one record has none in another.
      const suffix = 'x'.repeat(index % 3 === 0 ? chance.int(20, 50) : 0);
      world.user(
        { ...short(index), expectedSeconds: chance.real(0.5, 9) },
        withdrawAfterMs,
        suffix,
      );
    });
  for (let index = 0; index < 48 * load; index++)
    at(world, (index * 2.5) / load, () => {
      const tasks = chance.int(2, 14);
      world.user({ ...short(index), tasks, expectedSeconds: chance.real(3, 25) });
    });
  for (let index = 0; index < 4; index++)
    at(world, index * 6, () => {
      world.user({
        ...short(index),
        kind: 'service',
        priority: 'critical',
        expectedSeconds: 0,
        tasks: 3,
        spreadAcrossZones: index % 2 === 0,
      });
    });
  for (let index = 0; index < 5; index++)
    at(world, 8 + index * 18, () => {
      const gang = { kind: 'gang', priority: 'urgent', gpus: 1, cpus: 2 } as const;
      world.user({
        ...gang,
        tasks: chance.int(1, 3),
        singleZone: index % 2 === 0,
        expectedSeconds: 10,
      });
    });
}

/** Users ask at all nodes, and some cancel, within milliseconds of the end of a task. */
function lookClosely(world: World): void {
  const { chance } = world;
  world.onDone = (uid) => {
    if (!chance.hit(0.3)) return;
    if (chance.hit(0.3))
      world.time.after(chance.real(0, 600), () => {
        void world.withdraw(uid);
      });
    for (const host of world.hosts())
      for (let n = 0; n < 2; n++)
        world.time.after(chance.real(0, 900), () => {
          void world.ask(uid, 'GET', `/v2/runs/${uid}`, undefined, 2000, host);
        });
  };
}

function begin(world: World, { kind, forS, host: place, count }: Fault): void {
  const host = world.hosts()[place] ?? 'a';
  const { store } = world;
  const until = (over: () => void): void => {
    at(world, forS, over);
  };
  const machines = (): Set<string> => {
    const names = new Set<string>();
    for (let n = 0; n < count; n++) {
      const worker = world.someWorker();
      if (worker) names.add(worker.id);
    }
    return names;
  };
  const idOf = (name: string): string => name.split(':')[0] ?? '';
  switch (kind) {
    case 'crash':
      world.kill(host, forS * 1000);
      break;
    case 'blink':
      world.kill(host, 300);
      break;
    case 'crash all':
      for (const each of world.hosts()) world.kill(each, world.chance.real(200, 4000));
      break;
    case 'pause':
      world.pauseHost(host, forS * 500);
      break;
    case 'store refuses one':
      store.refused.add(host);
      until(() => store.refused.delete(host));
      break;
    case 'store out':
      store.outage(forS * 1000);
      break;
    case 'store slow':
      store.slowMs = 30 * count;
      until(() => {
        store.slowMs = 0;
      });
      break;
    case 'watch late':
      store.watchDelayMs.set(host, 150 * count);
      until(() => store.watchDelayMs.delete(host));
      break;
    case 'reads refused':
      store.readsRefused.add(host);
      until(() => store.readsRefused.delete(host));
      break;
    case 'commits unanswered':
      store.unanswered.add(host);
      until(() => store.unanswered.delete(host));
      break;
    case 'answers and reads lost':
      // What it commits is carried out, and for a while it can find out in no way that it was.
      store.unanswered.add(host);
      store.watchDelayMs.set(host, 5000);
      at(world, Math.min(forS, 1), () => store.unanswered.delete(host));
      until(() => store.watchDelayMs.delete(host));
      break;
    case 'commits late':
      store.lateShare = 0.08 * count;
      until(() => {
        store.lateShare = 0;
      });
      break;
    case 'workers cut': {
      const names = machines();
      cut(world, forS, 'hold', (from, to) => names.has(idOf(from)) || names.has(idOf(to)));
      break;
    }
    case 'workers mute': {
      const names = machines();
      cut(world, forS, 'drop', (from) => names.has(from));
      break;
    }
    case 'workers deaf': {
      const names = machines();
      cut(world, forS, 'drop', (_, to) => names.has(idOf(to)));
      break;
    }
    case 'workers die':
      for (const name of machines()) world.workers.get(name)?.die();
      break;
    case 'workers hang':
      for (const name of machines()) {
        const worker = world.workers.get(name);
        if (!worker || worker.hung) continue;
        worker.hung = true;
        until(() => {
          worker.resume();
        });
      }
      break;
    case 'zone cut':
      cut(world, forS, 'hold', (from, to) => {
        const inside = (name: string): boolean =>
          world.workers.get(idOf(name))?.facts.site === 'y' || (count > 3 && idOf(name) === host);
        return inside(from) !== inside(to);
      });
      break;
    case 'controller cut from workers':
      cutHost(world, host, /^i-/, forS);
      break;
    case 'controller cut from peers':
      cutHost(world, host, /^[a-e](:2)?$/, forS);
      break;
    case 'commands held':
      holdCommands(world, Math.min(forS, 12), 'commands');
      break;
    case 'answers held':
      holdCommands(world, Math.min(forS, 12), 'answers');
      break;
    case 'reports copied':
      world.net.echo = { path: '/checkin', share: 0.1 * count, afterMs: [2000, 25_000] };
      until(() => {
        world.net.echo = null;
      });
      break;
    case 'cancel now':
      cancelNow(world, count, forS > 8 ? forS : 0);
      break;
  }
}
