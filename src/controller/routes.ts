/** The routes of the public address: workers, users and health checks. */
import { withPeerRelay } from '../jobs/routes.js';
import type { Route } from '../wire/server.js';
import type { Components } from './assembly.js';

/** Time limit for a peer's answer to a relayed user request. */
const RELAY_TIMEOUT_MS = 1500;

/** Creates all routes. Users' requests are relayed to a peer while the own replica is stale. */
export function publicRoutes(
  { peers, workerManager, watcher, domainManager, timing }: Components,
  userRoutes: readonly Route[],
  replicaAgeMs: () => number,
): Route[] {
  const heartbeat: Route = {
    method: 'POST',
    path: ['checkin'],
    isLongLived: true,
    handle: (_, body) => workerManager.handleHeartbeat(body),
  };
  const health: Route = {
    method: 'GET',
    path: ['up'],
    handle: () => {
      const holdsDomain = domainManager.isRegistered || domainManager.isReleased;
      return { status: watcher.isLoaded && holdsDomain ? 200 : 503, body: {} };
    },
  };
  const options = { replicaAgeMs, staleMs: timing.staleReplicaMs, timeoutMs: RELAY_TIMEOUT_MS };
  return [heartbeat, ...userRoutes.map((route) => withPeerRelay(route, peers, options)), health];
}
