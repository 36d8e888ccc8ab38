/**
 * Failover, phase 2 of the paper: when a peer's liveness record is gone, because its lease expired or it released its
 * domain, the whole list that it recorded for this controller is transferred here in one transaction. Machines that are on
 * no live successor's list follow one renewal interval later; the first controller to claim them becomes their owner.
 */
import type { Domain } from '../model/domain.js';
import type { Proposal } from '../store/commit-loop.js';
import type { DomainContext } from './context.js';
import type { MachineTransfer } from './machine-transfer.js';

/** Proposes to take over the machines of dead owners. */
export class Takeover {
  /** Dead owner to the time when it was first seen without a liveness record, by this process's clock. */
  private readonly deadSince = new Map<string, number>();

  constructor(
    private readonly context: DomainContext,
    private readonly transfer: MachineTransfer,
  ) {}

  propose(): Proposal | null {
    const { options, state } = this.context;
    for (const [owner, domain] of state.domains) {
      if (owner === options.self) continue;
      if (state.liveness.has(owner) || domain.machines.size === 0) {
        this.deadSince.delete(owner);
        continue;
      }
      const machineIds = this.claimable(owner, domain);
      if (machineIds.length > 0)
        return this.transfer.propose({ from: owner, domain, machineIds, isBorrowed: false });
    }
    return null;
  }

  /** The machines of a dead owner that this controller may claim now. */
  private claimable(owner: string, domain: Domain): string[] {
    const areUnlistedClaimable = this.isListClaimPeriodOver(owner);
    const { own, listed } = this.listedFor(owner, domain);
    if (!areUnlistedClaimable) return own;
    const unlisted = [...domain.machines.keys()].filter((machineId) => !listed.has(machineId));
    return [...own, ...unlisted];
  }

  /** Whether the successors have had one renewal interval to claim their lists. */
  private isListClaimPeriodOver(owner: string): boolean {
    const { options, clock, wake } = this.context;
    let since = this.deadSince.get(owner);
    if (since === undefined) {
      since = clock.now();
      clock.after(options.renewMs, wake);
      this.deadSince.set(owner, since);
    }
    return clock.now() - since >= options.renewMs;
  }

  /** A dead owner's machines that are listed for this controller, and all that are listed for any live successor. */
  private listedFor(owner: string, domain: Domain): { own: string[]; listed: Set<string> } {
    const { options, state } = this.context;
    const own: string[] = [];
    const listed = new Set<string>();
    for (const record of state.takeoverLists.get(owner)?.values() ?? [])
      for (const [successor, machineIds] of Object.entries(record)) {
        if (successor === options.self)
          own.push(...machineIds.filter((machineId) => domain.machines.has(machineId)));
        if (state.liveness.has(successor))
          for (const machineId of machineIds) listed.add(machineId);
      }
    return { own, listed };
  }
}
