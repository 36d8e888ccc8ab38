/** Keeps the own domain's takeover lists up to date in the records. */
import type { Write } from '../store/client.js';
import type { Proposal } from '../store/commit-loop.js';
import { encodeTakeoverList, keys, type TakeoverListRecord } from '../store/records/index.js';
import { VALUE_FILL_RATIO } from '../store/transaction-limits.js';
import type { DomainContext } from './context.js';
import { layOutTakeoverLists, partitionForTakeover } from './takeover-lists.js';

/** Proposes the records that differ from the lists as they should be. */
export class TakeoverListWriter {
  private lastRunAt = -Infinity;

  constructor(private readonly context: DomainContext) {}

  propose(): Proposal | null {
    const { options, state, clock, ownDomain } = this.context;
    if (clock.now() - this.lastRunAt < options.rebalanceMs) return null;
    const writes = this.changedRecords(this.wantedRecords());
    this.lastRunAt = clock.now();
    if (writes.length === 0) return null;
    // What is beyond one transaction follows with the next run.
    writes.splice(options.maxWrites);
    return {
      transaction: {
        conditions: [ownDomain.ownershipCondition(), ...state.unchangedBefore(writes)],
        writes,
      },
      settled: (outcome) => {
        if (outcome.kind !== 'done') this.lastRunAt = -Infinity;
      },
    };
  }

  /** The lists as they should be recorded, by key. */
  private wantedRecords(): Map<string, TakeoverListRecord> {
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

  private changedRecords(wanted: ReadonlyMap<string, TakeoverListRecord>): Write[] {
    const { options, state } = this.context;
    const stored = state.takeoverLists.get(options.self) ?? new Map<string, TakeoverListRecord>();
    const writes: Write[] = [];
    for (const [key, record] of wanted)
      if (JSON.stringify(record) !== JSON.stringify(stored.get(key)))
        writes.push({ put: key, value: encodeTakeoverList(record) });
    for (const key of stored.keys()) if (!wanted.has(key)) writes.push({ delete: key });
    return writes;
  }
}
