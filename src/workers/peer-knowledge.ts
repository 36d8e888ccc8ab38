/** What the other controllers have told this one. */

/** What peers say of jobs and machines before the replica does. */
export interface PeerKnowledge {
  isCancelled(jobId: string): boolean;
  /** Whether a peer has claimed a machine of the own domain. */
  hasLeftDomain(machineId: string): boolean;
}
