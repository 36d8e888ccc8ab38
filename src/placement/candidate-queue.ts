/** Chooses the machines for the tasks of a gang, one after the other, in a time that hardly grows with the machines. */
import TinyQueue from 'tinyqueue';
import { fits, reserveResources } from '../model/fit.js';
import type { JobSpec } from '../model/job.js';
import type { MachineRoom } from '../model/resources.js';
import { getOrAdd } from '../util/maps.js';
import type { CandidateOrder } from './candidate-order.js';
import type { Candidate } from './types.js';
import { addTasks, maxTasksPerZone } from './zones.js';

/** A candidate with its sort key among those of its zone, to which the number of tasks in the zone does not matter. */
interface Entry {
  candidate: Candidate;
  key: number[];
}

/**
 * Candidates for one more task each, the best first. There is a priority queue for each zone, because placing a task
 * changes the order of the candidate and that of its zone only.
 */
export class CandidateQueue {
  private readonly queues = new Map<string, TinyQueue<Entry>>();

  constructor(
    private readonly job: { spec: JobSpec; size: Readonly<MachineRoom> },
    candidates: readonly Candidate[],
    private readonly tasksByZone: Map<string, number>,
    private readonly order: CandidateOrder,
  ) {
    const entries = new Map<string, Entry[]>();
    for (const candidate of candidates)
      if (fits(job.size, candidate.free))
        getOrAdd(entries, candidate.zone, () => []).push(this.entryOf(candidate));
    for (const [zone, ofZone] of entries)
      this.queues.set(
        zone,
        new TinyQueue(ofZone, (a, b) => order.compare(a.key, a.candidate, b.key, b.candidate)),
      );
  }

  /** Reserves room for one task on the best candidate, and returns the candidate; null if there is none. */
  place(): Candidate | null {
    const queue = this.bestQueue();
    const entry = queue?.pop();
    if (!queue || !entry) return null;
    const { candidate } = entry;
    const { size } = this.job;
    reserveResources(size, candidate.free);
    addTasks(this.tasksByZone, candidate.zone);
    if (fits(size, candidate.free)) queue.push(this.entryOf(candidate));
    return candidate;
  }

  /** The queue of the zone with the best candidate, among the zones that are not full. */
  private bestQueue(): TinyQueue<Entry> | null {
    const maxPerZone = maxTasksPerZone(this.job.spec);
    let best: { queue: TinyQueue<Entry>; entry: Entry } | null = null;
    for (const [zone, queue] of this.queues) {
      const first = queue.peek();
      const tasksInZone = this.tasksByZone.get(zone) ?? 0;
      if (!first || tasksInZone >= maxPerZone) continue;
      const entry = this.entryOf(first.candidate, tasksInZone);
      if (!best || this.isBetter(entry, best.entry)) best = { queue, entry };
    }
    return best?.queue ?? null;
  }

  private isBetter(one: Entry, two: Entry): boolean {
    return this.order.compare(one.key, one.candidate, two.key, two.candidate) < 0;
  }

  private entryOf(candidate: Candidate, tasksInZone = 0): Entry {
    const key: number[] = [];
    this.order.fillKey(key, this.job.spec, candidate, tasksInZone);
    return { candidate, key };
  }
}
