/** Whether this process can reach any worker at all. */
import type { Clock } from '../clock.js';
import type { State } from '../store/state.js';
import { NoAnswer, type Caller } from '../wire/client.js';

/** Part of a worker's lease without a word of any worker after which this node takes itself for cut off. */
const CUT_OFF_LEASES = 0.4;

export interface ConnectivityOptions {
  reportMs: number;
  leaseMs: number;
  /** How long a request to a worker may take. */
  callMs: number;
}

/** Notes every word of a worker, and asks machines in turn when there has been none for too long. */
export class Connectivity {
  private contactAt = -Infinity;
  /** This process has not stood still since then. */
  private steadySince = Infinity;
  private tickedAt = -Infinity;
  private probing = false;
  private probed = 0;

  constructor(
    private readonly options: ConnectivityOptions,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly callerTo: (id: string, address: string) => Caller,
    /** A worker has answered a probe. */
    private readonly onReached: () => void,
  ) {}

  /** A report or an answer of any worker has come. */
  heard(): void {
    this.contactAt = this.clock.now();
  }

  /** Called at regular times; a call that comes late shows that the process stood still. */
  tick(): void {
    const now = this.clock.now();
    if (now - this.tickedAt > this.options.reportMs) this.steadySince = now;
    this.tickedAt = now;
  }

  /**
   * Nobody was heard for a good part of a lease, and this process has not stood still meanwhile: their
   * reports would be waiting to be read.
   */
  isSilent(): boolean {
    const { leaseMs, reportMs } = this.options;
    const now = this.clock.now();
    const silence = now - Math.max(this.contactAt, this.steadySince);
    return silence >= leaseMs * CUT_OFF_LEASES && now - this.tickedAt <= reportMs;
  }

  /** Cut off, it asks one machine after the other how it is; any answer shows that it is cut off no longer. */
  probe(): void {
    const ids = [...this.state.machines.keys()];
    const id = ids[this.probed++ % (ids.length || 1)] ?? '';
    const address = this.state.machines.get(id)?.address ?? '';
    if (this.probing || address === '') return;
    this.probing = true;
    const call = this.callerTo(id, address);
    call({ method: 'GET', path: '/status', timeoutMs: this.options.callMs })
      .then(
        () => {
          this.onReached();
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
