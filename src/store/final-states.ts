/** The last final states that this process has seen. Older ones are asked of the state service. */
import type { FinalState } from '../model/job.js';

const MAX_FINAL_STATES = 2000;

/** A cache of final states that holds the most recently seen. */
export class FinalStates {
  private readonly byJob = new Map<string, FinalState>();

  get(jobId: string): FinalState | undefined {
    return this.byJob.get(jobId);
  }

  /** Adds a final state, and forgets the oldest if there are too many. */
  remember(jobId: string, finalState: FinalState): void {
    this.byJob.delete(jobId);
    this.byJob.set(jobId, finalState);
    if (this.byJob.size <= MAX_FINAL_STATES) return;
    for (const oldest of this.byJob.keys()) {
      this.byJob.delete(oldest);
      return;
    }
  }
}
