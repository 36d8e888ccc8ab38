/** Keeps the recorded takeover lists of the own domain up to date. */
import type { Write } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import { encodeTakeoverList, keys, type TakeoverListRecord } from '../store/records/index.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';
import type { DomainContext } from './context.js';
import { layOutTakeoverLists, partitionForTakeover } from './takeover-lists.js';

/** Proposes writes of the records that differ from the desired takeover lists. */
export class TakeoverListWriter {
  private lastRunAt = -Infinity;

  constructor(private readonly context: DomainContext) {}

  propose(): Proposal | null {
    const { options, state, clock, ownDomain } = this.context;
    if (clock.now() - this.lastRunAt < options.rebalanceMs) return null;
    const writes = this.changedRecords(this.desiredRecords());
    this.lastRunAt = clock.now();
    if (writes.length === 0) return null;
    // Writes that do not fit into this transaction follow in the next run.
    writes.splice(options.maxWrites);
    return {
      transaction: {
        conditions: [ownDomain.ownershipCondition(), ...state.unchangedConditions(writes)],
        writes,
      },
      onSettled: (outcome) => {
        if (outcome.kind !== 'done') this.lastRunAt = -Infinity;
      },
    };
  }

  /** The desired records of the takeover lists, by key. */
  private desiredRecords(): Map<string, TakeoverListRecord> {
    const { options, state, ownDomain } = this.context;
    const { self, peers, maxValueBytes } = options;
    const machines = [...ownDomain.record.machines.keys()].map((machineId) => ({
      machineId,
      zone: state.machines.get(machineId)?.zone ?? '',
    }));
    const livePeers = peers.filter((peer) => state.liveness.has(peer));
    const lists = partitionForTakeover(machines, livePeers.length > 0 ? livePeers : peers);
    const records = layOutTakeoverLists(lists, maxValueBytes * VALUE_FILL_RATIO);
    return new Map(records.map((record, part) => [keys.takeoverList(self, part), record]));
  }

  private changedRecords(desired: ReadonlyMap<string, TakeoverListRecord>): Write[] {
    const { options, state } = this.context;
    const stored = state.takeoverLists.get(options.self) ?? new Map<string, TakeoverListRecord>();
    const writes: Write[] = [];
    for (const [key, record] of desired)
      if (JSON.stringify(record) !== JSON.stringify(stored.get(key)))
        writes.push({ put: key, value: encodeTakeoverList(record) });
    for (const key of stored.keys()) if (!desired.has(key)) writes.push({ delete: key });
    return writes;
  }
}
