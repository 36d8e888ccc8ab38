/** Which machines nothing new may be placed on. */
import type { Clock } from '../clock.js';
import type { CordonReason } from '../model/machine.js';
import type { SessionStore } from './session-store.js';
import type { WorkerSession } from './worker-session.js';

/** Heartbeat intervals without contact after which a machine is given no work. */
const MAX_CONTACT_AGE_INTERVALS = 2.5;
/** Heartbeat intervals without contact after which a machine counts as silent. */
const SILENT_INTERVALS = 3;
/** One job that fails may be at fault itself; several that fail one after the other point to the machine. */
const FAILED_JOBS_OF_FAILING_MACHINE = 2;

/** Decides from the sessions which machines may be given work. */
export class Cordons {
  constructor(
    private readonly sessions: SessionStore,
    private readonly clock: Clock,
    private readonly heartbeatIntervalMs: number,
  ) {}

  /** Whether a machine may be given work: seen under the present token, alive, and with no outcome unknown. */
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

  /** Why nothing may be placed on a machine. */
  reasonFor(session: WorkerSession): CordonReason | undefined {
    if (session.preemptionAnnounced) return 'preemptionAnnounced';
    if (session.failedJobs.size >= FAILED_JOBS_OF_FAILING_MACHINE) return 'failing';
    return this.isSilent(session) ? 'silent' : undefined;
  }

  isSilent(session: WorkerSession): boolean {
    return (
      session.leaseExpired ||
      this.contactAgeMs(session) > this.heartbeatIntervalMs * SILENT_INTERVALS
    );
  }

  /** Own machines that nothing may be placed on. */
  machines(): string[] {
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
