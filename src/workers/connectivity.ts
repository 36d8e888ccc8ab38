/** Whether this process can reach any worker at all. */
import type { Clock } from '../clock.js';
import type { State } from '../store/state.js';
import { NoAnswer } from '../wire/client.js';
import type { WorkerCallers } from './worker-callers.js';

/** Part of a worker's lease without contact to any worker after which this controller takes itself for isolated. */
const SILENT_LEASE_SHARE = 0.4;

/** Times of the worker protocol, in milliseconds. */
export interface ConnectivityOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** How long a request to a worker may take. */
  requestTimeoutMs: number;
}

/** What is asked whether workers can be reached. */
export interface ConnectivityDependencies {
  state: State;
  clock: Clock;
  callers: WorkerCallers;
  /** A worker has answered a probe. */
  onReached: () => void;
}

/** Notes every contact to a worker, and asks machines in turn when there has been none for too long. */
export class Connectivity {
  private lastContactAt = -Infinity;
  /** This process has not stood still since then. */
  private steadySince = Infinity;
  private checkedAt = -Infinity;
  private probing = false;
  private probes = 0;

  constructor(
    private readonly options: ConnectivityOptions,
    private readonly dependencies: ConnectivityDependencies,
  ) {}

  /** A heartbeat or an answer of any worker has come. */
  noteContact(): void {
    this.lastContactAt = this.dependencies.clock.now();
  }

  /** Called at regular times; a call that comes late shows that the process stood still. */
  noteRunning(): void {
    const now = this.dependencies.clock.now();
    if (now - this.checkedAt > this.options.heartbeatIntervalMs) this.steadySince = now;
    this.checkedAt = now;
  }

  /**
   * No worker was heard for a good part of a lease, and this process has not stood still meanwhile: their
   * heartbeats would be waiting to be read.
   */
  isSilent(): boolean {
    const { leaseMs, heartbeatIntervalMs } = this.options;
    const now = this.dependencies.clock.now();
    const silenceMs = now - Math.max(this.lastContactAt, this.steadySince);
    return silenceMs >= leaseMs * SILENT_LEASE_SHARE && now - this.checkedAt <= heartbeatIntervalMs;
  }

  /** Isolated, it asks one machine after the other for its status; any answer shows that it is so no longer. */
  probe(): void {
    const { state, callers, onReached } = this.dependencies;
    const machineIds = [...state.machines.keys()];
    const machineId = machineIds[this.probes++ % (machineIds.length || 1)] ?? '';
    const address = state.machines.get(machineId)?.address ?? '';
    if (this.probing || address === '') return;
    this.probing = true;
    const call = callers.callerTo(machineId, address);
    call({ method: 'GET', path: '/status', timeoutMs: this.options.requestTimeoutMs })
      .then(
        () => {
          onReached();
        },
        (error: unknown) => {
          if (!(error instanceof NoAnswer)) throw error;
        },
      )
      .finally(() => {
        this.probing = false;
      });
  }
}
