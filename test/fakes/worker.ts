/** A fake machine with its worker, which follows the published protocol: heartbeats, lease and commands. */
import type { Resources } from '../../src/model/resources.js';
import type { Answer, Call } from '../../src/wire/client.js';
import type { Body } from '../../src/wire/codec.js';
import type { MachineTraits } from './available-machines.js';
import { TaskRunner, type FakeTask, type RunnerMachine } from './task-runner.js';
import type { WorkerEnvironment } from './worker-environment.js';

/** Limit of a request body, in its JSON form. */
const MAX_BODY_BYTES = 64 * 1024;
/** With fewer tasks than this, a heartbeat is never too large, so its size is not determined. */
const FEW_TASKS = 300;
/** How often the worker checks whether its lease has expired and whether a heartbeat is due. */
const TICK_MS = 100;
/** Timeout of a heartbeat. An answer that arrives later does not renew the lease. */
const HEARTBEAT_TIMEOUT_MS = 4000;
/** A change triggers a heartbeat at once, unless the last heartbeat was sent less than this time ago. */
const MIN_CHANGE_HEARTBEAT_INTERVAL_MS = 500;
/** Delay after a failed heartbeat before the next controller is tried. */
const RETRY_DELAY_MS = 1000;
/** Maximum delay after a redirect before the owner is tried. */
const MAX_REDIRECT_DELAY_MS = 500;

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
  /** Whether every task that the machine starts fails. */
  failsTasks = false;
  /** Whether the machine hangs: it executes nothing and sends nothing, but may resume later. */
  hung = false;
  dead = false;
  /** Number of heartbeats that were larger than a request may be. */
  oversizedHeartbeats = 0;
  private readonly runner: TaskRunner;
  private leaseStartedAt: number;
  /** Index in `hosts` of the controller that receives the heartbeats. */
  private controllerIndex: number;
  private lastChangeAt = -Infinity;
  private isHeartbeatPending = false;
  private lastHeartbeatAt = -Infinity;
  private nextHeartbeatAt = 0;
  /** Work that a hanging machine will do when it resumes. */
  private readonly deferred: (() => void)[] = [];

  constructor(
    readonly id: string,
    readonly traits: MachineTraits,
    private readonly environment: WorkerEnvironment,
  ) {
    this.runner = new TaskRunner(this, environment);
    this.leaseStartedAt = environment.time.now;
    this.controllerIndex = environment.random.int(0, environment.hosts.length - 1);
    this.tick();
  }

  get address(): string {
    return this.environment.addressOf(this.id);
  }

  /** Task and attempt of every start command that was executed. */
  get startedTasks(): readonly string[] {
    return this.runner.startedTasks;
  }

  /** Number of tasks in a heartbeat, including those that have exited and are not acknowledged. */
  get reportedTasks(): number {
    return this.runner.list().length;
  }

  /** See `TaskRunner.exitReasons`. */
  get exitReasons(): ReadonlySet<string> {
    return this.runner.exitReasons;
  }

  /** Resources of the machine that are not used by any task. */
  free(): Resources {
    return this.runner.free();
  }

  /** Ends a hang: the deferred work is done now. */
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

  /** Handles a request sent directly to the worker. */
  handle(call: Call): Promise<Answer> {
    return new Promise((resolve) => {
      this.runWhenNotHung(() => {
        this.expireLeaseIfDue();
        resolve(this.answer(call));
      });
    });
  }

  runWhenNotHung(work: () => void): void {
    if (this.dead) return;
    if (this.hung) this.deferred.push(work);
    else work();
  }

  statusChanged(): void {
    this.lastChangeAt = this.environment.time.now;
  }

  private tick(): void {
    if (this.dead) return;
    const { time } = this.environment;
    // Also while the machine hangs: it can resume its tasks only within the lease; after that they are lost.
    this.expireLeaseIfDue();
    if (!this.hung) {
      const isDue = time.now >= this.nextHeartbeatAt;
      const hasChanged =
        this.lastChangeAt > this.lastHeartbeatAt &&
        time.now - this.lastHeartbeatAt > MIN_CHANGE_HEARTBEAT_INTERVAL_MS;
      if (!this.isHeartbeatPending && (isDue || hasChanged)) this.sendHeartbeat();
    }
    time.after(TICK_MS, () => {
      this.tick();
    });
  }

  private expireLeaseIfDue(): void {
    if (this.environment.time.now - this.leaseStartedAt <= this.environment.leaseMs) return;
    this.runner.killAll();
    this.incarnation++;
    this.leaseStartedAt = this.environment.time.now;
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

  private isTooLarge(body: Body): boolean {
    return this.runner.list().length > FEW_TASKS && JSON.stringify(body).length > MAX_BODY_BYTES;
  }

  private sendHeartbeat(): void {
    const { time, random, hosts, heartbeatMs } = this.environment;
    const sentAt = time.now;
    const { incarnation } = this;
    this.lastHeartbeatAt = sentAt;
    this.nextHeartbeatAt = sentAt + heartbeatMs * random.real(0.75, 1.25);
    this.isHeartbeatPending = true;
    const body = this.statusBody();
    if (this.isTooLarge(body)) {
      // A controller would refuse it with status 413.
      this.oversizedHeartbeats++;
      this.isHeartbeatPending = false;
      this.tryNextController();
      return;
    }
    const send = this.environment.callerTo(this.id, hosts[this.controllerIndex] ?? '');
    send({
      method: 'POST',
      path: '/checkin',
      body,
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
    })
      .then(
        (answer) => {
          this.runWhenNotHung(() => {
            this.heartbeatAnswered(answer, sentAt, incarnation);
          });
        },
        () => {
          this.tryNextController();
        },
      )
      .finally(() => {
        this.isHeartbeatPending = false;
      });
  }

  private heartbeatAnswered({ status, body }: Answer, sentAt: number, incarnation: number): void {
    const { time, random, hosts } = this.environment;
    const owner = String(body['steward']);
    if (status === 421 && hosts.includes(owner)) {
      this.controllerIndex = hosts.indexOf(owner);
      this.nextHeartbeatAt = time.now + random.real(0, MAX_REDIRECT_DELAY_MS);
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
    this.controllerIndex = (this.controllerIndex + 1) % this.environment.hosts.length;
    this.nextHeartbeatAt = this.environment.time.now + RETRY_DELAY_MS;
  }

  private renewLease(body: Body, sentAt: number): void {
    const token = Number(body['epoch']);
    if (!(token >= this.fencingToken)) return;
    this.fencingToken = token;
    this.leaseStartedAt = sentAt;
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
