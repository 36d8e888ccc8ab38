/** Tasks that are proved to be off their machines, until that is recorded. */
import {
  allocationsOn,
  recordOutcomes,
  type Allocation,
  type TaskOutcome,
} from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { Clock } from '../clock.js';
import type { State } from '../store/state.js';
import type { TransactionBuilder } from '../store/transaction-builder.js';

interface EndedTask {
  allocation: Allocation;
  outcome: TaskOutcome;
  /** Term under which that was proved. */
  fencingToken: number | null;
}

export interface EndedTasksOptions {
  /** Ends are recorded together when the first has waited this long. */
  gatherMs: number;
  /** The first pause of a job whose tasks fail. */
  pauseMs: number;
}

/** Gathers ends found by reports, leases and deletions for the next transaction. */
export class EndedTasks {
  private readonly byJob = new Map<string, EndedTask[]>();
  /** When the oldest of them was found. */
  private since = Infinity;

  constructor(
    private readonly options: EndedTasksOptions,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly termFor: (machine: string) => number | null,
    private readonly wake: () => void,
  ) {}

  /** Whether this very allocation is known to be over. */
  has(uid: string, { machine: box, task, attempt }: Allocation): boolean {
    return (this.byJob.get(uid) ?? []).some(
      ({ allocation: stay }) =>
        stay.machine === box && stay.task === task && stay.attempt === attempt,
    );
  }

  add(uid: string, stay: Allocation, end: TaskOutcome): void {
    if (this.has(uid, stay)) return;
    const list = this.byJob.get(uid) ?? [];
    list.push({ allocation: stay, outcome: end, fencingToken: this.termFor(stay.machine) });
    this.byJob.set(uid, list);
    if (this.state.jobs.get(uid)?.preemptedTasks?.includes(stay.task)) {
      // Somebody waits for its room.
      this.since = -Infinity;
      this.wake();
    } else if (this.since === Infinity) {
      this.since = this.clock.now();
      this.clock.after(this.options.gatherMs, this.wake);
    }
  }

  /** Whether they have waited long enough to be recorded even if nothing else is. */
  due(): boolean {
    return this.clock.now() - this.since >= this.options.gatherMs;
  }

  /**
   * Takes them into a transaction. Returns what to call once it is committed, which tells the machines whose
   * tasks it ended.
   */
  addTo(transaction: TransactionBuilder): () => Set<string> {
    const taken = new Map<string, readonly EndedTask[]>();
    for (const [uid, list] of this.byJob) {
      const job = transaction.job(uid);
      const valid = job ? list.filter((ended) => this.stillValid(ended, job)) : [];
      if (!job || valid.length === 0) {
        this.byJob.delete(uid);
        continue;
      }
      const next = recordOutcomes(job, valid, this.clock.wall(), this.options.pauseMs);
      if (transaction.set(uid, next)) taken.set(uid, valid);
    }
    if (this.byJob.size === 0) this.since = Infinity;
    return () => this.forget(taken);
  }

  /** A machine that was lost and came back under a higher term may have been kept alive meanwhile. */
  private stillValid({ allocation: stay, fencingToken: term }: EndedTask, job: JobRecord): boolean {
    return (
      term !== null &&
      this.termFor(stay.machine) === term &&
      allocationsOn(job, stay.machine).some(
        (known) => known.task === stay.task && known.attempt === stay.attempt,
      )
    );
  }

  /** Only what was recorded: ends of the same jobs may have been found since the transaction was made. */
  private forget(taken: ReadonlyMap<string, readonly EndedTask[]>): Set<string> {
    const machines = new Set<string>();
    for (const [uid, recorded] of taken) {
      for (const { allocation: stay } of recorded) machines.add(stay.machine);
      const left = (this.byJob.get(uid) ?? []).filter((ended) => !recorded.includes(ended));
      if (left.length > 0) this.byJob.set(uid, left);
      else this.byJob.delete(uid);
    }
    this.since = this.byJob.size > 0 ? this.clock.now() : Infinity;
    return machines;
  }
}
