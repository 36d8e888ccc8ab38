/** The kinds of faults that days draw from, and what each does to a simulated cluster. */
import {
  afterSeconds,
  cancelRunningJobs,
  delayCommands,
  hangWorker,
  hostOf,
  isolateController,
  partition,
} from './fault-injection.js';
import type { World } from './world.js';

/** In the order from which seeds draw: changing it changes every drawn day. */
export const FAULT_KINDS = [
  'crash',
  'quick restart',
  'crash all',
  'pause',
  'store refuses one',
  'store outage',
  'store slow',
  'watch delayed',
  'reads refused',
  'commits unanswered',
  'commits unanswered and reads delayed',
  'commits delayed',
  'workers partitioned',
  'messages from workers dropped',
  'messages to workers dropped',
  'workers die',
  'workers hang',
  'zone isolated',
  'controller isolated from workers',
  'controller isolated from peers',
  'commands delayed',
  'answers delayed',
  'heartbeats duplicated',
  'jobs cancelled',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault, as data, so that a schedule can be printed, shrunk and played again. */
export interface Fault {
  kind: FaultKind;
  /** When it begins, in seconds. */
  atS: number;
  forS: number;
  /** The controller that it concerns, by its place among the hosts. */
  host: number;
  /** How many machines or jobs it concerns, or how strong it is. */
  count: number;
}

/** Messages to and from workers are held no longer than this, in seconds. */
const LONGEST_DELAY_S = 12;
const QUICK_RESTART_MS = 300;

/** A fault that begins: what it concerns, and how long it lasts. */
interface Injection {
  world: World;
  host: string;
  forS: number;
  count: number;
}

type Inject = (injection: Injection) => void;

/** Up to `count` machines that are up, drawn anew by each call. */
function drawMachines({ world, count }: Injection): Set<string> {
  const ids = new Set<string>();
  for (let draw = 0; draw < count; draw++) {
    const worker = world.randomWorker();
    if (worker) ids.add(worker.id);
  }
  return ids;
}

/** Undoes a fault once it has lasted for its time. */
const whenOver = ({ world, forS }: Injection, undo: () => void): void => {
  afterSeconds(world, forS, undo);
};

/** A controller is in such a set of the store for the time of the fault. */
const refuseBy =
  (hosts: (world: World) => Set<string>): Inject =>
  (injection) => {
    hosts(injection.world).add(injection.host);
    whenOver(injection, () => hosts(injection.world).delete(injection.host));
  };

const STORE_FAULTS = {
  'store refuses one': refuseBy(({ store }) => store.refusedHosts),
  'store outage': ({ world, forS }) => {
    world.store.outage(forS * 1000);
  },
  'store slow': (injection) => {
    const { store } = injection.world;
    store.extraLatencyMs = 30 * injection.count;
    whenOver(injection, () => {
      store.extraLatencyMs = 0;
    });
  },
  'watch delayed': (injection) => {
    const { watchDelayMs } = injection.world.store;
    watchDelayMs.set(injection.host, 150 * injection.count);
    whenOver(injection, () => watchDelayMs.delete(injection.host));
  },
  'reads refused': refuseBy(({ store }) => store.readRefusedHosts),
  'commits unanswered': refuseBy(({ store }) => store.unansweredHosts),
  // Commits are carried out, and for a while the controller can find out in no way that they were.
  'commits unanswered and reads delayed': (injection) => {
    const { world, host, forS } = injection;
    const { unansweredHosts, watchDelayMs } = world.store;
    unansweredHosts.add(host);
    watchDelayMs.set(host, 5000);
    afterSeconds(world, Math.min(forS, 1), () => unansweredHosts.delete(host));
    whenOver(injection, () => watchDelayMs.delete(host));
  },
  'commits delayed': (injection) => {
    const { store } = injection.world;
    store.lateCommitShare = 0.08 * injection.count;
    whenOver(injection, () => {
      store.lateCommitShare = 0;
    });
  },
} satisfies Partial<Record<FaultKind, Inject>>;

const CONTROLLER_FAULTS = {
  crash: ({ world, host, forS }) => {
    world.kill(host, forS * 1000);
  },
  'quick restart': ({ world, host }) => {
    world.kill(host, QUICK_RESTART_MS);
  },
  'crash all': ({ world }) => {
    for (const host of world.hosts()) world.kill(host, world.random.real(200, 4000));
  },
  pause: ({ world, host, forS }) => {
    world.pauseHost(host, forS * 500);
  },
  'controller isolated from workers': ({ world, host, forS }) => {
    isolateController(world, host, /^i-/, { forS });
  },
  'controller isolated from peers': ({ world, host, forS }) => {
    isolateController(world, host, /^[a-e](:2)?$/, { forS });
  },
} satisfies Partial<Record<FaultKind, Inject>>;

const WORKER_FAULTS = {
  'workers partitioned': (injection) => {
    const ids = drawMachines(injection);
    partition(
      injection.world,
      injection.forS,
      'hold',
      (from, to) => ids.has(hostOf(from)) || ids.has(hostOf(to)),
    );
  },
  'messages from workers dropped': (injection) => {
    const ids = drawMachines(injection);
    partition(injection.world, injection.forS, 'drop', (from) => ids.has(from));
  },
  'messages to workers dropped': (injection) => {
    const ids = drawMachines(injection);
    partition(injection.world, injection.forS, 'drop', (_, to) => ids.has(hostOf(to)));
  },
  'workers die': (injection) => {
    for (const id of drawMachines(injection)) injection.world.workers.get(id)?.die();
  },
  'workers hang': (injection) => {
    const { world, forS } = injection;
    for (const id of drawMachines(injection)) hangWorker(world, world.workers.get(id), forS);
  },
  'zone isolated': ({ world, host, forS, count }) => {
    const isInside = (name: string): boolean =>
      world.workers.get(hostOf(name))?.traits.zone === 'y' || (count > 3 && hostOf(name) === host);
    partition(world, forS, 'hold', (from, to) => isInside(from) !== isInside(to));
  },
  'commands delayed': ({ world, forS }) => {
    delayCommands(world, Math.min(forS, LONGEST_DELAY_S), 'commands');
  },
  'answers delayed': ({ world, forS }) => {
    delayCommands(world, Math.min(forS, LONGEST_DELAY_S), 'answers');
  },
  'heartbeats duplicated': (injection) => {
    const { net } = injection.world;
    net.duplication = {
      path: '/checkin',
      share: 0.1 * injection.count,
      afterMs: [2000, 25_000],
    };
    whenOver(injection, () => {
      net.duplication = null;
    });
  },
  'jobs cancelled': ({ world, forS, count }) => {
    cancelRunningJobs(world, count, forS > 8 ? forS : 0);
  },
} satisfies Partial<Record<FaultKind, Inject>>;

const FAULTS: Readonly<Record<FaultKind, Inject>> = {
  ...STORE_FAULTS,
  ...CONTROLLER_FAULTS,
  ...WORKER_FAULTS,
};

/** Lets a fault begin; it ends by itself. */
export function injectFault(world: World, { kind, forS, host, count }: Fault): void {
  FAULTS[kind]({ world, host: world.hosts()[host] ?? 'a', forS, count });
}
