import type { FinalState } from '../model/job.js';
/** The last final states seen; older ones are asked of the store. */

/** Final states kept in memory. */
const KEPT = 2000;

export class FinalStates {
  private readonly ends = new Map<string, FinalState>();

  get(uid: string): FinalState | undefined {
    return this.ends.get(uid);
  }

  remember(uid: string, end: FinalState): void {
    this.ends.delete(uid);
    this.ends.set(uid, end);
    if (this.ends.size <= KEPT) return;
    for (const oldest of this.ends.keys()) {
      this.ends.delete(oldest);
      break;
    }
  }
}
