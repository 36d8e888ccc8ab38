/** Reports of the other controllers, as far as this folder uses them. */

/** Peers' reports on jobs and machines, which may arrive before the same changes reach the replica. */
export interface PeerReports {
  /** Whether a peer has reported that the job is cancelled. */
  isCancelled(jobId: string): boolean;
  /** Whether a peer has reported that the machine has left the own domain, though the replica does not show it yet. */
  hasLeftDomain(machineId: string): boolean;
}
