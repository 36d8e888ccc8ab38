/** What the peers have acknowledged so far. */
import type { PeerAcknowledgement } from '../protocol/peers.js';

/** The own replica, as far as it is compared with what peers say. */
export interface LocalView {
  /** Revision of the head of the own domain. */
  ownHeadRevision(): number;
  /** Whether the replica has the job and does not know that it is cancelled. */
  lacksCancellation(jobId: string): boolean;
}

/** An acknowledgement with the time for which it holds. */
export interface ReceivedAcknowledgement extends PeerAcknowledgement {
  /** When the question left, by this process's clock: what was said held no earlier than that. */
  askedAt: number;
}

/** Keeps the last acknowledgement of each peer, and what follows from all that they have said. */
export class PeerKnowledge {
  private readonly acknowledgements = new Map<string, ReceivedAcknowledgement>();
  /**
   * Jobs that a peer has named as cancelled. They are kept when the peer restarts and has forgotten them: it may have
   * told its users before. Dropped once the own replica says the same.
   */
  private readonly cancelledJobs = new Set<string>();
  /** Machines that a peer has seen leave the own domain, with the revision of the domain's head by then. */
  private readonly lostMachines = new Map<string, number>();
  private cordoned: ReadonlySet<string> = new Set();

  constructor(private readonly local: LocalView) {}

  /** Takes up what a peer says; returns the jobs whose cancellation is news. */
  record(peer: string, acknowledgement: ReceivedAcknowledgement): string[] {
    this.acknowledgements.set(peer, acknowledgement);
    this.cordoned = new Set(
      [...this.acknowledgements.values()].flatMap(({ cordonedMachines }) => cordonedMachines),
    );
    this.recordLostMachines(acknowledgement);
    return this.recordCancellations(acknowledgement);
  }

  /** Whether a peer says that the job is cancelled; the own replica may not know it yet. */
  isCancelled(jobId: string): boolean {
    return this.cancelledJobs.has(jobId);
  }

  /** Whether a peer says that the machine has left the own domain, though the replica does not yet. */
  hasLeftDomain(machineId: string): boolean {
    return (this.lostMachines.get(machineId) ?? 0) > this.local.ownHeadRevision();
  }

  /** Machines that the peers have cordoned. */
  get cordonedMachines(): ReadonlySet<string> {
    return this.cordoned;
  }

  /**
   * Latest time by which all of these peers have said all that they know, or `freshAt` if that is later or any of them
   * has not.
   */
  acknowledgedUntil(peers: Iterable<string>, freshAt: number): number {
    let until = Infinity;
    for (const peer of peers) {
      const acknowledgement = this.acknowledgements.get(peer);
      if (!acknowledgement?.lostMachines) return freshAt;
      until = Math.min(until, acknowledgement.askedAt);
    }
    return Number.isFinite(until) ? Math.max(freshAt, until) : freshAt;
  }

  /** The peer with the freshest replica, if that is younger than `maxReplicaAgeMs` at the time `now`. */
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
    const news = cancelledJobs.filter(
      (jobId) => !this.cancelledJobs.has(jobId) && this.local.lacksCancellation(jobId),
    );
    for (const jobId of news) this.cancelledJobs.add(jobId);
    return news;
  }
}
