/** Brings about the drawn faults among real processes. */
import type { Cluster } from './cluster.js';
import type { LinkKind } from './links.js';
import { HOSTS } from './options.js';
import type { FaultKind, SoakFault } from './schedule.js';

/** Answers of the state service when it is slow, least and most in milliseconds. */
const SLOW_MS: readonly [number, number] = [20, 200];
const SLOW_ERROR_SHARE = 0.03;
const SLOW_PAGE_ITEMS = 3;
const PAGE_ITEMS = 1000;
/** Controllers are down, and commits unanswered, no longer than this. */
const LONGEST_DOWN_S = 2;
/** Each step of a fault's strength slows links by this much. */
const LINK_DELAY_MS = 50;
/** A fault of this strength would concern all machines. */
const FULL_STRENGTH = 6;

/** A fault that begins. */
interface Injection {
  cluster: Cluster;
  host: string;
  /** Machines that it concerns. */
  machines: string[];
  forS: number;
  count: number;
}

type Inject = (injection: Injection) => void;

const afterSeconds = (cluster: Cluster, seconds: number, run: () => void): void => {
  cluster.time.after(seconds * 1000, run);
};

/** Undoes a fault once it has lasted for its time. */
const whenOver = ({ cluster, forS }: Injection, undo: () => void): void => {
  afterSeconds(cluster, forS, undo);
};

/** Links of a kind that concern any of these drop or hold what passes, for the time of the fault. */
function cutLinks(
  injection: Injection,
  kind: LinkKind,
  concerned: readonly string[],
  mode: 'drop' | 'hold' = 'drop',
): void {
  const { links } = injection.cluster;
  for (const name of concerned) {
    links.set(kind, name, mode);
    whenOver(injection, () => {
      links.set(kind, name, 'pass');
    });
  }
}

const FAULTS: Readonly<Record<FaultKind, Inject>> = {
  kill: ({ cluster, host, forS }) => {
    cluster.controllers.kill(host);
    afterSeconds(cluster, Math.min(forS, LONGEST_DOWN_S), () => {
      cluster.controllers.start(host);
    });
  },
  'kill all': ({ cluster }) => {
    for (const host of HOSTS) {
      cluster.controllers.kill(host);
      afterSeconds(cluster, cluster.random.real(0.1, LONGEST_DOWN_S), () => {
        cluster.controllers.start(host);
      });
    }
  },
  pause: (injection) => {
    const { cluster, host } = injection;
    cluster.controllers.pause(host);
    whenOver(injection, () => {
      cluster.controllers.resume(host);
    });
  },
  'state slow': (injection) => {
    const { store } = injection.cluster;
    store.latencyMs = SLOW_MS;
    store.errorShare = SLOW_ERROR_SHARE;
    store.pageItems = SLOW_PAGE_ITEMS;
    whenOver(injection, () => {
      store.latencyMs = null;
      store.errorShare = 0;
      store.pageItems = PAGE_ITEMS;
    });
  },
  'state out': ({ cluster, forS }) => {
    cluster.store.outage(forS * 1000);
  },
  'state refuses one': (injection) => {
    const { refusedHosts } = injection.cluster.store;
    refusedHosts.add(injection.host);
    whenOver(injection, () => refusedHosts.delete(injection.host));
  },
  'answers lost': ({ cluster, host, forS }) => {
    const { unansweredHosts } = cluster.store;
    unansweredHosts.add(host);
    afterSeconds(cluster, Math.min(forS, LONGEST_DOWN_S), () => unansweredHosts.delete(host));
  },
  'transactions late': (injection) => {
    const { store } = injection.cluster;
    store.lateCommitShare = 0.1 * injection.count;
    whenOver(injection, () => {
      store.lateCommitShare = 0;
    });
  },
  'peers cut': (injection) => {
    cutLinks(injection, 'mesh', [injection.host]);
  },
  'workers cut': (injection) => {
    cutLinks(injection, 'heartbeat', injection.machines);
    cutLinks(injection, 'command', injection.machines);
  },
  'heartbeats cut': (injection) => {
    cutLinks(injection, 'heartbeat', [injection.host]);
  },
  'commands held': (injection) => {
    cutLinks(injection, 'command', injection.machines, 'hold');
  },
  'links slow': (injection) => {
    const { links } = injection.cluster;
    for (const kind of ['store', 'mesh', 'heartbeat', 'command'] as const) {
      links.set(kind, null, 'pass', LINK_DELAY_MS * injection.count);
      whenOver(injection, () => {
        links.set(kind, null, 'pass');
      });
    }
  },
  'heartbeats repeated': (injection) => {
    const { machines } = injection.cluster;
    machines.duplicateShare = 0.1 * injection.count;
    whenOver(injection, () => {
      machines.duplicateShare = 0;
    });
  },
  'machine hangs': (injection) => {
    for (const machineId of injection.machines) hangMachine(injection, machineId);
  },
  'machine ends': ({ cluster, machines }) => {
    for (const machineId of machines.slice(0, 1)) cluster.workers.get(machineId)?.die();
  },
  'cancel now': ({ cluster, count }) => {
    for (const { jobId } of cluster.checker.running().slice(0, count))
      void cluster.users.cancel(jobId);
  },
};

function hangMachine(injection: Injection, machineId: string): void {
  const worker = injection.cluster.workers.get(machineId);
  if (!worker || worker.hung) return;
  worker.hung = true;
  whenOver(injection, () => {
    worker.resume();
  });
}

/** Lets a fault begin; it ends by itself. */
export function injectFault(cluster: Cluster, fault: SoakFault): void {
  const { kind, forS, count } = fault;
  const host = HOSTS[fault.host] ?? HOSTS[0];
  const machines = [...cluster.workers.keys()].filter(() =>
    cluster.random.chance(count / FULL_STRENGTH),
  );
  cluster.note(`fault: ${kind}, ${host}, ${String(count)}, for ${forS.toFixed(1)} s`);
  FAULTS[kind]({ cluster, host, machines, forS, count });
}
