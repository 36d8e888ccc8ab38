/** Injects the drawn faults into a cluster of real processes. */
import type { Cluster } from './cluster.js';
import type { LinkKind } from './links.js';
import { HOSTS } from './options.js';
import type { FaultKind, SoakFault } from './schedule.js';

/** Minimum and maximum latency of the state service while it is slow, in milliseconds. */
const SLOW_LATENCY_MS: readonly [number, number] = [20, 200];
const SLOW_ERROR_SHARE = 0.03;
const SLOW_PAGE_ITEMS = 3;
const PAGE_ITEMS = 1000;
/** Maximum time for which a controller is down or its commits are not answered, in seconds. */
const MAX_DOWN_S = 2;
/** Delay of slow links per unit of `count`, in milliseconds. */
const LINK_DELAY_MS = 50;
/** The `count` at which a fault would affect every machine; a lower count affects each with proportional probability. */
const FULL_STRENGTH = 6;

/** Parameters of a fault that is being injected. */
interface Injection {
  cluster: Cluster;
  host: string;
  /** Ids of the affected machines. */
  machines: string[];
  forS: number;
  count: number;
}

type Inject = (injection: Injection) => void;

const afterSeconds = (cluster: Cluster, seconds: number, run: () => void): void => {
  cluster.time.after(seconds * 1000, run);
};

/** Runs `undo` at the end of the fault. */
const onFaultEnd = ({ cluster, forS }: Injection, undo: () => void): void => {
  afterSeconds(cluster, forS, undo);
};

/** For the duration of the fault, links of a kind that begin or end at any of `endpoints` drop or hold their traffic. */
function disruptLinks(
  injection: Injection,
  kind: LinkKind,
  endpoints: readonly string[],
  mode: 'drop' | 'hold' = 'drop',
): void {
  const { links } = injection.cluster;
  for (const name of endpoints) {
    links.setMode(kind, name, mode);
    onFaultEnd(injection, () => {
      links.setMode(kind, name, 'pass');
    });
  }
}

const FAULTS: Readonly<Record<FaultKind, Inject>> = {
  kill: ({ cluster, host, forS }) => {
    cluster.controllers.kill(host);
    afterSeconds(cluster, Math.min(forS, MAX_DOWN_S), () => {
      cluster.controllers.start(host);
    });
  },
  'kill all': ({ cluster }) => {
    for (const host of HOSTS) {
      cluster.controllers.kill(host);
      afterSeconds(cluster, cluster.random.real(0.1, MAX_DOWN_S), () => {
        cluster.controllers.start(host);
      });
    }
  },
  pause: (injection) => {
    const { cluster, host } = injection;
    cluster.controllers.pause(host);
    onFaultEnd(injection, () => {
      cluster.controllers.resume(host);
    });
  },
  'state slow': (injection) => {
    const { store } = injection.cluster;
    store.latencyMs = SLOW_LATENCY_MS;
    store.errorShare = SLOW_ERROR_SHARE;
    store.maxPageItems = SLOW_PAGE_ITEMS;
    onFaultEnd(injection, () => {
      store.latencyMs = null;
      store.errorShare = 0;
      store.maxPageItems = PAGE_ITEMS;
    });
  },
  'state out': ({ cluster, forS }) => {
    cluster.store.outage(forS * 1000);
  },
  'state refuses one': (injection) => {
    const { refusedHosts } = injection.cluster.store;
    refusedHosts.add(injection.host);
    onFaultEnd(injection, () => refusedHosts.delete(injection.host));
  },
  'answers lost': ({ cluster, host, forS }) => {
    const { unansweredHosts } = cluster.store;
    unansweredHosts.add(host);
    afterSeconds(cluster, Math.min(forS, MAX_DOWN_S), () => unansweredHosts.delete(host));
  },
  'transactions late': (injection) => {
    const { store } = injection.cluster;
    store.delayedCommitShare = 0.1 * injection.count;
    onFaultEnd(injection, () => {
      store.delayedCommitShare = 0;
    });
  },
  'peers cut': (injection) => {
    disruptLinks(injection, 'mesh', [injection.host]);
  },
  'workers cut': (injection) => {
    disruptLinks(injection, 'heartbeat', injection.machines);
    disruptLinks(injection, 'command', injection.machines);
  },
  'heartbeats cut': (injection) => {
    disruptLinks(injection, 'heartbeat', [injection.host]);
  },
  'commands held': (injection) => {
    disruptLinks(injection, 'command', injection.machines, 'hold');
  },
  'links slow': (injection) => {
    const { links } = injection.cluster;
    for (const kind of ['store', 'mesh', 'heartbeat', 'command'] as const) {
      links.setMode(kind, null, 'pass', LINK_DELAY_MS * injection.count);
      onFaultEnd(injection, () => {
        links.setMode(kind, null, 'pass');
      });
    }
  },
  'heartbeats repeated': (injection) => {
    const { machines } = injection.cluster;
    machines.duplicateShare = 0.1 * injection.count;
    onFaultEnd(injection, () => {
      machines.duplicateShare = 0;
    });
  },
  'commands repeated': (injection) => {
    const { machines } = injection.cluster;
    machines.duplicateCommandShare = 0.1 * injection.count;
    onFaultEnd(injection, () => {
      machines.duplicateCommandShare = 0;
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
  onFaultEnd(injection, () => {
    worker.resume();
  });
}

/** Starts a fault; its end is scheduled with it. */
export function injectFault(cluster: Cluster, fault: SoakFault): void {
  const { kind, forS, count } = fault;
  const host = HOSTS[fault.host] ?? HOSTS[0];
  const machines = [...cluster.workers.keys()].filter(() =>
    cluster.random.chance(count / FULL_STRENGTH),
  );
  cluster.note(`fault: ${kind}, ${host}, ${String(count)}, for ${forS.toFixed(1)} s`);
  FAULTS[kind]({ cluster, host, machines, forS, count });
}
