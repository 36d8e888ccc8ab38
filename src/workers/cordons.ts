/** Decides which machines are cordoned, that is, get no new tasks. */
import type { Clock } from '../clock.js';
import type { CordonReason } from '../model/machine.js';
import type { SessionStore } from './session-store.js';
import type { WorkerSession } from './worker-session.js';

/** Heartbeat intervals without contact after which no tasks are placed on a machine. */
const MAX_CONTACT_AGE_INTERVALS = 2.5;
/** Heartbeat intervals without contact after which a machine counts as silent. */
const SILENT_INTERVALS = 3;
/**
 * Number of jobs that must fail on a machine, with no task completing in between, before the machine counts as failing.
 * A single failing job may itself be at fault; several in a row point to the machine.
 */
const MIN_FAILED_JOBS_OF_FAILING_MACHINE = 2;

/** Decides from the worker sessions on which machines tasks may be placed. */
export class Cordons {
  constructor(
    private readonly sessions: SessionStore,
    private readonly clock: Clock,
    private readonly heartbeatIntervalMs: number,
  ) {}

  /**
   * Whether tasks may be placed on a machine: its worker has reported a token of the current range, is alive, and has no
   * start request with unknown outcome.
   */
  isUsable(machineId: string): boolean {
    const session = this.sessions.get(machineId);
    return (
      session !== undefined &&
      this.sessions.isOwned(session) &&
      session.fenced &&
      !session.leaseExpired &&
      session.unknownOutcome === null &&
      this.reasonFor(session) === undefined &&
      this.contactAgeMs(session) < this.heartbeatIntervalMs * MAX_CONTACT_AGE_INTERVALS
    );
  }

  /** Why a machine is cordoned; undefined if it is not. */
  reasonFor(session: WorkerSession): CordonReason | undefined {
    if (session.preemptionAnnounced) return 'preemptionAnnounced';
    if (session.failedJobs.size >= MIN_FAILED_JOBS_OF_FAILING_MACHINE) return 'failing';
    return this.isSilent(session) ? 'silent' : undefined;
  }

  isSilent(session: WorkerSession): boolean {
    return (
      session.leaseExpired ||
      this.contactAgeMs(session) > this.heartbeatIntervalMs * SILENT_INTERVALS
    );
  }

  /** Cordoned machines of the own domain. */
  cordonedMachines(): string[] {
    const machines: string[] = [];
    for (const session of this.sessions.values())
      if (this.sessions.isInDomain(session) && session.fenced && this.reasonFor(session))
        machines.push(session.machineId);
    return machines;
  }

  private contactAgeMs(session: WorkerSession): number {
    return this.clock.now() - session.lastContactAt;
  }
}
