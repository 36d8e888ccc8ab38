/** History of the machines that left each domain, for peers whose replicas may not have received the change yet. */

/** Maximum number of machines kept per domain; beyond that the oldest are dropped. */
const MAX_LOSSES_PER_DOMAIN = 5000;

/** Machines that are known to have left a domain. */
interface Losses {
  /** Revision of the domain's head after which the history is complete. No recorded loss is older. */
  completeSince: number;
  /** Revision of the domain's head when the machine left, by machine id. */
  machines: Map<string, number>;
}

/**
 * Records losses by the revision of the domain's head: every transaction that takes a machine away from a domain also
 * writes the domain's head.
 */
export class LossHistory {
  private readonly lossesByHost = new Map<string, Losses>();

  /** Starts the history of a domain. Machines that left before its head had this revision are unknown. */
  start(host: string, headRevision: number): void {
    if (this.lossesByHost.has(host)) return;
    this.lossesByHost.set(host, { completeSince: headRevision, machines: new Map() });
  }

  /**
   * Records that a machine has left a domain. The transaction that took the machine away also wrote the head, so the
   * head's revision is that of the loss or a later one.
   */
  record(host: string, machineId: string, headRevision: number): void {
    const losses = this.lossesByHost.get(host);
    if (!losses) return;
    losses.machines.delete(machineId);
    losses.machines.set(machineId, headRevision);
    if (losses.machines.size > MAX_LOSSES_PER_DOMAIN) dropOldest(losses);
  }

  /**
   * Machines that have left a domain since its head had this revision; null if the history does not go back that far.
   * The owner passes the revision in its own replica, so losses up to that revision are dropped here.
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

function dropOldest(losses: Losses): void {
  for (const [machineId, lostAt] of losses.machines) {
    losses.machines.delete(machineId);
    losses.completeSince = Math.max(losses.completeSince, lostAt);
    return;
  }
}
