/** A job that a plan places, with what the plan has decided for it so far. */
import { allocationBytes } from '../model/allocations.js';
import { waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { JobEntry, Snapshot } from './types.js';
import { addTasks, countTasksByZone } from './zones.js';

/** A job in its team's queue. */
export class QueuedJob implements JobEntry {
  /** Machines chosen for its tasks, one entry for each task. */
  readonly machineIds: string[] = [];
  /** Tasks that this plan has not placed. */
  waiting: number;
  /** Bytes that one more allocation of the job takes in a record. */
  readonly allocationBytes: number;
  private tasksByZone: Map<string, number> | null = null;

  constructor(
    readonly jobId: string,
    readonly job: JobRecord,
  ) {
    this.waiting = waitingCount(job);
    this.allocationBytes = allocationBytes(job.spec.tasks - 1, job.lastAttempt + 1);
  }

  /** Whether it matters in which zones the other tasks of the job are. */
  get dependsOnZones(): boolean {
    return this.job.spec.singleZone || this.job.spec.spreadAcrossZones;
  }

  /**
   * Tasks of the job by zone: those recorded on machines and those placed by this plan. Empty if the zones do not
   * matter.
   */
  zoneCounts(snapshot: Snapshot): ReadonlyMap<string, number> {
    this.tasksByZone ??= this.dependsOnZones
      ? countTasksByZone(snapshot, this.job)
      : new Map<string, number>();
    return this.tasksByZone;
  }

  /** Adds tasks placed by this plan. */
  place(machineIds: readonly string[], snapshot: Snapshot): void {
    this.waiting -= machineIds.length;
    for (const machineId of machineIds) {
      this.machineIds.push(machineId);
      if (this.tasksByZone && this.dependsOnZones)
        addTasks(this.tasksByZone, snapshot.zoneOf(machineId));
    }
  }
}
