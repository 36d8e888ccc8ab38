/** The table of routes that a server answers, and how a request finds its own. */
import { decodeMap, type Body } from './codec.js';

/** What a request is answered. */
export interface Reply {
  status: number;
  body: Body;
  /** When to come back, in seconds, for a reply that asks for a retry. */
  retryAfterS?: number;
}

/** One kind of request, and who answers it. */
export interface Route {
  method: 'GET' | 'POST';
  /** Path segments; `*` takes any one segment. */
  path: string[];
  /**
   * Its connections are many and lasting: beyond `ServerOptions.maxLongLived` of them, each is closed once it is
   * answered.
   */
  isLongLived?: true;
  handle(args: string[], body: Body): Promise<Reply> | Reply;
}

/** A route with what its `*` stand for. */
export interface RouteMatch {
  route: Route;
  args: string[];
}

/** The route that a request is for, or the reply to one that is for none. */
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

/** The route for a path; null if there is none. */
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

/** The inverse: a route's path with its `*` filled in. */
export function fillPath(pattern: readonly string[], args: readonly string[]): string[] {
  const remaining = [...args];
  return pattern.map((segment) => (segment === '*' ? (remaining.shift() ?? '') : segment));
}

/** Has a route answer a request with that body; a body that is no map is refused. */
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
