/** What all fake workers share: timing, the other components of the cluster, and the state of gangs. */
import type { JobSpec } from '../../src/model/job.js';
import type { Caller } from '../../src/wire/client.js';
import type { Checker } from './checker.js';
import type { FakeMachineType } from './cloud.js';
import type { FakeTask } from './task-runner.js';
import type { SeededRandom, Timeline } from './time.js';

export interface WorkerEnvironment {
  time: Timeline;
  random: SeededRandom;
  checker: Checker;
  /** Names of the controllers. */
  hosts: string[];
  heartbeatMs: number;
  leaseMs: number;
  /** How long a task of a gang waits for the gang's other tasks to start. */
  gangWaitMs: number;
  /** Time within which the tasks of a gang exit after one of them was lost. */
  gangPeerMs: number;
  machineTypes: Map<string, Pick<FakeMachineType, 'cpus' | 'gpus' | 'memoryGb'>>;
  jobSpec(jobId: string): JobSpec | undefined;
  /** Called when a task completes. */
  onTaskDone(jobId: string): void;
  /** Attempt of a gang (job and attempt) -> its waiting and running tasks on all machines. */
  gangs: Map<string, Set<FakeTask>>;
  /** Returns a function that sends requests of a worker to a controller. */
  callerTo(from: string, host: string): Caller;
  /** Address at which a machine accepts direct commands. */
  addressOf(machineId: string): string;
}
