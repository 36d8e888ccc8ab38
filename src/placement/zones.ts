/** Zone affinity and topology spread of a job's tasks. */
import { allocationsOf } from '../model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { Snapshot } from './types.js';

/** Number of the job's tasks in each zone: those recorded on machines, and those being placed on `placedOn`. */
export function countTasksByZone(
  snapshot: Snapshot,
  job: JobRecord,
  placedOn: Iterable<string>,
): Map<string, number> {
  const tasksByZone = new Map<string, number>();
  for (const { machine } of allocationsOf(job)) addTask(tasksByZone, snapshot.zoneOf(machine));
  for (const machineId of placedOn) addTask(tasksByZone, snapshot.zoneOf(machineId));
  return tasksByZone;
}

/** Counts one more task in a zone. */
export function addTask(tasksByZone: Map<string, number>, zone: string): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
}

/** How many tasks of the job one zone may hold. */
export function maxTasksPerZone(spec: JobSpec): number {
  return spec.spreadAcrossZones ? Math.ceil(spec.tasks / 2) : Infinity;
}
