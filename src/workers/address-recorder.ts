/** Records where workers can be called, which only their reports tell. */
import type { Clock } from '../clock.js';
import type { DomainManager } from '../domain/manager.js';
import type { Proposal } from '../store/commit-loop.js';
import { asBody, keys } from '../store/records.js';
import type { State } from '../store/state.js';
import type { WorkerSession } from './worker-session.js';

export interface AddressRecorderOptions {
  txnOps: number;
  /** Addresses that are not recorded yet are recorded together this often. */
  everyMs: number;
}

/** Heirs call machines at their recorded addresses; those of new machines are known only from their reports. */
export class AddressRecorder {
  private proposedAt = -Infinity;

  constructor(
    private readonly options: AddressRecorderOptions,
    private readonly state: State,
    private readonly domainManager: DomainManager,
    private readonly clock: Clock,
  ) {}

  propose(sessions: Iterable<WorkerSession>): Proposal | null {
    const now = this.clock.now();
    if (now - this.proposedAt < this.options.everyMs) return null;
    this.proposedAt = now;
    const batches = [...this.unrecorded(sessions)].slice(0, this.options.txnOps);
    if (batches.length === 0) return null;
    const guards = batches.map(([name]) => ({
      key: keys.lot(name),
      stamp: this.state.stampOf(keys.lot(name)),
    }));
    const apply = batches.flatMap(([name, addresses]) => {
      const batch = this.state.lots.get(name);
      if (!batch) return [];
      const b = { ...batch.b, ...addresses };
      return [{ put: keys.lot(name), value: asBody({ ...batch, b }) }];
    });
    return {
      txn: { guards: [this.domainManager.guard(), ...guards], apply },
      settled: (outcome) => {
        // Others write to the same batches: what was in the way is tried again soon.
        if (outcome.kind === 'conflict') this.proposedAt = now - this.options.everyMs / 2;
      },
    };
  }

  /** Batch -> machine -> address that its record lacks. */
  private unrecorded(sessions: Iterable<WorkerSession>): Map<string, Record<string, string>> {
    const batches = new Map<string, Record<string, string>>();
    for (const { id, address, term } of sessions) {
      const machine = this.state.boxes.get(id);
      if (!machine || address === '' || machine.address === address) continue;
      if (this.domainManager.termFor(id) !== term) continue;
      const batch = batches.get(machine.lot) ?? {};
      batch[id] = address;
      batches.set(machine.lot, batch);
    }
    return batches;
  }
}
