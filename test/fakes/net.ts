/** The network of a simulated cluster. */
import { NoAnswer, type Answer, type Call, type Caller } from '../../src/wire/client.js';
import type { SeededRandom, Timeline } from './time.js';

type Handler = (call: Call) => Promise<Answer> | Answer;

export interface NetworkPartition {
  affects: (from: string, to: string) => boolean;
  /** What happens to messages that it affects: they are lost, or delivered when it is over. */
  mode: 'drop' | 'hold';
  untilMs: number;
}

/** A request at the moment at which it reaches its host. */
export interface Delivery {
  host: string;
  /** Milliseconds since the world began. */
  atMs: number;
  call: Call;
}

/** Looks on while a net delivers requests, and when the hosts answer them. */
export interface NetObserver {
  onRequest?(delivery: Delivery): void;
  /** Called when the host answers, whether or not that answer arrives. */
  onAnswer?(delivery: Delivery, answer: Answer): void;
}

/** Carries calls between named hosts, with delay, and with partitions that drop messages or deliver them late. */
export class Net {
  /** Told of what any net delivers; it sees one world at a time. */
  static observer: NetObserver | null = null;

  private readonly handlers = new Map<string, Handler>();
  partitions: NetworkPartition[] = [];
  /** Messages that met a partition, by its mode. */
  readonly affectedMessages = { drop: 0, hold: 0 };
  /** How much longer every message takes, in milliseconds. */
  extraDelayMs = 0;
  /** Copies of calls come once more, this much later, to whoever answers at that address then. */
  duplication: { path: string; share: number; afterMs: [number, number] } | null = null;

  constructor(
    private readonly time: Timeline,
    private readonly random: SeededRandom,
  ) {}

  /** Sets who answers at a name, or that nobody does. */
  serve(host: string, handler: Handler | null): void {
    if (handler) this.handlers.set(host, handler);
    else this.handlers.delete(host);
  }

  /** Carries requests of `from` to whatever `to` says at the time; nothing comes back once it is not alive. */
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
        this.pass(from, target, () => {
          const handler = this.handlers.get(target);
          if (!handler) {
            finish(() => {
              reject(new NoAnswer('refused'));
            });
            return;
          }
          this.duplicate(target, call);
          const delivered = structuredClone(call);
          this.noteRequest(target, delivered);
          void Promise.resolve(handler(delivered)).then((answer) => {
            const copy = structuredClone(answer);
            this.noteAnswer(target, call, copy);
            this.pass(target, from, () => {
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
    const copy = structuredClone(call);
    this.time.after(this.random.real(...duplication.afterMs), () => {
      const handler = this.handlers.get(target);
      if (!handler) return;
      this.noteRequest(target, copy);
      // Whatever the answer is, nobody is there to take it.
      void handler(copy);
    });
  }

  private noteRequest(host: string, call: Call): void {
    Net.observer?.onRequest?.({ host, atMs: this.time.now, call });
  }

  private noteAnswer(host: string, call: Call, answer: Answer): void {
    Net.observer?.onAnswer?.({ host, atMs: this.time.now, call }, answer);
  }

  private pass(from: string, to: string, deliver: () => void): void {
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
