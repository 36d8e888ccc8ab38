/** The routes of a server, and the matching of requests to them. */
import { decodeMap, type Body } from './codec.js';

/** The response to a request. */
export interface Reply {
  status: number;
  body: Body;
  /** Delay in seconds before a retry, for a reply that asks for one (HTTP `retry-after`). */
  retryAfterS?: number;
}

/** A method and path, and the handler that answers its requests. */
export interface Route {
  method: 'GET' | 'POST';
  /** Path segments; `*` matches any single segment. */
  path: string[];
  /**
   * Set if clients of this route keep many connections open. At most `ServerOptions.maxLongLived` of them stay open;
   * any other is closed after its request is answered.
   */
  isLongLived?: true;
  handle(args: string[], body: Body): Promise<Reply> | Reply;
}

/** A route with the segments that its `*` matched. */
export interface RouteMatch {
  route: Route;
  args: string[];
}

/** Finds the route of a request; if there is none, returns the error reply. */
export function routeRequest(
  routes: readonly Route[],
  method: string,
  url: string,
): RouteMatch | Reply {
  const segments = splitPath(url);
  if (!segments || !routes.some((route) => matchesPath(route.path, segments)))
    return { status: 404, body: { error: 'no such path' } };
  const match = findRoute(routes, method, segments);
  return match ?? { status: 405, body: { error: 'method not allowed here' } };
}

/** Finds the route for a method and path; returns null if there is none. */
export function findRoute(
  routes: readonly Route[],
  method: string,
  segments: readonly string[],
): RouteMatch | null {
  const route = routes.find(
    (entry) => entry.method === method && matchesPath(entry.path, segments),
  );
  if (!route) return null;
  return { route, args: segments.filter((_, index) => route.path[index] === '*') };
}

/** The inverse of `findRoute`: replaces each `*` of a route's path with an argument. */
export function fillPath(pattern: readonly string[], args: readonly string[]): string[] {
  const remaining = [...args];
  return pattern.map((segment) => (segment === '*' ? (remaining.shift() ?? '') : segment));
}

/** Decodes the body and calls the route's handler; a body that is not a CBOR map is refused. */
export function handleRequest({ route, args }: RouteMatch, bytes: Buffer): Promise<Reply> | Reply {
  const body = bytes.length === 0 ? {} : decodeMap(bytes);
  if (body === null) return { status: 400, body: { error: 'body is not a CBOR map' } };
  return route.handle(args, body);
}

function splitPath(url: string): string[] | null {
  const path = url.split('?', 1)[0] ?? '';
  try {
    return path.split('/').slice(1).map(decodeURIComponent);
  } catch {
    return null;
  }
}

function matchesPath(pattern: readonly string[], segments: readonly string[]): boolean {
  return (
    pattern.length === segments.length &&
    pattern.every((segment, index) => segment === '*' || segment === segments[index])
  );
}
