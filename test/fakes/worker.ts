/** A fake machine with its worker, by the published protocol: heartbeats, its lease, and commands. */
import type { Resources } from '../../src/model/resources.js';
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { MachineTraits } from './available-machines.js';
import { TaskRunner, type FakeTask, type RunnerMachine } from './task-runner.js';
import type { WorkerEnvironment } from './worker-environment.js';

/** How often the worker looks at its lease and at whether a heartbeat is due. */
const TICK_MS = 100;
/** A heartbeat gets no answer after this, and an answer later than this renews nothing. */
const HEARTBEAT_TIMEOUT_MS = 4000;
/** Changes are reported at once, but not more often than this. */
const CHANGE_REPORT_MS = 500;
/** After a failed heartbeat, the next controller is tried after this long. */
const RETRY_MS = 1000;
/** After a redirect, the owner is tried within this. */
const REDIRECT_MS = 500;

function encodeTask({ name, attempt, phase, exitReason, isCheckpointed }: FakeTask): Body {
  return {
    task: name,
    try: attempt,
    phase,
    ...(exitReason === undefined ? {} : { cause: exitReason }),
    ...(isCheckpointed === undefined ? {} : { kept: isCheckpointed }),
  };
}

export class FakeWorker implements RunnerMachine {
  incarnation = 1;
  sequence = 0;
  fencingToken = 0;
  /** Fails every task that it starts. */
  failsTasks = false;
  /** Executes nothing and says nothing, but may go on later. */
  hung = false;
  dead = false;
  private readonly runner: TaskRunner;
  private leaseFrom: number;
  /** The controller that heartbeats go to, by its place among the hosts. */
  private controller: number;
  private changedAt = -Infinity;
  private isReporting = false;
  private lastHeartbeatAt = -Infinity;
  private nextHeartbeatAt = 0;
  /** What a hanging machine will do when it goes on. */
  private readonly deferred: (() => void)[] = [];

  constructor(
    readonly id: string,
    readonly traits: MachineTraits,
    private readonly environment: WorkerEnvironment,
  ) {
    this.runner = new TaskRunner(this, environment);
    this.leaseFrom = environment.time.now;
    this.controller = environment.random.int(0, environment.hosts.length - 1);
    this.tick();
  }

  get address(): string {
    return this.environment.addressOf(this.id);
  }

  /** Task and attempt of every start command that was carried out. */
  get startedTasks(): readonly string[] {
    return this.runner.startedTasks;
  }

  /** Resources that no task on the machine uses. */
  free(): Resources {
    return this.runner.free();
  }

  /** A machine that hung goes on. */
  resume(): void {
    this.hung = false;
    if (this.dead) this.deferred.length = 0;
    this.expireLeaseIfDue();
    for (const work of this.deferred.splice(0)) work();
  }

  die(): void {
    this.dead = true;
    this.runner.killAll();
  }

  /** Requests sent straight to the worker. */
  handle(call: Call): Promise<Answer> {
    return new Promise((resolve) => {
      this.whenAwake(() => {
        this.expireLeaseIfDue();
        resolve(this.answer(call));
      });
    });
  }

  whenAwake(work: () => void): void {
    if (this.dead) return;
    if (this.hung) this.deferred.push(work);
    else work();
  }

  statusChanged(): void {
    this.changedAt = this.environment.time.now;
  }

  private tick(): void {
    if (this.dead) return;
    const { time } = this.environment;
    // Resuming is possible within the lease only: when it ends, the tasks are gone, hung or not.
    this.expireLeaseIfDue();
    if (!this.hung) {
      const isDue = time.now >= this.nextHeartbeatAt;
      const hasChanged =
        this.changedAt > this.lastHeartbeatAt && time.now - this.lastHeartbeatAt > CHANGE_REPORT_MS;
      if (!this.isReporting && (isDue || hasChanged)) this.sendHeartbeat();
    }
    time.after(TICK_MS, () => {
      this.tick();
    });
  }

  private expireLeaseIfDue(): void {
    if (this.environment.time.now - this.leaseFrom <= this.environment.leaseMs) return;
    this.runner.killAll();
    this.incarnation++;
    this.leaseFrom = this.environment.time.now;
    this.statusChanged();
  }

  private statusBody(): Body {
    this.sequence++;
    return {
      box: this.id,
      address: this.address,
      flavor: this.traits.machineType,
      site: this.traits.zone,
      reclaimable: this.traits.spot,
      tenure: this.incarnation,
      tick: this.sequence,
      epoch: this.fencingToken,
      warning_s: null,
      tasks: this.runner.list().map(encodeTask),
    };
  }

  private sendHeartbeat(): void {
    const { time, random, hosts, heartbeatMs } = this.environment;
    const sentAt = time.now;
    const { incarnation } = this;
    this.lastHeartbeatAt = sentAt;
    this.nextHeartbeatAt = sentAt + heartbeatMs * random.real(0.75, 1.25);
    this.isReporting = true;
    const send = this.environment.callerTo(this.id, hosts[this.controller] ?? '');
    send({
      method: 'POST',
      path: '/checkin',
      body: this.statusBody(),
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
    })
      .then(
        (answer) => {
          this.whenAwake(() => {
            this.heartbeatAnswered(answer, sentAt, incarnation);
          });
        },
        () => {
          this.tryNextController();
        },
      )
      .finally(() => {
        this.isReporting = false;
      });
  }

  private heartbeatAnswered({ status, body }: Answer, sentAt: number, incarnation: number): void {
    const { time, random, hosts } = this.environment;
    const owner = String(body['steward']);
    if (status === 421 && hosts.includes(owner)) {
      this.controller = hosts.indexOf(owner);
      this.nextHeartbeatAt = time.now + random.real(0, REDIRECT_MS);
      return;
    }
    if (status !== 200) {
      this.tryNextController();
      return;
    }
    const isLate = time.now - sentAt > HEARTBEAT_TIMEOUT_MS;
    if (incarnation === this.incarnation && !isLate) this.renewLease(body, sentAt);
  }

  private tryNextController(): void {
    this.controller = (this.controller + 1) % this.environment.hosts.length;
    this.nextHeartbeatAt = this.environment.time.now + RETRY_MS;
  }

  private renewLease(body: Body, sentAt: number): void {
    const token = Number(body['epoch']);
    if (!(token >= this.fencingToken)) return;
    this.fencingToken = token;
    this.leaseFrom = sentAt;
    this.execute((body['orders'] ?? []) as Body[]);
  }

  private answer(call: Call): Answer {
    const { epoch: token, tenure: incarnation, orders } = call.body ?? {};
    if (call.path === '/status') return { status: 200, body: this.statusBody() };
    if (typeof token !== 'number' || typeof incarnation !== 'number')
      return { status: 400, body: {} };
    if (token < this.fencingToken || incarnation !== this.incarnation)
      return { status: 409, body: this.statusBody() };
    this.fencingToken = token;
    this.execute((orders ?? []) as Body[]);
    return { status: 200, body: this.statusBody() };
  }

  private execute(commands: Body[]): void {
    for (const command of commands) {
      const name = String(command['task']);
      const attempt = Number(command['try']);
      const task = this.runner.find(name, attempt);
      if (command['verb'] === 'launch' && !task) this.runner.start(name, attempt);
      else if (command['verb'] === 'halt' && task)
        this.runner.stop(task, Number(command['drain_s'] ?? 0));
      else if (command['verb'] === 'reap' && task?.phase === 'exited') this.runner.forget(task);
    }
  }
}
