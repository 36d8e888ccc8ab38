/** Durations of a controller, as ratios to the platform's settings. */
import type { Operator } from '../config/operator.js';
import type { Settings } from '../model/settings.js';

/** Part of the state service's requests that all controllers together may spend on watches and confirming reads. */
const WATCH_REQUEST_SHARE = 0.15;
/** More watches than this in a heartbeat interval are noticed by nobody, and each costs processor time. */
const MAX_WATCHES_PER_HEARTBEAT = 50;
/** Age of a replica, in worker leases, beyond which peers answer users first. */
const STALE_REPLICA_LEASES = 0.35;
/** Age of a replica, in worker leases, up to which silence of all workers is this controller's own trouble. */
const FRESH_REPLICA_LEASES = 0.3;
/** Waiting this many cancellation times without having begun, a job goes first in its priority. */
const AGED_CANCELLATIONS = 4;

/** All in milliseconds. */
export interface Timing {
  /** Time between two heartbeats of a worker. */
  heartbeatMs: number;
  /** A worker's lease. */
  leaseMs: number;
  /** By when nothing of a cancelled job may be running. */
  cancelMs: number;
  /** Time between two renewals of the own liveness lease. */
  renewMs: number;
  livenessLeaseMs: number;
  /** Least time between two watches, and so how long a change takes to reach every controller, as a rule. */
  propagationMs: number;
  /** How long stopping tasks and starting others in their place takes, as a rule. */
  replacementMs: number;
  /** Outcomes of tasks are recorded together when the first has waited this long. */
  outcomeBatchingMs: number;
  /** Waiting this long without having begun, a job goes first in its priority. */
  agedMs: number;
  staleReplicaMs: number;
  freshReplicaMs: number;
  /** What a request to a worker or to the cloud may take. */
  requestTimeoutMs: number;
  /** Time between two looks at the fleet. */
  provisioningMs: number;
}

/** The durations that follow from the settings. */
export function timingOf(settings: Settings, operator: Operator): Timing {
  const { heartbeatMs, leaseMs, cancelMs } = settings.workers;
  const renewMs = leaseMs * operator.renewalShare;
  const watchesPerSecond = settings.stateService.requestsPerSecond * WATCH_REQUEST_SHARE;
  const propagationMs = Math.max(
    (settings.controllerCount / watchesPerSecond) * 1000,
    heartbeatMs / MAX_WATCHES_PER_HEARTBEAT,
  );
  return {
    heartbeatMs,
    leaseMs,
    cancelMs,
    renewMs,
    livenessLeaseMs: renewMs * operator.missedRenewals,
    propagationMs,
    replacementMs: Math.max(propagationMs * 4, heartbeatMs / 2),
    outcomeBatchingMs: Math.max(propagationMs * 2, heartbeatMs / 20),
    agedMs: cancelMs * AGED_CANCELLATIONS,
    staleReplicaMs: leaseMs * STALE_REPLICA_LEASES,
    freshReplicaMs: leaseMs * FRESH_REPLICA_LEASES,
    requestTimeoutMs: leaseMs / 4,
    provisioningMs: settings.cloud.listLagMs / 8 || 1000,
  };
}

/** The multiples of a deadline that count, by the operators' service-level objectives, smallest first. */
export function deadlineMultiples({ serviceLevelObjectives }: Settings): number[] {
  const deadlines = serviceLevelObjectives.filter(({ kind }) => kind === 'deadline');
  const multiples = new Set(deadlines.map(({ deadlineMultiple }) => deadlineMultiple ?? 1));
  return multiples.size > 0 ? [...multiples].sort((a, b) => a - b) : [1];
}
