/** Settings that the platform passes to a controller when it starts. */
import type { TeamQuota } from './team.js';

/** Another controller. */
export interface PeerSettings {
  controller: string;
  zone: string;
  /** The peer's internal address. */
  address: string;
}

/** A service level objective of the operators; unknown kinds have no effect. */
export interface ServiceLevelObjective {
  kind: string;
  jobClass?: string;
  withinSeconds?: number;
  /** The fraction of jobs or requests that should meet it. */
  share?: number;
  /** The multiple of the deadline to which it applies. */
  deadlineMultiple?: number;
}

/** Times that workers keep to. */
export interface WorkerSettings {
  heartbeatMs: number;
  leaseMs: number;
  /** Time after a cancellation by which no task of the job may be running any more. */
  cancelMs: number;
}

/** Limits of the state service, for all controllers together. */
export interface StateServiceSettings {
  requestsPerSecond: number;
  writesPerSecond: number;
  maxValueBytes: number;
  /** Maximum number of writes in one transaction. */
  maxWrites: number;
}

/** Limits of the cloud, for all controllers together. */
export interface CloudSettings {
  requestsPerSecond: number;
  /** Maximum lag of the cloud's list of machines. */
  listLagMs: number;
}

/** Limits on what a controller's process may use. */
export interface ProcessLimits {
  memoryBytes: number;
  maxSockets: number;
}

/** The settings of one controller. */
export interface Settings {
  controller: string;
  zone: string;
  /** Address for users, workers and health checks. */
  listenAddress: string;
  /** Address for the other controllers and for metrics. */
  internalAddress: string;
  peers: readonly PeerSettings[];
  cloudAddress: string;
  stateServiceAddress: string;
  /** Configured number of controllers, including this one. */
  controllerCount: number;
  teams: ReadonlyMap<string, TeamQuota>;
  serviceLevelObjectives: readonly ServiceLevelObjective[];
  workers: WorkerSettings;
  stateService: StateServiceSettings;
  cloud: CloudSettings;
  process: ProcessLimits;
}
