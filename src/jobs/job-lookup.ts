/** Linearizable reads of jobs: the result was current at some moment after the request arrived. */
import { withTimeout, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { finalPhase } from '../model/job-lifecycle.js';
import type { FinalState, JobRecord } from '../model/job.js';
import type { Item, StoreClient } from '../store/client.js';
import { decodeFinalState, keys } from '../store/records/index.js';
import { checkRecord } from '../store/records/schemas.js';
import type { State } from '../store/state.js';
import type { ReplicaWatcher } from '../store/watcher.js';
import { NoAnswer } from '../wire/client.js';
import type { Finalizer } from './finalizer.js';

/** A job that was found: live, with its record, or ended, with its final state. */
export type FoundJob = { kind: 'live'; job: JobRecord } | { kind: 'final'; finalState: FinalState };

/** Result of a lookup. */
export type LookupResult =
  | FoundJob
  /** There is no such job. */
  | { kind: 'absent' }
  /** The state service did not answer in time. */
  | { kind: 'unknown' };

const ABSENT: LookupResult = { kind: 'absent' };
const UNKNOWN: LookupResult = { kind: 'unknown' };

/** Dependencies of a `JobLookup`. */
export interface JobLookupDependencies {
  store: StoreClient;
  state: State;
  watcher: ReplicaWatcher;
  finalizer: Finalizer;
  clock: Clock;
  log: Log;
  /** Whether the state derived from the records can be relied on (see `Integrity`). */
  isSound: () => boolean;
}

/** Finds jobs in the replica after confirming that it is current, and final states in the cache or the store. */
export class JobLookup {
  constructor(private readonly dependencies: JobLookupDependencies) {}

  /** The cached final state of a job, if any. A final state never changes, so the store need not be read. */
  cachedFinalState(jobId: string): FinalState | undefined {
    return this.dependencies.state.finalStates.get(jobId);
  }

  /**
   * Finds the current state of a job. A job is reported as done only after its final state has been recorded, so `find`
   * commits the final state first.
   */
  async find(jobId: string, timeoutMs: number): Promise<LookupResult> {
    const { state, watcher, clock, finalizer, isSound } = this.dependencies;
    const deadline = clock.now() + timeoutMs;
    for (;;) {
      const leftMs = deadline - clock.now();
      if (leftMs <= 0 || !(await watcher.confirmCurrent(leftMs)) || !isSound()) return UNKNOWN;
      const job = state.jobs.get(jobId);
      if (!job) return this.findFinalState(jobId, deadline);
      if (job.cancelled || finalPhase(job) === null) return { kind: 'live', job };
      const finalized = finalizer.finalize(jobId);
      const outcome = await withTimeout(clock, this.timeLeftMs(deadline), finalized, null);
      if (outcome?.kind !== 'done' && outcome?.kind !== 'conflict') return UNKNOWN;
    }
  }

  private timeLeftMs(deadline: number): number {
    return Math.max(1, deadline - this.dependencies.clock.now());
  }

  /**
   * Finds the final state of a job that was not live at some moment after the request arrived. Final states are never
   * removed, so the state of a job that had ended at that moment is found now.
   */
  private async findFinalState(jobId: string, deadline: number): Promise<LookupResult> {
    const { store, clock } = this.dependencies;
    const cached = this.cachedFinalState(jobId);
    if (cached) return { kind: 'final', finalState: cached };
    try {
      const read = store.get(keys.finalState(jobId));
      const answer = await withTimeout(clock, this.timeLeftMs(deadline), read, null);
      if (answer === null) return UNKNOWN;
      return answer.item ? this.decodeAndCache(jobId, answer.item) : ABSENT;
    } catch (error) {
      if (error instanceof NoAnswer) return UNKNOWN;
      throw error;
    }
  }

  private decodeAndCache(jobId: string, item: Item): LookupResult {
    const { state, log } = this.dependencies;
    const { value, modRevision } = item;
    const fault = checkRecord(keys.finalState(jobId), 'end', value);
    if (fault) {
      log.error({ ...fault, modRevision }, 'stored record is malformed');
      return UNKNOWN;
    }
    const finalState = decodeFinalState(value);
    state.finalStates.add(jobId, finalState);
    return { kind: 'final', finalState };
  }
}
