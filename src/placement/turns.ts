/** Which controller may place a job now. */
import type { JobRecord } from '../model/job.js';
import { turnOf } from '../util/order.js';

/** Length of a turn in propagation times: what is committed at its end reaches the next controller in time. */
const TURN_PROPAGATION_TIMES = 1.5;

/** When a controller may place a job. */
export interface Turn {
  /** Time until this controller's turn, in milliseconds; 0 or less once it may place the job. */
  waitMs: number;
  /** Place of this controller in the job's order: 0 is first. */
  position: number;
  /** When this process first saw the job's record as it is, on the steady clock in milliseconds. */
  since: number;
}

/** A version of a job's record. */
interface SeenRecord {
  modRevision: number;
  /** When this process first saw it, on the steady clock in milliseconds. */
  since: number;
}

/**
 * Round robin among the controllers, so that they seldom place the same job at a time; where they do, the conditions of
 * their transactions decide.
 */
export class Turns {
  private readonly turnMs: number;
  private readonly seenRecords = new Map<string, SeenRecord>();

  constructor(
    private readonly self: string,
    /** How long a change usually takes to reach every controller, in milliseconds. */
    propagationMs: number,
  ) {
    this.turnMs = propagationMs * TURN_PROPAGATION_TIMES;
  }

  /** Notes the record of a job that has changed. */
  recordChanged(jobId: string, modRevision: number, now: number): void {
    if (this.seenRecords.get(jobId)?.modRevision !== modRevision)
      this.seenRecords.set(jobId, { modRevision, since: now });
  }

  /** The job is over. */
  forget(jobId: string): void {
    this.seenRecords.delete(jobId);
  }

  /**
   * How long this controller leaves a job to others, in an order that differs from job to job and from one version of
   * its record to the next. A turn is as long as a change takes to reach the others. For an array the turns go round
   * and round: if one that has waited were open to all, whoever gets room at the same time would place the same
   * tasks. Gangs and services are open to all after the first round: they need what they can get.
   */
  turnFor(jobId: string, job: JobRecord, hosts: string[], now: number): Turn {
    const seen = this.seenRecords.get(jobId);
    const position = turnOf(`${jobId} ${String(seen?.modRevision)}`, hosts, this.self);
    const since = seen?.since ?? -Infinity;
    const waitMs = since + position * this.turnMs - now;
    const isRepeated = job.spec.kind === 'array' && waitMs <= 0 && since !== -Infinity;
    return {
      waitMs: isRepeated ? this.waitInRound(-waitMs, hosts.length) : waitMs,
      position,
      since,
    };
  }

  /** Time until this controller's turn, so long after its first one began. */
  private waitInRound(sinceFirstTurnMs: number, controllers: number): number {
    const roundMs = this.turnMs * controllers;
    const intoRoundMs = sinceFirstTurnMs % roundMs;
    return intoRoundMs < this.turnMs ? 0 : roundMs - intoRoundMs;
  }
}
