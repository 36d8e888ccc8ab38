/** The other controllers: asked over and over what they know, and now and then to serve a user. */
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import {
  decodeAcknowledgement,
  decodeRelayedReply,
  encodeAcknowledgementRequest,
  encodeRelayedRequest,
  PEER_QUESTIONS,
} from '../protocol/peers.js';
import { NoAnswer } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import type { PeerClient } from './peer-connection.js';
import { PeerKnowledge, type LocalView } from './peer-knowledge.js';

/** Times by which the peers are asked. */
export interface PeerOptions {
  /** Name of this controller. */
  self: string;
  /** Time between two questions to a peer, in milliseconds. */
  pollMs: number;
  /** What a peer has to answer within, in milliseconds. */
  timeoutMs: number;
  /** A peer whose replica is older than this, in milliseconds, is not asked to serve a user. */
  maxReplicaAgeMs: number;
}

/** What the peers are asked with, and whom their answers concern. */
export interface PeerDependencies {
  /** Peer to the client that asks it. */
  clients: ReadonlyMap<string, PeerClient>;
  clock: Clock;
  log: Log;
  local: LocalView;
  /** Called with jobs that a peer says are cancelled, if the own replica does not know it yet. */
  onCancelled: (jobIds: readonly string[]) => void;
}

/** Asks the peers, and answers from what they have said. */
export class Peers {
  private readonly knowledge: PeerKnowledge;
  private stopped = false;

  constructor(
    private readonly options: PeerOptions,
    private readonly dependencies: PeerDependencies,
  ) {
    this.knowledge = new PeerKnowledge(dependencies.local);
  }

  /** Asks all peers until `stop`. */
  async run(): Promise<void> {
    const { clients } = this.dependencies;
    await Promise.all([...clients].map(([peer, client]) => this.poll(peer, client)));
  }

  stop(): void {
    this.stopped = true;
  }

  /** Whether a peer says that the job is cancelled; the own replica may not know it yet. */
  isCancelled(jobId: string): boolean {
    return this.knowledge.isCancelled(jobId);
  }

  /** Whether a peer says that the machine has left the own domain, though the replica does not yet. */
  hasLeftDomain(machineId: string): boolean {
    return this.knowledge.hasLeftDomain(machineId);
  }

  /**
   * Latest time up to which every cancellation that a user was told, and every claim of an own machine, is known here,
   * by the replica's freshness or by the peers' acknowledgements. Only controllers confirm and claim, each of them only
   * what is in its own replica, and each hands over what it knows: the cancelled jobs, which are stopped without
   * waiting for the store, and the machines that it has seen leave this domain, for which this process then answers
   * no more. A peer that has restarted has read all that its predecessor committed, or else has nothing to say. A
   * peer that says nothing keeps the answer at the replica's own freshness.
   */
  acknowledgedUntil(freshAt: number): number {
    return this.knowledge.acknowledgedUntil(this.dependencies.clients.keys(), freshAt);
  }

  /** Machines that the peers have cordoned. */
  cordonedMachines(): ReadonlySet<string> {
    return this.knowledge.cordonedMachines;
  }

  /** Has a peer that can ask the store serve a user's request; null when there is none. */
  async serve(
    method: string,
    path: string[],
    body: Body,
    timeoutMs: number,
  ): Promise<Reply | null> {
    const { clients, clock } = this.dependencies;
    const peer = this.knowledge.freshestPeer(clock.now(), this.options.maxReplicaAgeMs);
    const client = clients.get(peer ?? '');
    if (!client) return null;
    try {
      const request = encodeRelayedRequest({ method, path, body });
      return decodeRelayedReply(await client(PEER_QUESTIONS.userRequest, request, timeoutMs));
    } catch (error) {
      if (error instanceof NoAnswer) return null;
      throw error;
    }
  }

  private async poll(peer: string, client: PeerClient): Promise<void> {
    const { clock, log } = this.dependencies;
    while (!this.stopped) {
      const askedAt = clock.now();
      try {
        const answer = await client(
          PEER_QUESTIONS.acknowledge,
          this.acknowledgementRequest(),
          this.options.timeoutMs,
        );
        this.record(peer, answer, askedAt);
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        log.debug({ peer, err: error }, 'peer not answering');
      }
      await sleep(clock, this.options.pollMs);
    }
  }

  private acknowledgementRequest(): Body {
    return encodeAcknowledgementRequest({
      controller: this.options.self,
      headRevision: this.dependencies.local.ownHeadRevision(),
    });
  }

  private record(peer: string, answer: Body, askedAt: number): void {
    const acknowledgement = decodeAcknowledgement(answer);
    if (!acknowledgement) return;
    const news = this.knowledge.record(peer, { ...acknowledgement, askedAt });
    if (news.length > 0) this.dependencies.onCancelled(news);
  }
}
