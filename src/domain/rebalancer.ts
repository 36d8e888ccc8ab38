/** Takes machines back from the largest domain after a takeover, idle ones first. */
import type { Domain } from '../model/domain.js';
import type { Proposal } from '../store/commit-loop.js';
import { compareNames } from '../util/order.js';
import type { DomainContext } from './context.js';
import type { Integrity } from './integrity.js';
import type { MachineTransfer } from './machine-transfer.js';

/** A domain takes machines back only if it has at most this share of the mean number of machines. */
const MIN_SHARE_OF_MEAN = 0.75;

interface LiveDomain {
  owner: string;
  domain: Domain;
}

/** Proposes to borrow machines while the own domain is much smaller than the mean of all live ones. */
export class Rebalancer {
  private lastRunAt = -Infinity;

  constructor(
    private readonly context: DomainContext,
    private readonly integrity: Integrity,
    private readonly transfer: MachineTransfer,
  ) {}

  propose(): Proposal | null {
    const { options, clock, ownDomain } = this.context;
    const now = clock.now();
    if (now - this.lastRunAt < options.rebalanceMs) return null;
    this.lastRunAt = now;
    const live = this.liveDomains();
    const [largest] = live;
    const ownSize = ownDomain.record.machines.size;
    const meanSize = meanMachines(live);
    if (!largest || largest.owner === options.self) return null;
    if (ownSize > meanSize * MIN_SHARE_OF_MEAN || !this.integrity.mayLend(largest.owner))
      return null;
    const { owner, domain } = largest;
    const count = Math.floor(Math.min(meanSize - ownSize, domain.machines.size - meanSize));
    if (count < 1) return null;
    const machineIds = this.idleFirst(domain).slice(0, count);
    return this.transfer.propose({ from: owner, domain, machineIds, isBorrowed: true });
  }

  /** The domains of live controllers, the largest first. */
  private liveDomains(): LiveDomain[] {
    const { state } = this.context;
    return [...state.domains]
      .filter(([owner]) => state.liveness.has(owner))
      .map(([owner, domain]) => ({ owner, domain }))
      .sort(
        (a, b) => b.domain.machines.size - a.domain.machines.size || compareNames(a.owner, b.owner),
      );
  }

  private idleFirst(domain: Domain): string[] {
    const { jobsByMachine } = this.context.state;
    return [...domain.machines.keys()].sort(
      (a, b) => Number(jobsByMachine.has(a)) - Number(jobsByMachine.has(b)) || compareNames(a, b),
    );
  }
}

function meanMachines(live: readonly LiveDomain[]): number {
  const total = live.reduce((sum, { domain }) => sum + domain.machines.size, 0);
  return total / (live.length || 1);
}
