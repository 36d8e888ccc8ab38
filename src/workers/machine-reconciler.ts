/** Makes sure that the machines of the own domain do what is recorded. */
import type { JobRecord } from '../model/job.js';
import type { WorkerCommand } from '../model/worker.js';
import { splitTaskName } from '../protocol/workers.js';
import type { State } from '../store/state.js';
import type { PeerKnowledge } from './peer-knowledge.js';
import { reconcileMachine, taskKey, type ProvenOutcome } from './reconciliation.js';
import type { SessionStore } from './session-store.js';
import type { TaskOutcomes } from './task-outcomes.js';
import type { WorkerSession } from './worker-session.js';

/** The most commands in one message to a worker. */
const MAX_COMMANDS = 200;

/** Applies the reconciliation of a machine to its session and to the outcomes. */
export class MachineReconciler {
  constructor(
    private readonly state: State,
    private readonly sessions: SessionStore,
    private readonly outcomes: TaskOutcomes,
    private readonly peers: PeerKnowledge,
  ) {}

  /** Notes what the worker's tasks prove; returns the commands that would make the machine do what is recorded. */
  reconcile(session: WorkerSession): WorkerCommand[] {
    if (!session.fenced || session.leaseExpired || !this.sessions.isOwned(session)) return [];
    // The replica may still miss what the former owner recorded before it lost the machine.
    if (this.state.replica.revision < session.ownedAtRevision) return [];
    const { commands, outcomes } = reconcileMachine(
      session.machineId,
      session.tasks,
      this.jobsOn(session.machineId),
      (key) => session.startedTasks.has(key),
    );
    forgetAcknowledged(session, commands);
    for (const outcome of outcomes) this.noteOutcome(session, outcome);
    return this.executable(session.machineId, commands);
  }

  private jobsOn(machineId: string): [string, JobRecord][] {
    const jobs: [string, JobRecord][] = [];
    for (const jobId of this.state.jobsByMachine.get(machineId) ?? []) {
      const job = this.state.jobs.get(jobId);
      // Refused by the store, an owner cannot read a cancellation that a peer has confirmed. It stops the tasks at the
      // peer's word: that needs no commit and is safe whoever owns the machine.
      if (job)
        jobs.push([jobId, this.peers.isCancelled(jobId) ? { ...job, cancelled: true } : job]);
    }
    return jobs;
  }

  private noteOutcome(session: WorkerSession, proven: ProvenOutcome): void {
    const mayYetStart = session.unknownOutcome !== null || session.requestInFlight;
    if (proven.evidence === 'absent' && mayYetStart) return;
    this.outcomes.add(proven.jobId, proven.allocation, proven.outcome);
    if (proven.outcome === 'failed') session.failedJobs.add(proven.jobId);
    if (proven.outcome === 'completed') session.failedJobs.clear();
  }

  /**
   * An allocation that is proved over must not begin again before that is committed: the commit would free the task
   * for another machine while it runs here.
   */
  private executable(machineId: string, commands: readonly WorkerCommand[]): WorkerCommand[] {
    const executable: WorkerCommand[] = [];
    for (const command of commands) {
      if (executable.length === MAX_COMMANDS) break;
      if (command.kind !== 'start' || !this.isOver(machineId, command)) executable.push(command);
    }
    return executable;
  }

  private isOver(machineId: string, { taskName, attempt }: WorkerCommand): boolean {
    const { jobId, task } = splitTaskName(taskName);
    return this.outcomes.has(jobId, { machine: machineId, task, attempt });
  }
}

/** What the worker is told to forget needs no mark any more; kept, the marks would grow with every start. */
function forgetAcknowledged(session: WorkerSession, commands: readonly WorkerCommand[]): void {
  for (const { kind, taskName, attempt } of commands)
    if (kind === 'acknowledge') session.startedTasks.delete(taskKey(taskName, attempt));
}
