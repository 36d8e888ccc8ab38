/** Decides in which order the controllers may place a job. */
import type { JobRecord } from '../model/job.js';
import { turnOf } from '../util/order.js';

/**
 * Length of a turn, as a multiple of the propagation time. Longer than 1, so that a commit at the end of a turn reaches
 * the next controller in time.
 */
const TURN_LENGTH_IN_PROPAGATION_TIMES = 1.5;

/** When a controller may place a job. */
export interface Turn {
  /** Time until this controller's turn, in milliseconds; 0 or less once it may place the job. */
  waitMs: number;
  /** Position of this controller in the order for the job: 0 is first. */
  position: number;
  /** When this process first saw the current version of the job's record, in milliseconds of the monotonic clock. */
  firstSeenAt: number;
}

/** A version of a job's record. */
interface SeenRecord {
  modRevision: number;
  /** When this process first saw this version, in milliseconds of the monotonic clock. */
  firstSeenAt: number;
}

/**
 * Gives the controllers turns at placing a job (round robin), so that they seldom place the same job at the same time.
 * If they do, the conditions of their transactions let only one of them commit.
 */
export class Turns {
  private readonly turnMs: number;
  private readonly seenRecords = new Map<string, SeenRecord>();

  constructor(
    private readonly self: string,
    /** How long a change usually takes to reach every controller, in milliseconds. */
    propagationMs: number,
  ) {
    this.turnMs = propagationMs * TURN_LENGTH_IN_PROPAGATION_TIMES;
  }

  /** Called when a job's record has changed; remembers when this version was first seen. */
  recordChanged(jobId: string, modRevision: number, now: number): void {
    if (this.seenRecords.get(jobId)?.modRevision !== modRevision)
      this.seenRecords.set(jobId, { modRevision, firstSeenAt: now });
  }

  /** Drops what is remembered about a job that is over. */
  forget(jobId: string): void {
    this.seenRecords.delete(jobId);
  }

  /**
   * When this controller may place a job. The order of the controllers differs from job to job and between versions of
   * a job's record. A turn lasts long enough for a change to reach the other controllers. For an array the turns
   * repeat round after round: if all controllers could place a waiting array at any time, those that get free resources
   * at the same time would place the same tasks. A gang or service may be placed by each controller from its first
   * turn on, because it needs any free resources that it can get.
   */
  turnFor(jobId: string, job: JobRecord, hosts: string[], now: number): Turn {
    const seen = this.seenRecords.get(jobId);
    const position = turnOf(`${jobId} ${String(seen?.modRevision)}`, hosts, this.self);
    const firstSeenAt = seen?.firstSeenAt ?? -Infinity;
    const waitMs = firstSeenAt + position * this.turnMs - now;
    const isRepeated = job.spec.kind === 'array' && waitMs <= 0 && firstSeenAt !== -Infinity;
    return {
      waitMs: isRepeated ? this.waitInRound(-waitMs, hosts.length) : waitMs,
      position,
      firstSeenAt,
    };
  }

  /** Time until this controller's next turn, given the time since its first turn began; 0 during a turn. */
  private waitInRound(sinceFirstTurnStartMs: number, controllers: number): number {
    const roundMs = this.turnMs * controllers;
    const intoRoundMs = sinceFirstTurnStartMs % roundMs;
    return intoRoundMs < this.turnMs ? 0 : roundMs - intoRoundMs;
  }
}
