/** Cache of the final states of jobs that this process has seen last. Older ones are read from the state service. */
import type { FinalState } from '../model/job.js';

const MAX_FINAL_STATES = 2000;

/** A cache of the most recently seen final states, by job id. */
export class FinalStates {
  private readonly byJob = new Map<string, FinalState>();

  get(jobId: string): FinalState | undefined {
    return this.byJob.get(jobId);
  }

  /** Adds a final state, and evicts the oldest one if there are too many. */
  add(jobId: string, finalState: FinalState): void {
    this.byJob.delete(jobId);
    this.byJob.set(jobId, finalState);
    if (this.byJob.size <= MAX_FINAL_STATES) return;
    for (const oldest of this.byJob.keys()) {
      this.byJob.delete(oldest);
      return;
    }
  }
}
