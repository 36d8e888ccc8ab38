/** The client side of the other controllers: polls their acknowledgements, and relays users' requests to them. */
import { sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import {
  decodeAcknowledgement,
  decodeRelayedReply,
  encodeAcknowledgementRequest,
  encodeRelayedRequest,
  PEER_REQUEST_TYPES,
} from '../protocol/peers.js';
import { NoAnswer } from '../wire/client.js';
import type { Body } from '../wire/codec.js';
import type { Reply } from '../wire/server.js';
import type { PeerClient } from './peer-connection.js';
import { PeerAcknowledgements, type LocalReplicaView } from './peer-acknowledgements.js';

/** This controller's name, and the timing of requests to peers. */
export interface PeerOptions {
  /** Name of this controller. */
  self: string;
  /** Pause between two requests for a peer's acknowledgement, in milliseconds. */
  pollMs: number;
  /** Timeout of a request for an acknowledgement, in milliseconds. */
  timeoutMs: number;
  /** Users' requests are not relayed to a peer whose replica is older than this, in milliseconds. */
  maxReplicaAgeMs: number;
}

/** Dependencies of a `Peers`. */
export interface PeerDependencies {
  /** Clients by peer name. */
  clients: ReadonlyMap<string, PeerClient>;
  clock: Clock;
  log: Log;
  local: LocalReplicaView;
  /** Called with jobs that a peer reports as cancelled, if the own replica does not show it yet. */
  onCancelled: (jobIds: readonly string[]) => void;
}

/** Polls the peers, and answers queries from their acknowledgements. */
export class Peers {
  private readonly acknowledgements: PeerAcknowledgements;
  private stopped = false;

  constructor(
    private readonly options: PeerOptions,
    private readonly dependencies: PeerDependencies,
  ) {
    this.acknowledgements = new PeerAcknowledgements(dependencies.local);
  }

  /** Polls all peers until `stop`. */
  async run(): Promise<void> {
    const { clients } = this.dependencies;
    await Promise.all([...clients].map(([peer, client]) => this.poll(peer, client)));
  }

  stop(): void {
    this.stopped = true;
  }

  /** Whether a peer reports that the job is cancelled; the own replica may not show it yet. */
  isCancelled(jobId: string): boolean {
    return this.acknowledgements.isCancelled(jobId);
  }

  /** Whether a peer reports that the machine has left the own domain, though the own replica does not show it yet. */
  hasLeftDomain(machineId: string): boolean {
    return this.acknowledgements.hasLeftDomain(machineId);
  }

  /**
   * Latest time up to which this controller has every cancellation that was confirmed to a user and every claim of a
   * machine of its domain. This holds up to `replicaFreshAt`, the time at which the own replica was last confirmed
   * current, and may hold longer by the peers' acknowledgements:
   * - Only controllers confirm cancellations and claim machines, and each acts only on its own replica.
   * - Each reports the cancelled jobs, which this controller stops without waiting for the store, and the machines that
   *   it has seen leave this domain, whose workers' leases this process then no longer renews.
   * - A restarted peer has read everything that its former process committed; until it has, its acknowledgement is
   *   incomplete.
   * While an acknowledgement of any peer is missing or incomplete, the result is `replicaFreshAt`.
   */
  acknowledgedUntil(replicaFreshAt: number): number {
    return this.acknowledgements.acknowledgedUntil(
      this.dependencies.clients.keys(),
      replicaFreshAt,
    );
  }

  /** Machines that the peers report as cordoned. */
  cordonedMachines(): ReadonlySet<string> {
    return this.acknowledgements.cordonedMachines;
  }

  /** Relays a user's request to the peer with the freshest replica; null if no peer is fresh enough or none answers. */
  async relayUserRequest(
    method: string,
    path: string[],
    body: Body,
    timeoutMs: number,
  ): Promise<Reply | null> {
    const { clients, clock } = this.dependencies;
    const peer = this.acknowledgements.freshestPeer(clock.now(), this.options.maxReplicaAgeMs);
    const client = clients.get(peer ?? '');
    if (!client) return null;
    try {
      const request = encodeRelayedRequest({ method, path, body });
      return decodeRelayedReply(await client(PEER_REQUEST_TYPES.userRequest, request, timeoutMs));
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
          PEER_REQUEST_TYPES.acknowledge,
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
    const newlyCancelled = this.acknowledgements.record(peer, { ...acknowledgement, askedAt });
    if (newlyCancelled.length > 0) this.dependencies.onCancelled(newlyCancelled);
  }
}
