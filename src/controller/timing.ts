/** Durations used by a controller, as ratios to the platform's settings. */
import type { OperatorSettings } from '../config/operator.js';
import type { Settings } from '../model/settings.js';

/** Share of the state service's request rate that all controllers together may use for watches and read barriers. */
const WATCH_REQUEST_SHARE = 0.15;
/** Maximum number of watches per heartbeat interval. More would bring no noticeable benefit, and each costs CPU time. */
const MAX_WATCHES_PER_HEARTBEAT = 50;
/** Replica age, in worker leases, beyond which users' requests are relayed to peers first. */
const STALE_REPLICA_LEASES = 0.35;
/** Replica age, in worker leases, up to which silence of all workers is attributed to this controller's own node. */
const FRESH_REPLICA_LEASES = 0.3;
/** A job that has waited this many cancellation times without starting goes first within its priority. */
const AGED_CANCEL_MULTIPLE = 4;

/** Durations in milliseconds. */
export interface Timing {
  /** Time between two heartbeats of a worker. */
  heartbeatMs: number;
  /** Duration of a worker's lease. */
  leaseMs: number;
  /** Time within which all tasks of a cancelled job must have stopped. */
  cancelMs: number;
  /** Time between two renewals of the own liveness lease. */
  renewMs: number;
  livenessLeaseMs: number;
  /** Minimum time between two watches, and therefore the typical time that a change takes to reach every controller. */
  propagationMs: number;
  /** Typical time to stop tasks and start others in their place. */
  replacementMs: number;
  /** Task outcomes are recorded together once the first has waited this long. */
  outcomeBatchingMs: number;
  /** A job that has waited this long without starting goes first within its priority. */
  agedMs: number;
  staleReplicaMs: number;
  freshReplicaMs: number;
  /** Time limit for a request to a worker or to the cloud. */
  requestTimeoutMs: number;
  /** Time between two provisioning runs. */
  provisioningMs: number;
}

/** Derives the durations from the settings. */
export function timingOf(settings: Settings, operator: OperatorSettings): Timing {
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
    agedMs: cancelMs * AGED_CANCEL_MULTIPLE,
    staleReplicaMs: leaseMs * STALE_REPLICA_LEASES,
    freshReplicaMs: leaseMs * FRESH_REPLICA_LEASES,
    requestTimeoutMs: leaseMs / 4,
    provisioningMs: settings.cloud.listLagMs / 8 || 1000,
  };
}

/** The deadline multiples in the operators' service-level objectives, in ascending order; 1 if there are none. */
export function deadlineMultiples({ serviceLevelObjectives }: Settings): number[] {
  const deadlines = serviceLevelObjectives.filter(({ kind }) => kind === 'deadline');
  const multiples = new Set(deadlines.map(({ deadlineMultiple }) => deadlineMultiple ?? 1));
  return multiples.size > 0 ? [...multiples].sort((a, b) => a - b) : [1];
}
