/* eslint-disable */
// A stand-in for a machine with its worker, by PROTOCOL-tackvane.md (arrays, services and gangs without checkpoints).
import { Client, serve } from './wire.js';

const TICK_MS = 50;
const REPORT_TIMEOUT_MS = 4000;
const MIN_CHANGE_MS = 500;

export class Worker {
  /** `world` has `workers` (the settings), `hosts` (name -> address), `jobs` (uid -> submission), and the hooks. */
  constructor({ uid, flavor, site, reclaimable }, type, world) {
    Object.assign(this, { uid, flavor, site, reclaimable, type, world });
    this.tenure = 1;
    this.tick = 0;
    this.epoch = 0;
    this.tasks = new Map();
    this.images = new Set();
    this.leaseFrom = performance.now();
    this.names = [...world.hosts.keys()];
    // The machines begin at different controllers, each with its number.
    this.hostAt = Number(/\d+$/.exec(uid)) % this.names.length;
    this.nextAt = 0;
    this.sentAt = -Infinity;
    this.changedAt = 0;
    this.busy = false;
    /** While cut off, the machine gets nothing and sends nothing; its worker and tasks go on. */
    this.cut = false;
    this.dead = false;
    this.client = new Client(1);
  }

  async start() {
    this.server = await serve((call) => this.serveCall(call));
    this.address = this.server.address;
    this.timer = setInterval(() => this.onTick(), TICK_MS);
    return this;
  }

  stop() {
    this.dead = true;
    clearInterval(this.timer);
    for (const task of this.tasks.values()) this.end(task, 'machine gone');
    this.tasks.clear();
    this.server.close();
    this.client.close();
  }

  setCut(cut) {
    this.cut = cut;
    this.world.record(`${this.uid}: ${cut ? 'cut off from the network' : 'back on the network'}`);
  }

  /** While a machine is sick, every task that it starts fails. */
  setSick(sick) {
    this.sick = sick;
    this.world.record(
      `${this.uid}: ${sick ? 'is sick: fails every task that it starts' : 'is well again'}`,
    );
  }

  expireLease() {
    if (performance.now() - this.leaseFrom <= this.world.workers.lease_s * 1000) return;
    if (this.tasks.size > 0)
      this.world.record(
        `${this.uid}: lease of session ${this.tenure} over, ${this.tasks.size} tasks killed`,
      );
    for (const task of this.tasks.values()) this.end(task, 'lease over');
    this.tasks.clear();
    this.tenure++;
    this.leaseFrom = performance.now();
    this.changedAt = this.leaseFrom;
  }

  status() {
    this.tick++;
    const tasks = [...this.tasks.values()].map(({ task, attempt, phase, cause }) => ({
      task,
      try: attempt,
      phase,
      ...(cause ? { cause } : {}),
    }));
    const { uid: box, address, flavor, site, reclaimable, tenure, tick, epoch } = this;
    return { box, address, flavor, site, reclaimable, tenure, tick, epoch, warning_s: null, tasks };
  }

  onTick() {
    this.expireLease();
    if (this.cut || this.busy) return;
    const now = performance.now();
    const isDue = now >= this.nextAt;
    const isChanged = this.changedAt > this.sentAt && now - this.sentAt > MIN_CHANGE_MS;
    if (isDue || isChanged) void this.report();
  }

  async report() {
    const { report_s } = this.world.workers;
    const sentAt = performance.now();
    const tenure = this.tenure;
    this.busy = true;
    this.sentAt = sentAt;
    this.nextAt = sentAt + report_s * 1000 * (0.75 + Math.random() / 2);
    const name = this.names[this.hostAt];
    try {
      const answer = await this.client.call(this.world.hosts.get(name), {
        method: 'POST',
        path: '/checkin',
        body: this.status(),
        timeoutMs: REPORT_TIMEOUT_MS,
      });
      if (this.cut || this.dead) return;
      this.answered(answer, sentAt, tenure);
    } catch {
      this.tryNext();
    } finally {
      this.busy = false;
    }
  }

  answered({ status, body }, sentAt, tenure) {
    if (
      status === 421 &&
      this.names.includes(body.steward) &&
      body.steward !== this.names[this.hostAt]
    ) {
      this.hostAt = this.names.indexOf(body.steward);
      this.nextAt = performance.now() + Math.random() * 500;
      return;
    }
    if (status !== 200) {
      this.tryNext();
      return;
    }
    this.expireLease();
    if (tenure !== this.tenure || !(body.epoch >= this.epoch)) return;
    this.setEpoch(body.epoch);
    this.leaseFrom = sentAt;
    this.execute(body.orders ?? []);
  }

  tryNext() {
    this.hostAt = (this.hostAt + 1) % this.names.length;
    this.nextAt = performance.now() + 1000;
    this.sentAt = performance.now() + 1000 - MIN_CHANGE_MS;
  }

  setEpoch(epoch) {
    if (epoch > this.epoch) this.changedAt = performance.now();
    this.epoch = epoch;
  }

  serveCall({ method, path, body }) {
    if (this.cut || this.dead) return null;
    this.expireLease();
    if (method === 'GET' && path === '/status') return { status: 200, body: this.status() };
    if (method !== 'POST' || path !== '/commands') return { status: 404 };
    if (typeof body.epoch !== 'number' || typeof body.tenure !== 'number') return { status: 400 };
    if (body.epoch < this.epoch || body.tenure !== this.tenure)
      return { status: 409, body: this.status() };
    this.setEpoch(body.epoch);
    this.execute(body.orders ?? []);
    return { status: 200, body: this.status() };
  }

  execute(orders) {
    for (const { verb, task, try: attempt } of orders) {
      const key = `${task}#${attempt}`;
      const held = this.tasks.get(key);
      if (verb === 'launch' && !held) this.launch(key, task, attempt);
      else if (verb === 'halt' && held && held.phase !== 'exited') this.exit(held, 'halted');
      else if (verb === 'reap' && held?.phase === 'exited') this.tasks.delete(key);
    }
  }

  free() {
    const free = { cpus: this.type.cpus, cards: this.type.cards, memory_gb: this.type.memory_gb };
    for (const { phase, job } of this.tasks.values()) {
      if (phase === 'exited' || !job) continue;
      for (const kind of Object.keys(free)) free[kind] -= job[kind];
    }
    return free;
  }

  launch(key, name, attempt) {
    const jobId = name.slice(0, name.lastIndexOf('/'));
    const job = this.world.jobs.get(jobId);
    const task = {
      key,
      task: name,
      jobId,
      job,
      attempt,
      phase: 'fetching',
      on: false,
      uid: this.uid,
    };
    const others = [...this.tasks.values()];
    const isInUse = others.some((other) => other.task === name && other.phase !== 'exited');
    const free = this.free();
    this.tasks.set(key, task);
    this.changedAt = performance.now();
    this.world.onLaunch?.(task, this);
    if (!job) return this.exit(task, 'unknown');
    if (isInUse) return this.exit(task, 'in_use');
    if (Object.keys(free).some((kind) => job[kind] > free[kind] + 1e-6))
      return this.exit(task, 'full');
    const fetchMs = this.images.has(job.image) ? 1 : this.world.fetchMs;
    task.timer = setTimeout(() => {
      this.images.add(job.image);
      task.on = true;
      task.phase = 'running';
      this.changedAt = performance.now();
      this.world.onStart?.(task, this);
      if (this.sick) {
        task.timer = setTimeout(() => this.exit(task, 'error'), 500);
        return;
      }
      if (job.shape === 'standing') return;
      if (job.shape === 'group') return this.joinGang(task, job);
      const runMs = this.world.runMs(job, task);
      task.timer = setTimeout(() => this.exit(task, 'done'), runMs);
    }, fetchMs);
  }

  /** A gang's tasks start together once the last one has its image, and complete together. */
  joinGang(task, job) {
    const { gangs, workers } = this.world;
    const key = `${task.jobId}#${task.attempt}`;
    const gang = gangs.get(key) ?? { waiting: new Map(), running: false };
    gangs.set(key, gang);
    task.gang = gang;
    task.phase = 'waiting';
    gang.waiting.set(task, this);
    task.timer = setTimeout(() => this.exit(task, 'incomplete'), workers.gang_wait_s * 1000);
    if (gang.waiting.size < job.tasks) return;
    gang.running = true;
    const members = [...gang.waiting];
    for (const [member, worker] of members) {
      clearTimeout(member.timer);
      member.phase = 'running';
      worker.changedAt = performance.now();
    }
    setTimeout(
      () => {
        if (!members.every(([member]) => member.phase === 'running' && member.on)) return;
        for (const [member, worker] of members) worker.exit(member, 'done');
      },
      this.world.runMs(job, task),
    );
  }

  /** A task of a gang is gone: if the gang runs, its other tasks notice within gang_peer_s. */
  leaveGang(task) {
    const { gang } = task;
    if (!gang || !gang.waiting.delete(task) || !gang.running) return;
    for (const [member, worker] of gang.waiting)
      setTimeout(() => {
        if (member.phase === 'running' && member.on) worker.exit(member, 'mates_gone');
      }, this.world.workers.gang_peer_s * 500);
  }

  exit(task, cause) {
    this.end(task, cause);
    task.phase = 'exited';
    task.cause = cause;
    this.changedAt = performance.now();
  }

  /** The task is no longer on the machine. */
  end(task, why) {
    clearTimeout(task.timer);
    if (task.on) {
      task.on = false;
      task.goneFor = why;
      if (why !== 'done') this.leaveGang(task);
      this.world.onEnd?.(task, this, why);
    }
  }
}
