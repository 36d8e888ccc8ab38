/* eslint-disable */
// A worker by the published protocol: reports, lease, tokens, commands, and the tasks of its machine.
import { Client, portOf, serve } from './wire.js';

const REPORT_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_CHANGE_MS = 500;
const SICK_AFTER_MS = 200;
const EPSILON = 1e-6;

export class Worker {
  /**
   * `world` has: `nodes` (name to address), `settings` (report_s, lease_s), `specOf(uid)`,
   * `runSecondsOf(uid, task)`, `note(text)`, `event(kind, worker, task)` and `commanded(worker, body)`.
   */
  constructor(box, type, world) {
    Object.assign(this, { box, type, world });
    this.uid = box.uid;
    this.tenure = 1;
    this.tick = 0;
    this.epoch = 0;
    /** Every task that starts while this is set fails. */
    this.sick = false;
    this.dead = false;
    this.tasks = new Map();
    this.images = new Set();
    this.results = new Set();
    this.client = new Client(2);
    this.leaseFrom = performance.now();
    this.lastReportAt = -Infinity;
    this.nextReportAt = performance.now() + Math.random() * 200;
    this.changed = false;
    this.node = Math.floor(Math.random() * world.nodes.size);
    /** When a report was last answered with 200. */
    this.answeredAt = -Infinity;
  }

  async start() {
    this.server = await serve((request) => this.handle(request));
    this.address = `127.0.0.1:${portOf(this.server)}`;
    this.box.address = this.address;
    this.timer = setInterval(() => this.step(), 20);
  }

  /** The machine stops with all that is on it. */
  die() {
    if (this.dead) return;
    this.dead = true;
    clearInterval(this.timer);
    this.client.close();
    this.server.close();
    this.server.closeAllConnections();
    this.killAll();
  }

  step() {
    const now = performance.now();
    const { lease_s, report_s } = this.world.settings;
    if (now - this.leaseFrom > lease_s * 1000) {
      this.world.note(`${this.uid}: lease over, ${this.tasks.size} tasks forgotten`);
      this.killAll();
      this.tenure++;
      this.leaseFrom = now;
      this.changed = true;
    }
    if (this.reporting) return;
    const due = now >= this.nextReportAt;
    const onChange = this.changed && now - this.lastReportAt >= MIN_CHANGE_MS;
    if (due || onChange) void this.report(report_s);
  }

  status() {
    this.tick++;
    const { flavor, site, reclaimable } = this.box;
    return {
      box: this.uid,
      address: this.address,
      flavor,
      site,
      reclaimable,
      tenure: this.tenure,
      tick: this.tick,
      epoch: this.epoch,
      warning_s: null,
      tasks: [...this.tasks.values()].map(({ name, attempt, phase, cause, kept }) => ({
        task: name,
        try: attempt,
        phase,
        ...(cause ? { cause } : {}),
        ...(kept ? { kept } : {}),
      })),
    };
  }

  async report(reportS) {
    const names = [...this.world.nodes.keys()];
    const node = names[this.node % names.length];
    const sentAt = performance.now();
    const { tenure } = this;
    this.reporting = true;
    this.changed = false;
    this.lastReportAt = sentAt;
    this.nextReportAt = sentAt + reportS * 1000 * (0.75 + Math.random() * 0.5);
    try {
      const { status, body } = await this.client.call(
        this.world.nodes.get(node),
        'POST',
        '/checkin',
        this.status(),
        REPORT_TIMEOUT_MS,
      );
      if (this.dead) return;
      if (status === 200) this.answered(body, sentAt, tenure);
      else if (status === 421 && names.includes(body.steward) && body.steward !== node) {
        this.node = names.indexOf(body.steward);
        this.nextReportAt = performance.now() + Math.random() * 500;
      } else this.nextNode();
    } catch {
      this.nextNode();
    } finally {
      this.reporting = false;
    }
  }

  nextNode() {
    this.node++;
    this.nextReportAt = performance.now() + NEXT_NODE_MS;
    this.changed = false;
  }

  answered({ epoch, orders = [] }, sentAt, tenure) {
    if (tenure !== this.tenure || !(epoch >= this.epoch)) return;
    if (epoch > this.epoch) this.changed = true;
    this.epoch = epoch;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.answeredAt = performance.now();
    this.execute(orders);
  }

  handle({ method, path, body }) {
    if (method === 'GET' && path === '/status') return { status: 200, body: this.status() };
    if (path !== '/commands') return { status: 404, body: {} };
    this.world.commanded(this, body);
    if (typeof body.epoch !== 'number' || typeof body.tenure !== 'number')
      return { status: 400, body: {} };
    if (body.epoch < this.epoch || body.tenure !== this.tenure)
      return { status: 409, body: this.status() };
    if (body.epoch > this.epoch) this.changed = true;
    this.epoch = body.epoch;
    this.execute(body.orders ?? []);
    return { status: 200, body: this.status() };
  }

  execute(orders) {
    for (const { verb, task: name, try: attempt, drain_s } of orders) {
      const key = `${name}#${attempt}`;
      const task = this.tasks.get(key);
      if (verb === 'launch' && !task) this.launch(name, attempt);
      else if (verb === 'halt' && task) this.halt(task, drain_s ?? 0);
      else if (verb === 'reap' && task?.phase === 'exited') this.tasks.delete(key);
    }
  }

  /** What is left of the machine; tasks that fetch their image count. */
  free() {
    const free = { cpus: this.type.cpus, cards: this.type.cards, memory_gb: this.type.memory_gb };
    for (const { spec, phase } of this.tasks.values()) {
      if (phase === 'exited' || !spec) continue;
      for (const kind of Object.keys(free)) free[kind] -= spec[kind];
    }
    return free;
  }

  hasRoomFor(spec) {
    const free = this.free();
    return Object.keys(free).every((kind) => free[kind] - spec[kind] > -EPSILON);
  }

  launch(name, attempt) {
    const uid = name.slice(0, name.lastIndexOf('/'));
    const spec = this.world.specOf(uid);
    const task = { name, uid, attempt, spec, phase: 'fetching' };
    const isHere = [...this.tasks.values()].some(
      (other) => other.name === name && other.phase !== 'exited',
    );
    const fits = spec && this.hasRoomFor(spec);
    this.tasks.set(`${name}#${attempt}`, task);
    this.changed = true;
    this.event('launched', task);
    if (!spec) return this.exit(task, 'unknown');
    if (isHere) return this.exit(task, 'in_use');
    if (!fits) return this.exit(task, 'full');
    const fetchMs = this.images.has(spec.image)
      ? 1
      : (spec.image_gb / this.type.pull_gb_per_s) * 1000;
    this.later(task, fetchMs, () => {
      this.images.add(spec.image);
      this.run(task);
    });
  }

  run(task) {
    task.phase = 'running';
    this.changed = true;
    this.event('started', task);
    if (this.sick) return this.later(task, SICK_AFTER_MS, () => this.exit(task, 'error'));
    if (task.spec.shape === 'standing') return;
    const runMs = this.results.has(task.name)
      ? 1
      : this.world.runSecondsOf(task.uid, task.name) * 1000;
    this.later(task, runMs, () => {
      this.results.add(task.name);
      this.exit(task, 'done');
    });
  }

  halt(task, drainS) {
    if (task.phase === 'exited') return;
    const { spec } = task;
    const saves = task.phase === 'running' && spec.snapshot_s > 0 && drainS >= spec.flush_s;
    if (saves) {
      task.phase = 'saving';
      this.changed = true;
      this.event('saving', task);
      this.later(task, spec.flush_s * 1000, () => {
        task.kept = true;
        this.exit(task, 'halted');
      });
    } else if (task.phase !== 'saving' || drainS === 0) this.exit(task, 'halted');
  }

  later(task, ms, work) {
    clearTimeout(task.timer);
    task.timer = setTimeout(() => {
      if (this.tasks.get(`${task.name}#${task.attempt}`) === task && task.phase !== 'exited')
        work();
    }, ms);
  }

  exit(task, cause) {
    clearTimeout(task.timer);
    task.phase = 'exited';
    task.cause = cause;
    this.changed = true;
    this.event('exited', task);
  }

  killAll() {
    for (const task of this.tasks.values()) {
      clearTimeout(task.timer);
      if (task.phase === 'exited') continue;
      task.phase = 'exited';
      task.cause = 'killed';
      this.event('killed', task);
    }
    this.tasks = new Map();
  }

  event(kind, task) {
    const cause = task.cause ? ` (${task.cause})` : '';
    this.world.note(`${this.uid}: ${task.name} try ${task.attempt} ${kind}${cause}`);
    this.world.event(kind, this, task);
  }
}
