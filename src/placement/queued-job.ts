/** A job that a plan places, with what the plan has decided for it so far. */
import { allocatedTasksOn, allocationBytes } from '../model/allocations.js';
import { fittingTasks } from '../model/fit.js';
import { waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import type { MachineRoom } from '../model/resources.js';
import { MAX_REPORTED_TASKS_BYTES } from '../protocol/heartbeat-size.js';
import { sizeOfTask } from './task-size.js';
import type { Candidate, JobEntry, Snapshot } from './types.js';
import { addTasks, countTasksByZone } from './zones.js';

/** A job in its team's queue. */
export class QueuedJob implements JobEntry {
  /** Machines chosen for its tasks, one entry for each task. */
  readonly machineIds: string[] = [];
  /** Tasks that this plan has not placed. */
  waiting: number;
  /** Bytes that one more allocation of the job takes in a record. */
  readonly allocationBytes: number;
  /** What each of its tasks takes of a machine. */
  readonly size: Readonly<MachineRoom>;
  private tasksByZone: Map<string, number> | null = null;
  /** Tasks placed by this plan, by machine. */
  private readonly placedOn = new Map<string, number>();

  constructor(
    readonly jobId: string,
    readonly job: JobRecord,
    snapshot: Snapshot,
  ) {
    this.size = sizeOfTask(jobId, job.spec, snapshot);
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

  /**
   * Whether a candidate may take one more task of the job beside `chosen` ones that are reserved there already. A job
   * leaves at least as much room in the heartbeats of a machine as it takes, so that its tasks cannot keep those of
   * other jobs out. A gang may take all, since it cannot start with a part of its tasks.
   */
  leavesRoomOn(candidate: Candidate, chosen = 0): boolean {
    const { heartbeatBytes: bytes = 0 } = this.size;
    const freeBytes = (candidate.free.heartbeatBytes ?? Infinity) - bytes;
    // No job can have taken more than is left.
    if (freeBytes >= MAX_REPORTED_TASKS_BYTES / 2) return true;
    return this.spareBytesOn(candidate, chosen) >= 2 * bytes;
  }

  /** How many more tasks of the job a candidate has room for, beside `chosen` ones that are reserved there already. */
  tasksWithRoomOn(candidate: Candidate, chosen: number): number {
    const fitting = fittingTasks(this.size, candidate.free, Infinity);
    const { heartbeatBytes: bytes = 0 } = this.size;
    if (bytes === 0) return fitting;
    const spare = Math.floor(this.spareBytesOn(candidate, chosen) / (2 * bytes));
    return Math.max(0, Math.min(fitting, spare));
  }

  /** By how much the free bytes in the heartbeats exceed those that the job takes. */
  private spareBytesOn({ id, free }: Candidate, chosen: number): number {
    const { heartbeatBytes: bytes = 0 } = this.size;
    const freeBytes = free.heartbeatBytes ?? Infinity;
    if (this.job.spec.kind === 'gang') return freeBytes;
    const tasks = allocatedTasksOn(this.job, id) + (this.placedOn.get(id) ?? 0) + chosen;
    return freeBytes - tasks * bytes;
  }

  /** Adds tasks placed by this plan. */
  place(machineIds: readonly string[], snapshot: Snapshot): void {
    this.waiting -= machineIds.length;
    for (const machineId of machineIds) {
      this.machineIds.push(machineId);
      this.placedOn.set(machineId, (this.placedOn.get(machineId) ?? 0) + 1);
      if (this.tasksByZone && this.dependsOnZones)
        addTasks(this.tasksByZone, snapshot.zoneOf(machineId));
    }
  }
}
