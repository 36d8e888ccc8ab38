/**
 * Records the messages between the hosts of a simulated cluster. The fakes are deterministic, so two versions of the code
 * that behave alike produce the same digest for the same seed.
 */
import { createHash } from 'node:crypto';
import type { Answer } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import { isMap } from '../../src/wire/codec.js';
import { Net, type Delivery, type NetObserver } from './net.js';

/** The value with the keys of all its maps sorted, because the order of fields on the wire is not significant. */
function canonical(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(canonical);
  if (!isMap(value)) return value;
  const sorted: Body = {};
  for (const key of Object.keys(value).sort()) sorted[key] = canonical(value[key]);
  return sorted;
}

/** Computes a digest of requests in delivery order, with their simulated times. */
export class ExchangeRecorder implements NetObserver {
  private readonly hash = createHash('sha256');
  /** Number of requests recorded so far. */
  requests = 0;

  onRequest({ host, atMs, call }: Delivery): void {
    const body = JSON.stringify(canonical(call.body ?? null));
    this.hash.update(`${host} ${String(atMs)} ${call.method} ${call.path} ${body}\n`);
    this.requests++;
  }

  /** The digest of the recorded requests, in hexadecimal. No request can be recorded after this call. */
  digest(): string {
    return this.hash.digest('hex');
  }
}

/**
 * Computes a digest of answers with their simulated times. Answers of the same moment may arrive in any order, so they
 * are sorted. This digest also detects a renamed field in an answer between controllers, which requests do not show.
 */
export class AnswerRecorder implements NetObserver {
  private readonly lines: string[] = [];

  /** Number of answers recorded so far. */
  get answers(): number {
    return this.lines.length;
  }

  onAnswer({ host, atMs, call }: Delivery, { status, body }: Answer): void {
    const answer = `${String(status)} ${JSON.stringify(canonical(body))}`;
    this.lines.push(`${host} ${String(atMs)} ${call.method} ${call.path} ${answer}`);
  }

  /** The digest of the recorded answers, in hexadecimal. */
  digest(): string {
    const text = [...this.lines].sort().join('\n');
    return createHash('sha256').update(text).digest('hex');
  }
}

/** Runs a function while an observer receives the messages of every simulated network; only one run at a time. */
export async function observeExchange<T>(observer: NetObserver, run: () => Promise<T>): Promise<T> {
  Net.observer = observer;
  try {
    return await run();
  } finally {
    Net.observer = null;
  }
}
