/** The network of a simulated cluster. */
import { NoAnswer, type Answer, type Call, type Caller } from '../../src/wire/client.js';
import type { SeededRandom, Timeline } from './time.js';

type Handler = (call: Call) => Promise<Answer> | Answer;

export interface NetworkPartition {
  affects: (from: string, to: string) => boolean;
  /** Whether affected messages are lost, or delivered after the partition has ended. */
  mode: 'drop' | 'hold';
  untilMs: number;
}

/** A request at the time at which it reaches its host. */
export interface Delivery {
  host: string;
  /** Milliseconds since the start of the simulation. */
  atMs: number;
  call: Call;
}

/** Is notified when a net delivers a request, and when the host answers it. */
export interface NetObserver {
  onRequest?(delivery: Delivery): void;
  /** Called when the host answers, whether or not the answer reaches the sender. */
  onAnswer?(delivery: Delivery, answer: Answer): void;
}

/** Carries calls between named hosts, with delay, and with partitions that drop messages or deliver them late. */
export class Net {
  /** Observes the deliveries of all nets; only one simulation at a time may be observed. */
  static observer: NetObserver | null = null;

  private readonly handlers = new Map<string, Handler>();
  partitions: NetworkPartition[] = [];
  /** Number of messages affected by a partition, by its mode. */
  readonly affectedMessages = { drop: 0, hold: 0 };
  /** Delay added to every message, in milliseconds. */
  extraDelayMs = 0;
  /**
   * Delivers copies of some requests: of those to `path`, of a fraction `share` of them, each after a delay in the range
   * `afterMs`, to whichever handler then serves the same host. One copy unless `copies` says otherwise.
   */
  duplication: {
    path: string;
    share: number;
    afterMs: [number, number];
    copies?: number;
  } | null = null;

  constructor(
    private readonly time: Timeline,
    private readonly random: SeededRandom,
  ) {}

  /** Sets the handler of requests to a host; null: requests are refused. */
  serve(host: string, handler: Handler | null): void {
    if (handler) this.handlers.set(host, handler);
    else this.handlers.delete(host);
  }

  /**
   * Returns a function that sends requests from `from` to the host that `to` returns at the time of the request. Once
   * `isAlive` returns false, the sender gets neither answers nor errors.
   */
  caller(from: string, to: () => string, isAlive: () => boolean): Caller {
    return (call) =>
      new Promise((resolve, reject) => {
        let settled = false;
        const finish = (work: () => void): void => {
          if (settled || !isAlive()) return;
          settled = true;
          work();
        };
        this.time.after(call.timeoutMs, () => {
          finish(() => {
            reject(new NoAnswer(`${call.path}: no answer in time`));
          });
        });
        const target = to();
        this.deliverLater(from, target, () => {
          const handler = this.handlers.get(target);
          if (!handler) {
            finish(() => {
              reject(new NoAnswer('connection refused'));
            });
            return;
          }
          this.duplicate(target, call);
          const delivered = structuredClone(call);
          this.notifyRequest(target, delivered);
          void Promise.resolve(handler(delivered)).then((answer) => {
            const copy = structuredClone(answer);
            this.notifyAnswer(target, call, copy);
            this.deliverLater(target, from, () => {
              finish(() => {
                resolve(copy);
              });
            });
          });
        });
      });
  }

  private duplicate(target: string, call: Call): void {
    const { duplication } = this;
    if (call.path !== duplication?.path || !this.random.chance(duplication.share)) return;
    for (let copies = duplication.copies ?? 1; copies > 0; copies--) {
      const copy = structuredClone(call);
      this.time.after(this.random.real(...duplication.afterMs), () => {
        const handler = this.handlers.get(target);
        if (!handler) return;
        this.notifyRequest(target, copy);
        // The answer to a copy is discarded.
        void handler(copy);
      });
    }
  }

  private notifyRequest(host: string, call: Call): void {
    Net.observer?.onRequest?.({ host, atMs: this.time.now, call });
  }

  private notifyAnswer(host: string, call: Call, answer: Answer): void {
    Net.observer?.onAnswer?.({ host, atMs: this.time.now, call }, answer);
  }

  private deliverLater(from: string, to: string, deliver: () => void): void {
    const delay = this.random.real(0.2, 3) + this.extraDelayMs;
    const partition = this.partitions.find(
      ({ untilMs, affects }) => this.time.now < untilMs && affects(from, to),
    );
    if (partition) this.affectedMessages[partition.mode]++;
    if (!partition) this.time.after(delay, deliver);
    else if (partition.mode === 'hold')
      this.time.after(
        partition.untilMs - this.time.now + delay + this.random.real(0, 500),
        deliver,
      );
  }
}
