import type { Resources } from '../../src/model/resources.js';
import type { JobSpec } from '../../src/model/job.js';
import type { Answer, Call, Caller } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { BoxFacts, Checker } from './checker.js';
import type { SeededRandom, Timeline } from './time.js';

export interface WorkerWorld {
  time: Timeline;
  chance: SeededRandom;
  checker: Checker;
  hosts: string[];
  reportMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
  flavors: Map<string, { cpus: number; cards: number; memory_gb: number }>;
  spec(uid: string): JobSpec | undefined;
  /** Told of every task that completes. */
  done(uid: string): void;
  /** Tasks of a gang's attempt that wait for the others, over all machines. */
  gangs: Map<string, Set<Task>>;
  call(from: string, host: string): Caller;
  /** Where a machine takes direct commands. */
  addressOf(machine: string): string;
}

interface Task {
  name: string;
  uid: string;
  task: number;
  attempt: number;
  phase: 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
  cause?: string;
  kept?: boolean;
  /** Counts up with each change of phase, so that a late timer finds out that it is late. */
  step: number;
  on: FakeWorker;
}

/** A stand-in of one machine with its worker, by the published protocol. */
export class FakeWorker {
  tenure = 1;
  tick = 0;
  epoch = 0;
  /** Fails every task that it starts. */
  sick = false;
  /** Executes nothing and says nothing, but may go on later. */
  hung = false;
  dead = false;
  /** Reports that got the steward of another node, and calls executed: for tests to look at. */
  readonly launches: string[] = [];
  private leaseFrom: number;
  private tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  private node: number;
  private changedAt = -Infinity;
  private reporting = false;
  private lastReport = -Infinity;
  private nextReport = 0;
  private readonly held: (() => void)[] = [];

  constructor(
    readonly id: string,
    readonly facts: BoxFacts,
    private readonly world: WorkerWorld,
  ) {
    this.leaseFrom = world.time.now;
    this.node = world.chance.int(0, world.hosts.length - 1);
    this.beat();
  }

  get address(): string {
    return this.world.addressOf(this.id);
  }

  private beat(): void {
    if (this.dead) return;
    const { time } = this.world;
    // Resuming is possible within the lease only: when it ends, the tasks are gone, hung or not.
    if (time.now - this.leaseFrom > this.world.leaseMs) this.lapse();
    if (!this.hung) {
      const due = time.now >= this.nextReport;
      const changed = this.changedAt > this.lastReport && time.now - this.lastReport > 500;
      if (!this.reporting && (due || changed)) this.report();
    }
    time.after(100, () => {
      this.beat();
    });
  }

  resume(): void {
    this.hung = false;
    if (this.dead) this.held.length = 0;
    if (this.world.time.now - this.leaseFrom > this.world.leaseMs) this.lapse();
    for (const work of this.held.splice(0)) work();
  }

  die(): void {
    this.dead = true;
    this.killAll();
  }

  private killAll(): void {
    for (const task of this.tasks.values()) this.leave(task, false);
    this.tasks = new Map();
  }

  private lapse(): void {
    this.killAll();
    this.tenure++;
    this.leaseFrom = this.world.time.now;
    this.changedAt = this.world.time.now;
  }

  private view(): Body {
    this.tick++;
    return {
      box: this.id,
      address: this.address,
      ...this.facts,
      tenure: this.tenure,
      tick: this.tick,
      epoch: this.epoch,
      warning_s: null,
      tasks: [...this.tasks.values()].map(({ name, attempt, phase, cause, kept }) => ({
        task: name,
        try: attempt,
        phase,
        ...(cause === undefined ? {} : { cause }),
        ...(kept === undefined ? {} : { kept }),
      })),
    };
  }

  private report(): void {
    const { time, chance, hosts } = this.world;
    const sent = time.now;
    const { tenure } = this;
    this.lastReport = sent;
    this.nextReport = sent + this.world.reportMs * chance.real(0.75, 1.25);
    this.reporting = true;
    const host = hosts[this.node] ?? '';
    const next = (): void => {
      this.node = (this.node + 1) % hosts.length;
      this.nextReport = time.now + 1000;
    };
    this.world
      .call(
        this.id,
        host,
      )({ method: 'POST', path: '/checkin', body: this.view(), timeoutMs: 4000 })
      .then(
        ({ status, body }) => {
          this.whenAwake(() => {
            if (status === 421 && hosts.includes(String(body['steward']))) {
              this.node = hosts.indexOf(String(body['steward']));
              this.nextReport = time.now + chance.real(0, 500);
            } else if (status !== 200) next();
            else if (tenure === this.tenure && time.now - sent <= 4000) this.accepted(body, sent);
          });
        },
        () => {
          next();
        },
      )
      .finally(() => {
        this.reporting = false;
      });
  }

  private accepted(body: Body, sent: number): void {
    const epoch = Number(body['epoch']);
    if (!(epoch >= this.epoch)) return;
    this.epoch = epoch;
    this.leaseFrom = sent;
    this.execute((body['orders'] ?? []) as Body[]);
  }

  private whenAwake(work: () => void): void {
    if (this.dead) return;
    if (this.hung) this.held.push(work);
    else work();
  }

  /** Requests sent straight to the worker. */
  handle(call: Call): Promise<Answer> {
    return new Promise((resolve) => {
      this.whenAwake(() => {
        if (this.world.time.now - this.leaseFrom > this.world.leaseMs) this.lapse();
        const { epoch, tenure, orders } = call.body ?? {};
        if (call.path === '/status') {
          resolve({ status: 200, body: this.view() });
          return;
        }
        if (typeof epoch !== 'number' || typeof tenure !== 'number') {
          resolve({ status: 400, body: {} });
        } else if (epoch < this.epoch || tenure !== this.tenure) {
          resolve({ status: 409, body: this.view() });
        } else {
          this.epoch = epoch;
          this.execute((orders ?? []) as Body[]);
          resolve({ status: 200, body: this.view() });
        }
      });
    });
  }

  private execute(orders: Body[]): void {
    for (const order of orders) {
      const name = String(order['task']);
      const attempt = Number(order['try']);
      const key = `${name}#${String(attempt)}`;
      const known = this.tasks.get(key);
      if (order['verb'] === 'launch' && !known) this.launch(name, attempt);
      else if (order['verb'] === 'halt' && known) this.halt(known, Number(order['drain_s'] ?? 0));
      else if (order['verb'] === 'reap' && known?.phase === 'exited') this.tasks.delete(key);
    }
  }

  private launch(name: string, attempt: number): void {
    const slash = name.lastIndexOf('/');
    const uid = name.slice(0, slash);
    const task: Task = {
      name,
      uid,
      task: Number(name.slice(slash + 1)),
      attempt,
      phase: 'fetching',
      step: 0,
      on: this,
    };
    this.launches.push(`${name}#${String(attempt)}`);
    const spec = this.world.spec(uid);
    const busy = [...this.tasks.values()].filter((other) => other.phase !== 'exited');
    this.tasks.set(`${name}#${String(attempt)}`, task);
    if (!spec) this.exit(task, 'unknown');
    else if (busy.some((other) => other.name === name)) this.exit(task, 'in_use');
    else if (!this.fits(spec, busy)) this.exit(task, 'full');
    else {
      this.world.checker.launched(this.id, uid, task.task, attempt, this.world.time.now);
      const wait = this.images.has(spec.image) ? 1 : this.world.chance.real(300, 2000);
      this.later(task, wait, () => {
        this.images.add(spec.image);
        this.begin(task, spec);
      });
    }
    this.changedAt = this.world.time.now;
  }

  private fits(spec: JobSpec, busy: Task[]): boolean {
    const { cpus, gpus, memoryGb } = this.free(busy);
    return cpus - spec.cpus > -1e-6 && gpus - spec.gpus > -1e-6 && memoryGb - spec.memoryGb > -1e-6;
  }

  /** What is left on the machine beside these tasks; by default all that have not exited. */
  free(busy = [...this.tasks.values()].filter(({ phase }) => phase !== 'exited')): Resources {
    const size = this.world.flavors.get(this.facts.flavor);
    const left = {
      cpus: size?.cpus ?? 0,
      gpus: size?.cards ?? 0,
      memoryGb: size?.memory_gb ?? 0,
    };
    for (const { uid } of busy) {
      const spec = this.world.spec(uid);
      left.cpus -= spec?.cpus ?? 0;
      left.gpus -= spec?.gpus ?? 0;
      left.memoryGb -= spec?.memoryGb ?? 0;
    }
    return left;
  }

  private begin(task: Task, spec: JobSpec): void {
    const { checker, time, chance, gangs } = this.world;
    checker.start(this.id, this.facts, task.uid, task.task, time.now);
    if (this.sick) {
      this.phase(task, 'running');
      this.later(task, 50, () => {
        this.exit(task, 'error');
      });
      return;
    }
    const runMs = Math.max(500, spec.expectedSeconds * 1000 * chance.real(0.5, 1.5));
    if (spec.kind !== 'gang') {
      this.phase(task, 'running');
      if (spec.kind === 'array')
        this.later(task, runMs, () => {
          this.exit(task, 'done');
        });
      return;
    }
    this.phase(task, 'waiting');
    const key = `${task.uid}#${String(task.attempt)}`;
    const mates = gangs.get(key) ?? new Set<Task>();
    gangs.set(key, mates.add(task));
    this.later(task, this.world.gangWaitMs, () => {
      this.exit(task, 'incomplete');
    });
    if (mates.size < spec.tasks) return;
    for (const mate of mates) mate.on.run(mate, runMs);
  }

  private run(task: Task, runMs: number): void {
    this.phase(task, 'running');
    this.later(task, runMs, () => {
      const mates = this.world.gangs.get(`${task.uid}#${String(task.attempt)}`) ?? new Set();
      // By the protocol they complete together or not at all: without one of them, none does.
      if (mates.size < (this.world.spec(task.uid)?.tasks ?? 0)) return;
      for (const mate of [...mates]) mate.on.exit(mate, 'done');
    });
  }

  private halt(task: Task, drainS: number): void {
    if (task.phase === 'exited') return;
    const spec = this.world.spec(task.uid);
    const saves =
      (spec?.checkpointIntervalSeconds ?? 0) > 0 && drainS >= (spec?.checkpointSeconds ?? 0);
    if (task.phase === 'running' && saves && spec) {
      this.phase(task, 'saving');
      this.later(task, spec.checkpointSeconds * 1000, () => {
        task.kept = true;
        this.exit(task, 'halted');
      });
    } else if (task.phase !== 'saving' || drainS === 0) this.exit(task, 'halted');
  }

  private phase(task: Task, phase: Task['phase']): void {
    task.phase = phase;
    task.step++;
    this.changedAt = this.world.time.now;
  }

  /** Does something later unless the task has changed meanwhile; a hanging machine does it on resuming. */
  private later(task: Task, ms: number, work: () => void): void {
    const { step } = task;
    this.world.time.after(ms, () => {
      this.whenAwake(() => {
        const held = this.tasks.get(`${task.name}#${String(task.attempt)}`) === task;
        if (held && task.step === step) work();
      });
    });
  }

  private exit(task: Task, cause: string): void {
    if (task.phase === 'exited') return;
    task.cause = cause;
    this.leave(task, cause === 'done');
    this.phase(task, 'exited');
    if (cause === 'done') this.world.done(task.uid);
  }

  /** Off the machine, whatever the reason. */
  private leave(task: Task, completed: boolean): void {
    const { checker } = this.world;
    if (task.phase !== 'fetching' && task.phase !== 'exited')
      checker.end(this.id, task.uid, task.task, completed);
    if (task.phase !== 'exited') checker.vacated(this.id, task.uid, task.task, task.attempt);
    const key = `${task.uid}#${String(task.attempt)}`;
    const mates = this.world.gangs.get(key);
    if (!mates?.delete(task) || completed) return;
    for (const mate of mates)
      if (mate.phase === 'running' || mate.phase === 'saving')
        mate.on.later(mate, this.world.gangPeerMs / 2, () => {
          mate.on.exit(mate, 'mates_gone');
        });
  }
}
