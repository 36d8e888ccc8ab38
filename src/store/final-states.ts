/** The last final states seen; older ones are asked of the store. */
import type { EndRecord } from './records.js';

/** Final states kept in memory. */
const KEPT = 2000;

export class FinalStates {
  private readonly ends = new Map<string, EndRecord>();

  get(uid: string): EndRecord | undefined {
    return this.ends.get(uid);
  }

  remember(uid: string, end: EndRecord): void {
    this.ends.delete(uid);
    this.ends.set(uid, end);
    if (this.ends.size <= KEPT) return;
    for (const oldest of this.ends.keys()) {
      this.ends.delete(oldest);
      break;
    }
  }
}
