/** Linearizable reads of jobs: what is found was true at a moment after the request came. */
import { within, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import { finalPhase } from '../model/job-lifecycle.js';
import type { FinalState, JobRecord } from '../model/job.js';
import type { Item, StoreClient } from '../store/client.js';
import { decodeFinalState, keys } from '../store/records/index.js';
import { malformed } from '../store/records/schemas.js';
import type { State } from '../store/state.js';
import type { ReplicaWatcher } from '../store/watcher.js';
import { NoAnswer } from '../wire/client.js';
import type { Finalizer } from './finalizer.js';

/** A job that is known for certain, and which is its state. */
export type FoundJob = { kind: 'live'; job: JobRecord } | { kind: 'final'; finalState: FinalState };

/** What a lookup has found. */
export type LookupResult =
  | FoundJob
  /** There is no such job. */
  | { kind: 'absent' }
  /** The state service did not answer in time. */
  | { kind: 'unknown' };

const ABSENT: LookupResult = { kind: 'absent' };
const UNKNOWN: LookupResult = { kind: 'unknown' };

/** What a lookup reads. */
export interface JobLookupDependencies {
  store: StoreClient;
  state: State;
  watcher: ReplicaWatcher;
  finalizer: Finalizer;
  clock: Clock;
  log: Log;
  /** Whether what is derived from the records can be relied on. */
  isSound: () => boolean;
}

/** Finds jobs in the replica once it is confirmed current, and final states in the store. */
export class JobLookup {
  constructor(private readonly dependencies: JobLookupDependencies) {}

  /** The final state of a job if it is remembered: that never changes, so the store need not be asked. */
  rememberedFinalState(jobId: string): FinalState | undefined {
    return this.dependencies.state.finalStates.get(jobId);
  }

  /**
   * Finds a job as of now. That a job is done is told only when it is recorded as its final state, so that is committed
   * first.
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
      const outcome = await within(clock, this.timeLeftMs(deadline), finalized, null);
      if (outcome?.kind !== 'done' && outcome?.kind !== 'conflict') return UNKNOWN;
    }
  }

  private timeLeftMs(deadline: number): number {
    return Math.max(1, deadline - this.dependencies.clock.now());
  }

  /**
   * The final state of a job that was not among the live ones at a moment after the request came. Final states are
   * never removed, so that of a job that was over by then is found now.
   */
  private async findFinalState(jobId: string, deadline: number): Promise<LookupResult> {
    const { store, clock } = this.dependencies;
    const remembered = this.rememberedFinalState(jobId);
    if (remembered) return { kind: 'final', finalState: remembered };
    try {
      const read = store.get(keys.finalState(jobId));
      const answer = await within(clock, this.timeLeftMs(deadline), read, null);
      if (answer === null) return UNKNOWN;
      return answer.item ? this.takeFinalState(jobId, answer.item) : ABSENT;
    } catch (error) {
      if (error instanceof NoAnswer) return UNKNOWN;
      throw error;
    }
  }

  private takeFinalState(jobId: string, item: Item): LookupResult {
    const { state, log } = this.dependencies;
    const { value, modRevision } = item;
    const fault = malformed(keys.finalState(jobId), 'end', value);
    if (fault) {
      log.error({ ...fault, modRevision }, 'stored record is malformed');
      return UNKNOWN;
    }
    const finalState = decodeFinalState(value);
    state.finalStates.remember(jobId, finalState);
    return { kind: 'final', finalState };
  }
}
