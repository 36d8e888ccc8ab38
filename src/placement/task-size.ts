/** What a task takes of a machine. */
import type { JobSpec } from '../model/job.js';
import type { MachineRoom } from '../model/resources.js';
import { maxTaskStatusBytes } from '../protocol/heartbeat-size.js';
import type { Snapshot } from './types.js';

/** What each task of a job takes of a machine: its resources, and its place in the heartbeats of the worker. */
export function sizeOfTask(
  jobId: string,
  spec: JobSpec,
  { ignoresHeartbeatsOfArrays }: Pick<Snapshot, 'ignoresHeartbeatsOfArrays'> = {},
): MachineRoom {
  const { cpus, gpus, memoryGb, kind } = spec;
  const isIgnored = ignoresHeartbeatsOfArrays === true && kind === 'array';
  return { cpus, gpus, memoryGb, heartbeatBytes: isIgnored ? 0 : maxTaskStatusBytes(jobId, spec) };
}
