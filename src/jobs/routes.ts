/** The users' routes, and how a peer serves them when this controller cannot. */
import type { Peers } from '../mesh/peers.js';
import { fillPath } from '../wire/router.js';
import type { Reply, Route } from '../wire/server.js';
import type { JobApi } from './api.js';

/** When and for how long peers are asked. */
export interface RelayOptions {
  /** Milliseconds since the replica was last confirmed current. */
  replicaAgeMs: () => number;
  /** Beyond this age, in milliseconds, peers are asked first. */
  staleMs: number;
  /** What a peer has to answer within, in milliseconds. */
  timeoutMs: number;
}

/** The protocol's routes for users. */
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

/** A controller that the store does not answer has a peer answer its users, if the store answers that one. */
export function relayed(route: Route, peers: Peers, options: RelayOptions): Route {
  const { replicaAgeMs, staleMs, timeoutMs } = options;
  return {
    ...route,
    handle: async (args, body) => {
      const isStale = replicaAgeMs() > staleMs;
      const path = fillPath(route.path, args);
      const relay = (): Promise<Reply | null> => peers.serve(route.method, path, body, timeoutMs);
      if (isStale) {
        const reply = await relay();
        if (reply) return reply;
      }
      const reply = await route.handle(args, body);
      const mayAskPeer = reply.status === 503 && !isStale;
      return mayAskPeer ? ((await relay()) ?? reply) : reply;
    },
  };
}
