/** What fake workers share: their timing, the cluster around them, and the gangs that wait for one another. */
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
  /** How long a task of a gang waits for the others to start. */
  gangWaitMs: number;
  /** Within this time the tasks of a gang end that has lost one of them. */
  gangPeerMs: number;
  machineTypes: Map<string, Pick<FakeMachineType, 'cpus' | 'gpus' | 'memoryGb'>>;
  jobSpec(jobId: string): JobSpec | undefined;
  /** Called for every task that completes. */
  onTaskDone(jobId: string): void;
  /** Attempt of a gang -> its tasks that wait or run, over all machines. */
  gangs: Map<string, Set<FakeTask>>;
  /** Carries requests of a worker to a controller. */
  callerTo(from: string, host: string): Caller;
  /** Where a machine takes direct commands. */
  addressOf(machineId: string): string;
}
