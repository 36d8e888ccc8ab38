/** Reconciles the machines of the own domain with the recorded allocations. */
import type { JobRecord } from '../model/job.js';
import type { WorkerCommand } from '../model/worker.js';
import { splitTaskName } from '../protocol/workers.js';
import type { State } from '../store/state.js';
import type { PeerReports } from './peer-reports.js';
import { reconcileMachine, type ProvenOutcome } from './reconciliation.js';
import type { SessionStore } from './session-store.js';
import type { TaskOutcomes } from './task-outcomes.js';
import type { WorkerSession } from './worker-session.js';

/** Maximum number of commands in one message to a worker. Even with the longest names they take less than 64 KiB. */
export const MAX_COMMANDS = 200;

/** Reconciles one machine, and applies the result to its session and to the pending outcomes. */
export class MachineReconciler {
  constructor(
    private readonly state: State,
    private readonly sessions: SessionStore,
    private readonly outcomes: TaskOutcomes,
    private readonly peers: PeerReports,
  ) {}

  /** Adds the outcomes that the worker's tasks prove. Returns commands that bring the machine to the recorded state. */
  reconcile(session: WorkerSession): WorkerCommand[] {
    if (!session.fenced || session.leaseExpired || !this.sessions.isOwned(session)) return [];
    // The replica may not yet contain what the former owner recorded before it lost the machine.
    if (this.state.replica.revision < session.ownedAtRevision) return [];
    const { commands, outcomes, unrecordedBytes } = reconcileMachine(
      session.machineId,
      session.tasks,
      this.jobsOn(session.machineId),
    );
    session.unrecordedBytes = unrecordedBytes;
    for (const outcome of outcomes) this.addOutcome(session, outcome);
    return this.executable(session.machineId, commands);
  }

  private jobsOn(machineId: string): [string, JobRecord][] {
    const jobs: [string, JobRecord][] = [];
    for (const jobId of this.state.jobsByMachine.get(machineId) ?? []) {
      const job = this.state.jobs.get(jobId);
      // An owner whose requests the store refuses cannot read a cancellation that a peer has confirmed. It stops the
      // tasks on the peer's report: that needs no commit, and is safe whichever controller owns the machine.
      if (job)
        jobs.push([jobId, this.peers.isCancelled(jobId) ? { ...job, cancelled: true } : job]);
    }
    return jobs;
  }

  private addOutcome(session: WorkerSession, proven: ProvenOutcome): void {
    const mayStillStart = session.unknownOutcome !== null || session.requestInFlight;
    if (proven.evidence === 'absent' && mayStillStart) return;
    this.outcomes.add(proven.jobId, proven.allocation, proven.outcome);
    if (proven.outcome === 'failed') session.failedJobs.add(proven.jobId);
    if (proven.outcome === 'completed') session.failedJobs.clear();
  }

  /**
   * Drops start commands for allocations with a proven outcome that is not committed yet. The commit frees the task for
   * another machine, so a task started again here would run on both. At most `MAX_COMMANDS` are returned.
   */
  private executable(machineId: string, commands: readonly WorkerCommand[]): WorkerCommand[] {
    const executable: WorkerCommand[] = [];
    for (const command of commands) {
      if (executable.length === MAX_COMMANDS) break;
      if (command.kind !== 'start' || !this.hasProvenOutcome(machineId, command))
        executable.push(command);
    }
    return executable;
  }

  private hasProvenOutcome(machineId: string, { taskName, attempt }: WorkerCommand): boolean {
    const { jobId, task } = splitTaskName(taskName);
    return this.outcomes.has(jobId, { machine: machineId, task, attempt });
  }
}
