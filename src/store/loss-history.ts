/** Which machines have been seen to leave which domain, for peers that may not have heard of it. */

/** Machines remembered per domain; beyond that the oldest are forgotten. */
const MAX_LOSSES_PER_DOMAIN = 5000;

/** Machines that have left a domain, as far as this is known. */
interface Losses {
  /** Revision of the domain's head after which every loss is known; none of those known is older. */
  completeSince: number;
  /** Machine to the revision that the domain's head had when it left. */
  machines: Map<string, number>;
}

/** Remembers losses by the revision of the domain's head, which whoever takes a machine away changes as well. */
export class LossHistory {
  private readonly lossesByHost = new Map<string, Losses>();

  /** Starts the history of a domain: what left it before its head had this revision is not known. */
  begin(host: string, headRevision: number): void {
    if (this.lossesByHost.has(host)) return;
    this.lossesByHost.set(host, { completeSince: headRevision, machines: new Map() });
  }

  /**
   * Records that a machine has left a domain. The transaction that took it away wrote the head too, so the head's
   * revision is that of the loss or a later one.
   */
  note(host: string, machineId: string, headRevision: number): void {
    const losses = this.lossesByHost.get(host);
    if (!losses) return;
    losses.machines.delete(machineId);
    losses.machines.set(machineId, headRevision);
    if (losses.machines.size > MAX_LOSSES_PER_DOMAIN) forgetOldest(losses);
  }

  /**
   * Machines that have left a domain since its head had this revision; null if the history does not go back so far.
   * The owner asks with the revision that it has itself, so older losses need not be remembered any longer.
   */
  since(host: string, headRevision: number): ReadonlyMap<string, number> | null {
    const losses = this.lossesByHost.get(host);
    if (!losses) return new Map<string, number>();
    if (losses.completeSince > headRevision) return null;
    losses.completeSince = headRevision;
    for (const [machineId, lostAt] of losses.machines)
      if (lostAt <= headRevision) losses.machines.delete(machineId);
    return losses.machines;
  }
}

function forgetOldest(losses: Losses): void {
  for (const [machineId, lostAt] of losses.machines) {
    losses.machines.delete(machineId);
    losses.completeSince = Math.max(losses.completeSince, lostAt);
    return;
  }
}
