/**
 * Records what the hosts of a world send one another. The fakes are deterministic, so two versions of the code that
 * behave alike have the same digest of a day.
 */
import { createHash } from 'node:crypto';
import type { Body } from '../../src/wire/codec.js';
import { isMap } from '../../src/wire/codec.js';
import { Net, type Delivery, type NetObserver } from './net.js';

/** The value with the keys of all its maps in order: the order of fields on the wire means nothing. */
function canonical(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(canonical);
  if (!isMap(value)) return value;
  const sorted: Body = {};
  for (const key of Object.keys(value).sort()) sorted[key] = canonical(value[key]);
  return sorted;
}

/** A digest over requests in the order in which they are delivered, with their simulated times. */
export class ExchangeRecorder implements NetObserver {
  private readonly hash = createHash('sha256');
  /** Requests recorded so far. */
  requests = 0;

  onRequest({ host, atMs, call }: Delivery): void {
    const body = JSON.stringify(canonical(call.body ?? null));
    this.hash.update(`${host} ${String(atMs)} ${call.method} ${call.path} ${body}\n`);
    this.requests++;
  }

  /** The digest of what was recorded, in hexadecimal; nothing can be recorded after it. */
  digest(): string {
    return this.hash.digest('hex');
  }
}

/** Runs something while an observer looks on at every net; one run at a time. */
export async function observeExchange<T>(observer: NetObserver, run: () => Promise<T>): Promise<T> {
  Net.observer = observer;
  try {
    return await run();
  } finally {
    Net.observer = null;
  }
}
