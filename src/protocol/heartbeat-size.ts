/** Bounds the size of workers' heartbeats, which list all tasks on a machine. Sizes are those of the JSON form. */
import { allocationCount } from '../model/allocations.js';
import type { JobRecord, JobSpec } from '../model/job.js';

/** Maximum size of a request body, and so of a heartbeat. */
const MAX_HEARTBEAT_BYTES = 64 * 1024;
/** Room for all fields of a heartbeat but its tasks. */
const HEARTBEAT_HEAD_BYTES = 1024;

/** What the tasks of one machine may take of its worker's heartbeats, in bytes. */
export const MAX_REPORTED_TASKS_BYTES = MAX_HEARTBEAT_BYTES - HEARTBEAT_HEAD_BYTES;

/** The longest status of a task, without the task's name. The attempt is one that no job reaches. */
const LONGEST_STATUS = {
  task: '',
  try: 9_999_999,
  phase: 'exited',
  cause: 'mates_gone',
  kept: true,
};
const COMMA_BYTES = 1;
const STATUS_BYTES = JSON.stringify(LONGEST_STATUS).length + COMMA_BYTES;

/** Bytes that a task may take in a heartbeat, in any phase. */
export function taskStatusBytes(taskName: string): number {
  return STATUS_BYTES + taskName.length;
}

/** Bytes that any task of a job may take in a heartbeat. */
export function maxTaskStatusBytes(jobId: string, { tasks }: JobSpec): number {
  return taskStatusBytes(`${jobId}/${String(tasks - 1)}`);
}

/** Bytes that the tasks of a job on a machine may take in a heartbeat. */
export function jobStatusBytes(jobId: string, job: JobRecord, machineId: string): number {
  const allocations = job.allocationsByMachine[machineId];
  return allocations ? allocationCount(allocations) * maxTaskStatusBytes(jobId, job.spec) : 0;
}
