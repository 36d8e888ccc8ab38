/** Detects whether this process can reach any worker at all. */
import type { Clock } from '../clock.js';
import type { State } from '../store/state.js';
import { NoAnswer } from '../wire/client.js';
import type { WorkerCallers } from './worker-callers.js';

/** After this fraction of a worker lease without contact to any worker, this controller counts as isolated. */
const ISOLATION_FRACTION = 0.4;

/** Timing of the worker protocol, in milliseconds. */
export interface ConnectivityOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Timeout of a request to a worker. */
  requestTimeoutMs: number;
}

/** Dependencies of a `Connectivity`. */
export interface ConnectivityDependencies {
  state: State;
  clock: Clock;
  callers: WorkerCallers;
  /** Called when a worker has answered a probe. */
  onWorkerReached: () => void;
}

/** Tracks the last contact to any worker, and probes machines in turn while this controller is isolated. */
export class Connectivity {
  private lastContactAt = -Infinity;
  /** Time since which this process has run without a pause (see `detectPause`). */
  private runningSince = Infinity;
  private checkedAt = -Infinity;
  private probing = false;
  private probes = 0;

  constructor(
    private readonly options: ConnectivityOptions,
    private readonly dependencies: ConnectivityDependencies,
  ) {}

  /** Called when a heartbeat or an answer has arrived from any worker. */
  noteContact(): void {
    this.lastContactAt = this.dependencies.clock.now();
  }

  /** Called at regular intervals; a late call means that the process was paused. */
  detectPause(): void {
    const now = this.dependencies.clock.now();
    if (now - this.checkedAt > this.options.heartbeatIntervalMs) this.runningSince = now;
    this.checkedAt = now;
  }

  /**
   * Whether there was no contact to any worker for a large part of a lease. Time in which this process was paused does
   * not count: the heartbeats of that time would still be waiting to be read.
   */
  isSilent(): boolean {
    const { leaseMs, heartbeatIntervalMs } = this.options;
    const now = this.dependencies.clock.now();
    const silenceMs = now - Math.max(this.lastContactAt, this.runningSince);
    return silenceMs >= leaseMs * ISOLATION_FRACTION && now - this.checkedAt <= heartbeatIntervalMs;
  }

  /**
   * Requests the status of the next machine in turn. Called while this controller is isolated; any answer shows that it
   * no longer is.
   */
  probe(): void {
    const { state, callers, onWorkerReached } = this.dependencies;
    const machineIds = [...state.machines.keys()];
    const machineId = machineIds[this.probes++ % (machineIds.length || 1)] ?? '';
    const address = state.machines.get(machineId)?.address ?? '';
    if (this.probing || address === '') return;
    this.probing = true;
    const call = callers.callerTo(machineId, address);
    call({ method: 'GET', path: '/status', timeoutMs: this.options.requestTimeoutMs })
      .then(
        () => {
          onWorkerReached();
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
