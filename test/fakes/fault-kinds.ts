/** The kinds of faults that seeds draw from, and how each is injected into a simulated cluster. */
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

/** Seeds draw by index, so a change of this order changes every drawn schedule. */
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

/** One fault as plain data, so that a schedule can be printed, shrunk and run again. */
export interface Fault {
  kind: FaultKind;
  /** Start time in seconds. */
  atS: number;
  /** Duration in seconds. */
  forS: number;
  /** Index of the affected controller among the hosts. */
  host: number;
  /** Number of affected machines or jobs, or the strength of the fault. */
  count: number;
}

/** Maximum time for which commands to workers, or their answers, are held, in seconds. */
const MAX_DELAY_S = 12;
const QUICK_RESTART_MS = 300;

/** Parameters of a fault that is being injected. */
interface Injection {
  world: World;
  host: string;
  forS: number;
  count: number;
}

type Inject = (injection: Injection) => void;

/** Draws up to `count` running machines; each call draws again. */
function drawMachines({ world, count }: Injection): Set<string> {
  const ids = new Set<string>();
  for (let draw = 0; draw < count; draw++) {
    const worker = world.randomWorker();
    if (worker) ids.add(worker.id);
  }
  return ids;
}

/** Runs `undo` at the end of the fault. */
const onFaultEnd = ({ world, forS }: Injection, undo: () => void): void => {
  afterSeconds(world, forS, undo);
};

/** Adds the affected controller to a set of hosts of the store for the duration of the fault. */
const addHostTo =
  (hostSet: (world: World) => Set<string>): Inject =>
  (injection) => {
    hostSet(injection.world).add(injection.host);
    onFaultEnd(injection, () => hostSet(injection.world).delete(injection.host));
  };

const STORE_FAULTS = {
  'store refuses one': addHostTo(({ store }) => store.refusedHosts),
  'store outage': ({ world, forS }) => {
    world.store.outage(forS * 1000);
  },
  'store slow': (injection) => {
    const { store } = injection.world;
    store.extraLatencyMs = 30 * injection.count;
    onFaultEnd(injection, () => {
      store.extraLatencyMs = 0;
    });
  },
  'watch delayed': (injection) => {
    const { watchDelayMs } = injection.world.store;
    watchDelayMs.set(injection.host, 150 * injection.count);
    onFaultEnd(injection, () => watchDelayMs.delete(injection.host));
  },
  'reads refused': addHostTo(({ store }) => store.readRefusedHosts),
  'commits unanswered': addHostTo(({ store }) => store.unansweredHosts),
  // Commits are applied, and for a while the controller cannot learn this from answers or from the watch.
  'commits unanswered and reads delayed': (injection) => {
    const { world, host, forS } = injection;
    const { unansweredHosts, watchDelayMs } = world.store;
    unansweredHosts.add(host);
    watchDelayMs.set(host, 5000);
    afterSeconds(world, Math.min(forS, 1), () => unansweredHosts.delete(host));
    onFaultEnd(injection, () => watchDelayMs.delete(host));
  },
  'commits delayed': (injection) => {
    const { store } = injection.world;
    store.delayedCommitShare = 0.08 * injection.count;
    onFaultEnd(injection, () => {
      store.delayedCommitShare = 0;
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
    delayCommands(world, Math.min(forS, MAX_DELAY_S), 'commands');
  },
  'answers delayed': ({ world, forS }) => {
    delayCommands(world, Math.min(forS, MAX_DELAY_S), 'answers');
  },
  'heartbeats duplicated': (injection) => {
    const { net } = injection.world;
    net.duplication = {
      path: '/checkin',
      share: 0.1 * injection.count,
      afterMs: [2000, 25_000],
    };
    onFaultEnd(injection, () => {
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

/** Starts a fault; its end is scheduled with it. */
export function injectFault(world: World, { kind, forS, host, count }: Fault): void {
  FAULTS[kind]({ world, host: world.hosts()[host] ?? 'a', forS, count });
}
