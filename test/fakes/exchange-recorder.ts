/**
 * Records what the hosts of a world send one another. The fakes are deterministic, so two versions of the code that
 * behave alike have the same digest of a day.
 */
import { createHash } from 'node:crypto';
import type { Answer } from '../../src/wire/client.js';
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

/**
 * A digest over answers with their simulated times. Answers of the same moment may be given in any order, so they are
 * sorted: requests alone would not show a field that one controller answers another under a new name.
 */
export class AnswerRecorder implements NetObserver {
  private readonly lines: string[] = [];

  /** Answers recorded so far. */
  get answers(): number {
    return this.lines.length;
  }

  onAnswer({ host, atMs, call }: Delivery, { status, body }: Answer): void {
    const answer = `${String(status)} ${JSON.stringify(canonical(body))}`;
    this.lines.push(`${host} ${String(atMs)} ${call.method} ${call.path} ${answer}`);
  }

  /** The digest of what was recorded, in hexadecimal. */
  digest(): string {
    const text = [...this.lines].sort().join('\n');
    return createHash('sha256').update(text).digest('hex');
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
