/** Brings about the drawn faults among real processes. */
import { HOSTS, type Cluster } from './cluster.js';
import type { SoakFault } from './schedule.js';

/** Answers of the state service when it is slow, least and most in milliseconds. */
const SLOW_MS: readonly [number, number] = [20, 200];
const SLOW_TROUBLE_SHARE = 0.03;
const SLOW_PAGE_ITEMS = 3;

export function begin(cluster: Cluster, { kind, forS, host: place, count }: SoakFault): void {
  const host = HOSTS[place] ?? HOSTS[0];
  const { store, controllers, chance } = cluster;
  const after = (s: number, run: () => void): void => {
    cluster.time.after(s * 1000, run);
  };
  const machines = [...cluster.workers.keys()].filter(() => chance.hit(count / 6));
  cluster.note(`fault: ${kind}, ${host}, ${String(count)}, for ${forS.toFixed(1)} s`);
  switch (kind) {
    case 'kill':
      controllers.kill(host);
      after(Math.min(forS, 2), () => {
        controllers.start(host);
      });
      break;
    case 'kill all':
      for (const each of HOSTS) {
        controllers.kill(each);
        after(chance.real(0.1, 2), () => {
          controllers.start(each);
        });
      }
      break;
    case 'pause':
      controllers.pause(host);
      after(forS, () => {
        controllers.resume(host);
      });
      break;
    case 'state slow':
      store.latencyMs = SLOW_MS;
      store.troubleShare = SLOW_TROUBLE_SHARE;
      store.pageItems = SLOW_PAGE_ITEMS;
      after(forS, () => {
        store.latencyMs = null;
        store.troubleShare = 0;
        store.pageItems = 1000;
      });
      break;
    case 'state out':
      store.outage(forS * 1000);
      break;
    case 'state refuses one':
      store.refused.add(host);
      after(forS, () => store.refused.delete(host));
      break;
    case 'answers lost':
      store.unanswered.add(host);
      after(Math.min(forS, 2), () => store.unanswered.delete(host));
      break;
    case 'transactions late':
      store.lateShare = 0.1 * count;
      after(forS, () => {
        store.lateShare = 0;
      });
      break;
    case 'peers cut':
      cutLink(cluster, 'mesh', [host], forS);
      break;
    case 'workers cut':
      cutLink(cluster, 'report', machines, forS);
      cutLink(cluster, 'command', machines, forS);
      break;
    case 'reports cut':
      cutLink(cluster, 'report', [host], forS);
      break;
    case 'commands held':
      cutLink(cluster, 'command', machines, forS, 'hold');
      break;
    case 'links slow':
      for (const link of ['store', 'mesh', 'report', 'command'] as const) {
        cluster.setLink(link, null, 'pass', 50 * count);
        after(forS, () => {
          cluster.setLink(link, null, 'pass');
        });
      }
      break;
    case 'reports repeated':
      cluster.repeatShare = 0.1 * count;
      after(forS, () => {
        cluster.repeatShare = 0;
      });
      break;
    case 'machine hangs':
      for (const machine of machines) {
        const worker = cluster.workers.get(machine);
        if (!worker || worker.hung) continue;
        worker.hung = true;
        after(forS, () => {
          worker.resume();
        });
      }
      break;
    case 'machine ends':
      for (const machine of machines.slice(0, 1)) cluster.workers.get(machine)?.die();
      break;
    case 'cancel now':
      for (const uid of cluster.checker
        .running()
        .slice(0, count)
        .map((stay) => stay.uid))
        void cluster.users.withdraw(uid);
      break;
  }
}

function cutLink(
  cluster: Cluster,
  link: 'mesh' | 'report' | 'command',
  concerned: readonly string[],
  forS: number,
  mode: 'drop' | 'hold' = 'drop',
): void {
  for (const who of concerned) {
    cluster.setLink(link, who, mode);
    cluster.time.after(forS * 1000, () => {
      cluster.setLink(link, who, 'pass');
    });
  }
}
