import * as v from 'valibot';
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { isMap, type Body } from '../wire/codec.js';
import { NoAnswer } from '../wire/client.js';
import type { Reply } from '../wire/server.js';
import type { PeerRequest } from './link.js';

export interface PeerOptions {
  /** Time between two questions to a peer. */
  everyMs: number;
  timeoutMs: number;
  /** A peer whose replica is older than this is not asked to serve a user. */
  staleMs: number;
}

/** What a controller says of itself when asked. */
const PeerAcknowledgement = v.object({
  /** Jobs that it knows to be cancelled and of which something may still be on a machine. */
  cancelled: v.array(v.string()),
  /**
   * Machines that have left the asker's domain since its head had the stamp that it asked with, and the
   * stamp of the head by then; null when this process cannot say, for one that it has read no store yet.
   */
  lost: v.nullable(v.record(v.string(), v.number())),
  /** How old its knowledge of the store is, in milliseconds. */
  ageMs: v.number(),
  /** Its machines on which nothing may be placed: a hint, nothing is proved by it. */
  cordoned: v.array(v.string()),
});

export type PeerAcknowledgement = v.InferOutput<typeof PeerAcknowledgement>;

interface ReceivedAcknowledgement extends PeerAcknowledgement {
  /** When the question left, on this process's clock: what was said held no earlier than that. */
  at: number;
}

/** What the peers say, asked over and over. */
export class Peers {
  private readonly heard = new Map<string, ReceivedAcknowledgement>();
  /**
   * Jobs that a peer has named as cancelled. They are kept when the peer restarts and has forgotten them: it
   * may have told its users before. Dropped once the own replica says the same.
   */
  private readonly cancelledByPeers = new Set<string>();
  /** Machines that a peer has seen leave the own domain, with the head's stamp by then. */
  private readonly lost = new Map<string, number>();
  private cordonedByPeers: ReadonlySet<string> = new Set();
  private stopped = false;

  constructor(
    private readonly self: string,
    private readonly requests: ReadonlyMap<string, PeerRequest>,
    private readonly options: PeerOptions,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Stamp of the own domain's head in the replica. */
    private readonly headStamp: () => number,
    /** A job that a peer says is cancelled; whether the own replica lacks that. */
    private readonly isNews: (uid: string) => boolean,
    private readonly onCalledOff: (uids: string[]) => void,
  ) {}

  async run(): Promise<void> {
    await Promise.all([...this.requests].map(([host, ask]) => this.follow(host, ask)));
  }

  stop(): void {
    this.stopped = true;
  }

  private async follow(host: string, ask: PeerRequest): Promise<void> {
    while (!this.stopped) {
      const at = this.clock.now();
      try {
        const question = { host: this.self, head: this.headStamp() };
        const said = v.safeParse(
          PeerAcknowledgement,
          await ask('testify', question, this.options.timeoutMs),
        );
        if (said.success) this.take(host, { ...said.output, at });
        this.cordonedByPeers = new Set([...this.heard.values()].flatMap((one) => one.cordoned));
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        this.log.debug({ peer: host, err: error.message }, 'peer does not answer');
      }
      await sleep(this.clock, this.options.everyMs);
    }
  }

  private take(host: string, heard: ReceivedAcknowledgement): void {
    this.heard.set(host, heard);
    for (const [box, stamp] of Object.entries(heard.lost ?? {})) this.lost.set(box, stamp);
    for (const [box, stamp] of this.lost) if (stamp <= this.headStamp()) this.lost.delete(box);
    for (const uid of this.cancelledByPeers)
      if (!this.isNews(uid)) this.cancelledByPeers.delete(uid);
    const fresh = heard.cancelled.filter(
      (uid) => !this.cancelledByPeers.has(uid) && this.isNews(uid),
    );
    for (const uid of fresh) this.cancelledByPeers.add(uid);
    if (fresh.length > 0) this.onCalledOff(fresh);
  }

  /** Whether a peer says that the job is cancelled; the own replica may not have heard of it yet. */
  isCancelled(uid: string): boolean {
    return this.cancelledByPeers.has(uid);
  }

  /** Whether a peer says that the machine has left the own domain, though the replica does not yet. */
  hasLeftDomain(box: string): boolean {
    return (this.lost.get(box) ?? 0) > this.headStamp();
  }

  /**
   * Latest time up to which every cancellation that a user was told, and every claim of an own machine, is
   * known here, by the replica's freshness or by the peers' word. Only controllers confirm and claim, each
   * of them only what is in its own replica, and each hands over what it knows: the cancelled jobs, which
   * are halted without waiting for the store, and the machines that it has seen leave this domain, for which
   * this process then answers no more. A peer that has restarted has read all that its predecessor
   * committed, or else has nothing to say. A peer that says nothing keeps the answer at the replica's own
   * freshness.
   */
  acknowledgedUntil(freshAt: number): number {
    let until = Infinity;
    for (const host of this.requests.keys()) {
      const heard = this.heard.get(host);
      if (!heard || heard.lost === null) return freshAt;
      until = Math.min(until, heard.at);
    }
    return Number.isFinite(until) ? Math.max(freshAt, until) : freshAt;
  }

  /** Machines that the peers hold back. */
  held(): ReadonlySet<string> {
    return this.cordonedByPeers;
  }

  /** Has a peer that can ask the store serve a user's request; null when there is none. */
  async serve(
    method: string,
    path: string[],
    body: Body,
    timeoutMs: number,
  ): Promise<Reply | null> {
    const now = this.clock.now();
    const able = [...this.heard]
      .filter(([, heard]) => now - heard.at + heard.ageMs < this.options.staleMs)
      .sort((a, b) => a[1].ageMs - b[1].ageMs);
    const ask = this.requests.get(able[0]?.[0] ?? '');
    if (!ask) return null;
    try {
      const answer = await ask('user', { method, path, body }, timeoutMs);
      const { status, body: told, retryAfterS } = answer;
      if (typeof status !== 'number' || !isMap(told)) return null;
      return {
        status,
        body: told,
        ...(typeof retryAfterS === 'number' ? { retryAfterS } : {}),
      };
    } catch (error) {
      if (error instanceof NoAnswer) return null;
      throw error;
    }
  }
}
