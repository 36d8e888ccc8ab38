/** What the platform tells a controller at its start. */
import type { TeamQuota } from './team.js';

/** Another controller. */
export interface PeerSettings {
  controller: string;
  zone: string;
  /** Its internal address. */
  address: string;
}

/** An aim of the operators; kinds that are not known here have no effect. */
export interface ServiceLevelObjective {
  kind: string;
  jobClass?: string;
  withinSeconds?: number;
  /** The part of the jobs or requests that should meet it. */
  share?: number;
  /** The multiple of a deadline that it speaks of. */
  deadlineMultiple?: number;
}

/** How workers behave. */
export interface WorkerSettings {
  heartbeatMs: number;
  leaseMs: number;
  /** By when nothing of a cancelled job may be running. */
  cancelMs: number;
}

/** Limits of the state service, for all controllers together. */
export interface StateServiceSettings {
  requestsPerSecond: number;
  writesPerSecond: number;
  maxValueBytes: number;
  /** Writes of one transaction. */
  maxWrites: number;
}

/** Limits of the cloud, for all controllers together. */
export interface CloudSettings {
  requestsPerSecond: number;
  /** How far its list of machines may lag behind. */
  listLagMs: number;
}

/** What a controller's process may use. */
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
  /** Controllers that there are to be, this one counted. */
  controllerCount: number;
  teams: ReadonlyMap<string, TeamQuota>;
  serviceLevelObjectives: readonly ServiceLevelObjective[];
  workers: WorkerSettings;
  stateService: StateServiceSettings;
  cloud: CloudSettings;
  process: ProcessLimits;
}
