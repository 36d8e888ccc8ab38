/** Zone affinity and topology spread of a job's tasks. */
import { allocationCount } from '../model/allocations.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { Snapshot } from './types.js';

/** Number of the job's tasks in each zone that are recorded on machines. */
export function countTasksByZone(snapshot: Snapshot, job: JobRecord): Map<string, number> {
  const tasksByZone = new Map<string, number>();
  for (const [machineId, allocations] of Object.entries(job.allocationsByMachine))
    addTasks(tasksByZone, snapshot.zoneOf(machineId), allocationCount(allocations));
  return tasksByZone;
}

/** Counts more tasks in a zone. */
export function addTasks(tasksByZone: Map<string, number>, zone: string, tasks = 1): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + tasks);
}

/** How many tasks of the job one zone may hold. */
export function maxTasksPerZone(spec: JobSpec): number {
  return spec.spreadAcrossZones ? Math.ceil(spec.tasks / 2) : Infinity;
}
