/** Routes of users' requests, and relaying them to a peer when this controller cannot serve them. */
import type { Peers } from '../mesh/peers.js';
import { fillPath } from '../wire/router.js';
import type { Reply, Route } from '../wire/server.js';
import type { JobApi } from './api.js';

/** When requests are relayed to a peer, and the timeout. */
export interface RelayOptions {
  /** Milliseconds since the replica was last confirmed current. */
  replicaAgeMs: () => number;
  /** When the replica is older than this, in milliseconds, requests are relayed to a peer first. */
  staleMs: number;
  /** Timeout of a relayed request, in milliseconds. */
  timeoutMs: number;
}

/** The protocol's routes for users' requests. */
export function userRoutes(api: JobApi): Route[] {
  return [
    {
      method: 'POST',
      path: ['v2', 'runs'],
      handle: (_, body) => api.submit(body),
    },
    {
      method: 'GET',
      path: ['v2', 'runs', '*'],
      handle: ([jobId]) => api.poll(jobId ?? ''),
    },
    {
      method: 'POST',
      path: ['v2', 'runs', '*', 'withdraw'],
      handle: ([jobId]) => api.cancel(jobId ?? ''),
    },
  ];
}

/**
 * Wraps a route so that a controller without access to the store relays the request to a peer that has access. The
 * request is relayed first if the replica is stale, and otherwise after a 503 reply of the route itself.
 */
export function withPeerRelay(route: Route, peers: Peers, options: RelayOptions): Route {
  const { replicaAgeMs, staleMs, timeoutMs } = options;
  return {
    ...route,
    handle: async (args, body) => {
      const isStale = replicaAgeMs() > staleMs;
      const path = fillPath(route.path, args);
      const relay = (): Promise<Reply | null> =>
        peers.relayUserRequest(route.method, path, body, timeoutMs);
      if (isStale) {
        const reply = await relay();
        if (reply) return reply;
      }
      const reply = await route.handle(args, body);
      const shouldRelay = reply.status === 503 && !isStale;
      return shouldRelay ? ((await relay()) ?? reply) : reply;
    },
  };
}
