/** The peers' acknowledgements, and the state derived from them. */
import type { PeerAcknowledgement } from '../protocol/peers.js';

/** The parts of the own replica that are compared with the peers' acknowledgements. */
export interface LocalReplicaView {
  /** Revision of the head record of the own domain. */
  ownHeadRevision(): number;
  /** Whether the replica has the job without a cancellation. */
  lacksCancellation(jobId: string): boolean;
}

/** An acknowledgement with the time at which it was requested. */
export interface ReceivedAcknowledgement extends PeerAcknowledgement {
  /** When the request was sent, by this process's clock: the peer's state is of that time or later. */
  askedAt: number;
}

/** Keeps the last acknowledgement of each peer, with the cancellations and lost machines reported so far. */
export class PeerAcknowledgements {
  private readonly acknowledgements = new Map<string, ReceivedAcknowledgement>();
  /**
   * Jobs that a peer has reported as cancelled. They are kept when the peer restarts and no longer reports them: it may
   * have confirmed the cancellation to a user before. Removed once the own replica shows the cancellation.
   */
  private readonly cancelledJobs = new Set<string>();
  /** Machines that a peer has seen leave the own domain, with the revision of the domain's head at that time. */
  private readonly lostMachines = new Map<string, number>();
  private cordoned: ReadonlySet<string> = new Set();

  constructor(private readonly local: LocalReplicaView) {}

  /** Records a peer's acknowledgement; returns the jobs that are newly reported as cancelled. */
  record(peer: string, acknowledgement: ReceivedAcknowledgement): string[] {
    this.acknowledgements.set(peer, acknowledgement);
    this.cordoned = new Set(
      [...this.acknowledgements.values()].flatMap(({ cordonedMachines }) => cordonedMachines),
    );
    this.recordLostMachines(acknowledgement);
    return this.recordCancellations(acknowledgement);
  }

  /** Whether a peer reports that the job is cancelled; the own replica may not show it yet. */
  isCancelled(jobId: string): boolean {
    return this.cancelledJobs.has(jobId);
  }

  /** Whether a peer reports that the machine has left the own domain, though the own replica does not show it yet. */
  hasLeftDomain(machineId: string): boolean {
    return (this.lostMachines.get(machineId) ?? 0) > this.local.ownHeadRevision();
  }

  /** Machines that the peers report as cordoned. */
  get cordonedMachines(): ReadonlySet<string> {
    return this.cordoned;
  }

  /**
   * Latest time up to which all of these peers have reported their cancellations and lost machines. It is
   * `replicaFreshAt`, the time at which the own replica was last confirmed current, if that is later or if the
   * acknowledgement of any of them is missing or incomplete.
   */
  acknowledgedUntil(peers: Iterable<string>, replicaFreshAt: number): number {
    let until = Infinity;
    for (const peer of peers) {
      const acknowledgement = this.acknowledgements.get(peer);
      if (!acknowledgement?.lostMachines) return replicaFreshAt;
      until = Math.min(until, acknowledgement.askedAt);
    }
    return Number.isFinite(until) ? Math.max(replicaFreshAt, until) : replicaFreshAt;
  }

  /** The peer with the freshest replica, if that replica is younger than `maxReplicaAgeMs` at the time `now`. */
  freshestPeer(now: number, maxReplicaAgeMs: number): string | undefined {
    const [freshest] = [...this.acknowledgements]
      .filter(([, { askedAt, replicaAgeMs }]) => now - askedAt + replicaAgeMs < maxReplicaAgeMs)
      .sort((a, b) => a[1].replicaAgeMs - b[1].replicaAgeMs);
    return freshest?.[0];
  }

  private recordLostMachines({ lostMachines }: ReceivedAcknowledgement): void {
    for (const [machineId, headRevision] of lostMachines ?? [])
      this.lostMachines.set(machineId, headRevision);
    for (const [machineId, headRevision] of this.lostMachines)
      if (headRevision <= this.local.ownHeadRevision()) this.lostMachines.delete(machineId);
  }

  private recordCancellations({ cancelledJobs }: ReceivedAcknowledgement): string[] {
    for (const jobId of this.cancelledJobs)
      if (!this.local.lacksCancellation(jobId)) this.cancelledJobs.delete(jobId);
    const newlyCancelled = cancelledJobs.filter(
      (jobId) => !this.cancelledJobs.has(jobId) && this.local.lacksCancellation(jobId),
    );
    for (const jobId of newlyCancelled) this.cancelledJobs.add(jobId);
    return newlyCancelled;
  }
}
