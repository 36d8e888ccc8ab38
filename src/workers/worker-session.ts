/** What a controller knows of the worker on one machine of its domain. */
import type { TaskReport } from './report.js';

/** A launch request without an answer: it may be executed as long as term and tenure match. */
export interface UnknownLaunch {
  term: number;
  tenure: number;
}

export interface WorkerSession {
  id: string;
  /** Where it said that it can be called; empty until it has. */
  address: string;
  term: number;
  /** When this process became its owner under this term. */
  since: number;
  /** Generation of the store in which it did. */
  asOf: number;
  tenure: number;
  tick: number;
  tasks: Map<string, TaskReport>;
  /** What was launched under the present term and tenure: a copy of that request may come late. */
  launched: Set<string>;
  /** The worker has shown this term, so no command of a lower one can be executed any more. */
  fenced: boolean;
  /** Last sign of life, or last answer that may have renewed its lease. */
  heardAt: number;
  /** The cloud has announced that it takes the machine back. */
  warned: boolean;
  /** A request to it is under way; another is wanted after it. */
  calling: boolean;
  again: boolean;
  unknownOutcome: UnknownLaunch | null;
  /** Its lease has run out for certain since it was last heard. */
  leaseExpired: boolean;
  /** Failures since the last success there, by job. */
  errors: Set<string>;
  failedCalls: number;
  retryAt: number;
}

/** A worker of which nothing is known yet but its machine's record and owner. */
export function newSession(
  known: Pick<WorkerSession, 'id' | 'address' | 'term' | 'asOf'>,
  now: number,
): WorkerSession {
  return {
    ...known,
    since: now,
    tenure: 0,
    tick: 0,
    tasks: new Map(),
    launched: new Set(),
    fenced: false,
    heardAt: now,
    warned: false,
    calling: false,
    again: false,
    unknownOutcome: null,
    leaseExpired: false,
    errors: new Set(),
    failedCalls: 0,
    retryAt: 0,
  };
}
