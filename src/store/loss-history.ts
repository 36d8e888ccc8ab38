/** Which machines have been seen to leave which domain, for peers that may not have heard of it. */

/** Machines remembered per domain. */
const LOSSES_KEPT = 5000;

/** Machines seen to leave a domain, with the stamp that its head had then; none that left by `since` is among them. */
interface Losses {
  since: number;
  machines: Map<string, number>;
}

export class LossHistory {
  private readonly losses = new Map<string, Losses>();

  /** Begins for a domain: what left it before its head had this stamp is not known. */
  begin(host: string, headStamp: number): void {
    if (!this.losses.has(host)) this.losses.set(host, { since: headStamp, machines: new Map() });
  }

  /** Whoever takes a machine away puts the head in the same transaction, so its stamp is that of the loss or newer. */
  note(host: string, machine: string, headStamp: number): void {
    const losses = this.losses.get(host);
    if (!losses) return;
    losses.machines.delete(machine);
    losses.machines.set(machine, headStamp);
    if (losses.machines.size <= LOSSES_KEPT) return;
    for (const [oldest, at] of losses.machines) {
      losses.machines.delete(oldest);
      losses.since = Math.max(losses.since, at);
      break;
    }
  }

  /**
   * Machines that have left a domain since its head had this stamp; null if that is not known from so far
   * back. The holder asks with the stamp it has, so what it knows by now need not be remembered.
   */
  since(host: string, headStamp: number): ReadonlyMap<string, number> | null {
    const losses = this.losses.get(host);
    if (!losses) return new Map<string, number>();
    if (losses.since > headStamp) return null;
    losses.since = headStamp;
    for (const [machine, at] of losses.machines)
      if (at <= headStamp) losses.machines.delete(machine);
    return losses.machines;
  }
}
