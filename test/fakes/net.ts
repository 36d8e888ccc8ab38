import { NoAnswer, type Answer, type Call, type Caller } from '../../src/wire/client.js';
import type { SeededRandom, Timeline } from './time.js';

type Handler = (call: Call) => Promise<Answer> | Answer;

export interface Cut {
  between: (from: string, to: string) => boolean;
  /** What happens to messages that meet the cut. */
  mode: 'drop' | 'hold';
  until: number;
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

/** Carries calls between named hosts, with delay, and with cuts that drop messages or deliver them late. */
export class Net {
  /** Told of what any net delivers; it sees one world at a time. */
  static observer: NetObserver | null = null;

  private readonly handlers = new Map<string, Handler>();
  cuts: Cut[] = [];
  /** Messages that met a cut, by its mode. */
  readonly met = { drop: 0, hold: 0 };
  /** How much longer every message takes. */
  slowMs = 0;
  /** Copies of calls come once more, this much later, to whoever answers at that address then. */
  echo: { path: string; share: number; afterMs: [number, number] } | null = null;

  constructor(
    private readonly time: Timeline,
    private readonly chance: SeededRandom,
  ) {}

  serve(host: string, handler: Handler | null): void {
    if (handler) this.handlers.set(host, handler);
    else this.handlers.delete(host);
  }

  caller(from: string, to: () => string, alive: () => boolean): Caller {
    return (call) =>
      new Promise((resolve, reject) => {
        let settled = false;
        const finish = (work: () => void): void => {
          if (settled || !alive()) return;
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
          this.repeat(target, call);
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

  private repeat(target: string, call: Call): void {
    const { echo } = this;
    if (!echo || call.path !== echo.path || !this.chance.hit(echo.share)) return;
    const copy = structuredClone(call);
    this.time.after(this.chance.real(...echo.afterMs), () => {
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
    const delay = this.chance.real(0.2, 3) + this.slowMs;
    const cut = this.cuts.find((one) => this.time.now < one.until && one.between(from, to));
    if (cut) this.met[cut.mode]++;
    if (!cut) this.time.after(delay, deliver);
    else if (cut.mode === 'hold')
      this.time.after(cut.until - this.time.now + delay + this.chance.real(0, 500), deliver);
  }
}
