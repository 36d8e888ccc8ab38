import type { JobSpec } from '../../src/model/job.js';

/** Troubles over, a job that is not over and has no question answered for this long is forgotten. */
const FORGOTTEN_MS = 75_000;

/** Troubles over, no job waits for this long while a machine that fits has room and its team is under its limit. */
const WAIT_MS = 90_000;
/** The largest jobs of a class, too, begin within this time. */
const LARGEST_MS = 240_000;

/** A machine that is up, with the room on it. */
export interface Room {
  box: string;
  facts: BoxFacts;
  free: { cpus: number; gpus: number; memoryGb: number };
}

export interface Limits {
  teams: Map<string, { cpus: number; gpus: number }>;
  cancelMs: number;
}

export interface BoxFacts {
  flavor: string;
  site: string;
  reclaimable: boolean;
}

interface Stay {
  uid: string;
  task: number;
  box: string;
}

/** Watches a simulated world and notes every broken rule of the protocol. */
export class Checker {
  readonly broken: string[] = [];
  private readonly jobs = new Map<string, JobSpec>();
  private readonly on = new Map<string, Stay>();
  private readonly told = new Map<string, string>();
  /** Job -> the final state that some node told first, and when. */
  private readonly final = new Map<string, { phase: string; at: number }>();
  /** What holds room on machines, from the launch on: images being fetched count, unheard machines too. */
  private readonly occupied = new Map<string, Stay>();
  /** Teams over their limit now, what is being fetched counted. */
  private readonly over = new Set<string>();
  private readonly asked = new Set<string>();
  private readonly heardAt = new Map<string, number>();
  /** Job -> when a user was first told that it is accepted. */
  private readonly acceptedAt = new Map<string, number>();
  private readonly lost = new Set<string>();
  /** When the last trouble was over. */
  troublesOver = 0;
  /** Job -> when a user was first told that it is cancelled. */
  readonly cancelled = new Map<string, number>();
  private readonly done = new Map<string, Set<number>>();
  /** Jobs that can never run or lack a field: none may be accepted. */
  private readonly impossible = new Set<string>();
  private readonly submittedAt = new Map<string, number>();
  /** Job -> machine -> since when the job has waited though that machine has room for it. */
  private readonly idleSince = new Map<string, Map<string, number>>();
  /** Starts after a user was told that the job is cancelled: how long after. */
  readonly lateStarts: number[] = [];
  /** Every start, in order. */
  readonly starts: { box: string; uid: string; now: number }[] = [];

  constructor(private readonly limits: Limits) {}

  private note(rule: string, what: string, now: number): void {
    this.broken.push(`${rule} at ${String(Math.round(now))}: ${what}`);
  }

  submitted(uid: string, spec: JobSpec, now = 0): void {
    this.jobs.set(uid, spec);
    this.submittedAt.set(uid, now);
  }

  /** A submission that no controller may accept. */
  submittedWrong(uid: string): void {
    this.impossible.add(uid);
  }

  withdrawAsked(uid: string): void {
    this.asked.add(uid);
  }

  /**
   * What a user was answered: a status, and the phase if there was one. What was asked before a final state
   * was told may get an older answer after it, but never another final state.
   */
  answered(
    uid: string,
    status: number,
    phase: string | null,
    now: number,
    askedAt: number = now,
  ): void {
    if (status === 200 || status === 201) {
      this.checkAnswer(uid, phase, now, askedAt);
      this.told.set(uid, this.final.get(uid)?.phase ?? phase ?? 'pending');
      this.heardAt.set(uid, now);
      if (!this.acceptedAt.has(uid)) this.acceptedAt.set(uid, now);
      if (phase === 'cancelled' && !this.cancelled.has(uid)) this.cancelled.set(uid, now);
    } else if (
      (status === 404 || status === 400 || status === 422) &&
      askedAt >= (this.acceptedAt.get(uid) ?? Infinity)
    ) {
      this.note('forgotten', `${uid}: ${String(status)}`, now);
    }
  }

  private checkAnswer(uid: string, phase: string | null, now: number, askedAt: number): void {
    if (this.impossible.has(uid)) this.note('accepted_wrong', uid, now);
    else if (!this.jobs.has(uid)) this.note('invented', uid, now);
    const isFinal = phase === 'done' || phase === 'cancelled';
    const final = this.final.get(uid);
    if (final && phase !== final.phase && (isFinal || askedAt >= final.at))
      this.note('went_back', `${uid}: ${final.phase}, then ${String(phase)}`, now);
    if (isFinal && !final) this.final.set(uid, { phase, at: now });
    if (phase === 'cancelled' && !this.asked.has(uid))
      this.note('went_back', `${uid}: cancelled without being asked`, now);
    if (phase === 'done' && (this.done.get(uid)?.size ?? 0) < (this.jobs.get(uid)?.tasks ?? 0))
      this.note('not_done', uid, now);
  }

  /** A worker has taken up a launch: from now on the task holds room, before its image is there too. */
  launched(box: string, uid: string, task: number, attempt: number, now: number): void {
    this.occupied.set(`${box} ${uid}/${String(task)}#${String(attempt)}`, { uid, task, box });
    const team = this.jobs.get(uid)?.team;
    if (team === undefined) return;
    const isOver = this.exceeds(team, this.useOf(team, this.occupied.values()));
    if (isOver && !this.over.has(team))
      this.note('quota', `${team} with what is being fetched, by ${uid} on ${box}`, now);
    if (isOver) this.over.add(team);
    else this.over.delete(team);
  }

  /** What holds room on machines now, for a reader of a finding. */
  occupying(): string[] {
    return [...this.occupied.keys()].sort();
  }

  /** The task holds no room on that machine any more. */
  vacated(box: string, uid: string, task: number, attempt: number): void {
    this.occupied.delete(`${box} ${uid}/${String(task)}#${String(attempt)}`);
  }

  start(box: string, facts: BoxFacts, uid: string, task: number, now: number): void {
    this.starts.push({ box, uid, now });
    const spec = this.jobs.get(uid);
    const name = `${uid}/${String(task)}`;
    if (!spec) {
      this.note('invented', `${name} starts`, now);
      return;
    }
    const others = [...this.on.values()].filter((stay) => stay.uid === uid);
    for (const stay of others)
      if (stay.task === task && stay.box !== box)
        this.note('ran_twice', `${name} on ${box} and ${stay.box}`, now);
    const cancelledAt = this.cancelled.get(uid);
    if (cancelledAt !== undefined) this.lateStarts.push(now - cancelledAt);
    if (cancelledAt !== undefined && now > cancelledAt + this.limits.cancelMs)
      this.note('ran_cancelled', `${name} starts`, now);
    const sites = others.map((stay) => this.facts.get(stay.box)?.site ?? '');
    this.facts.set(box, facts);
    if (!allowedAt(spec, facts, sites)) this.note('wrong_place', `${name} on ${box}`, now);
    this.on.set(`${box} ${name}`, { uid, task, box });
    this.checkQuota(spec.team, now);
  }

  private readonly facts = new Map<string, BoxFacts>();

  private checkQuota(team: string, now: number): void {
    const used = this.usedBy(team);
    if (this.exceeds(team, used))
      this.note('quota', `${team} uses ${String(used.cpus)} cpus, ${String(used.gpus)} gpus`, now);
  }

  private exceeds(team: string, used: { cpus: number; gpus: number }): boolean {
    const limit = this.limits.teams.get(team) ?? { cpus: 0, gpus: 0 };
    return used.cpus > limit.cpus + 1e-6 || used.gpus > limit.gpus + 1e-6;
  }

  private usedBy(team: string): { cpus: number; gpus: number } {
    return this.useOf(team, this.on.values());
  }

  private useOf(team: string, stays: Iterable<Stay>): { cpus: number; gpus: number } {
    const used = { cpus: 0, gpus: 0 };
    for (const stay of stays) {
      const spec = this.jobs.get(stay.uid);
      if (spec?.team !== team) continue;
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
    }
    return used;
  }

  /** What is on machines now. */
  running(): readonly Stay[] {
    return [...this.on.values()];
  }

  end(box: string, uid: string, task: number, completed: boolean): void {
    this.on.delete(`${box} ${uid}/${String(task)}`);
    if (!completed) return;
    const done = this.done.get(uid) ?? new Set();
    done.add(task);
    this.done.set(uid, done);
  }

  /** A look at the world as a whole, at any time. */
  look(now: number, rooms: readonly Room[] = []): void {
    this.checkForgotten(now);
    if (now >= this.troublesOver) this.checkWaiting(now, rooms);
    for (const stay of this.on.values()) {
      const cancelledAt = this.cancelled.get(stay.uid);
      if (cancelledAt !== undefined && now > cancelledAt + this.limits.cancelMs)
        this.note('ran_cancelled', `${stay.uid}/${String(stay.task)} still on ${stay.box}`, now);
    }
  }

  private checkForgotten(now: number): void {
    for (const [uid, phase] of this.told) {
      if (phase === 'done' || phase === 'cancelled' || this.asked.has(uid) || this.lost.has(uid))
        continue;
      const since = Math.max(this.heardAt.get(uid) ?? 0, this.troublesOver);
      if (now - since <= FORGOTTEN_MS) continue;
      this.lost.add(uid);
      this.note('forgotten', `${uid}: no question answered`, now);
    }
  }

  private checkWaiting(now: number, rooms: readonly Room[]): void {
    for (const [uid, phase] of this.told) {
      const spec = this.jobs.get(uid);
      const over = phase === 'done' || phase === 'cancelled' || this.asked.has(uid);
      const fitting = spec && !over ? this.fitting(uid, spec, rooms) : [];
      const before = this.idleSince.get(uid);
      const since = new Map(fitting.map((box) => [box, before?.get(box) ?? now]));
      this.idleSince.set(uid, since);
      if (![...since.values()].some((at) => now - at > WAIT_MS)) continue;
      this.note('waited', `${uid}: there was room`, now);
      this.idleSince.delete(uid);
    }
  }

  /**
   * Machines with room for a task of the job that waits, its team being under its limit. A gang waits for
   * room for all its tasks: once there is, that counts as one machine.
   */
  private fitting(uid: string, spec: JobSpec, rooms: readonly Room[]): string[] {
    const on = [...this.on.values()].filter((stay) => stay.uid === uid);
    const done = this.done.get(uid)?.size ?? 0;
    if (spec.kind === 'gang' ? on.length > 0 || done > 0 : on.length + done >= spec.tasks)
      return [];
    const tasks = spec.kind === 'gang' ? spec.tasks : 1;
    const limit = this.limits.teams.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const used = this.usedBy(spec.team);
    if (limit.cpus - used.cpus < tasks * spec.cpus || limit.gpus - used.gpus < tasks * spec.gpus)
      return [];
    const taken = on.map((stay) => this.facts.get(stay.box)?.site ?? '');
    const boxes: string[] = [];
    const sites = new Map<string, number>();
    for (const { box, facts, free } of rooms) {
      if (!allowedAt(spec, facts, taken)) continue;
      const fit = [
        spec.cpus > 0 ? free.cpus / spec.cpus : Infinity,
        spec.gpus > 0 ? free.gpus / spec.gpus : Infinity,
        spec.memoryGb > 0 ? free.memoryGb / spec.memoryGb : Infinity,
      ];
      const count = Math.floor(Math.min(...fit) + 1e-9);
      if (count > 0) boxes.push(box);
      sites.set(facts.site, (sites.get(facts.site) ?? 0) + count);
    }
    if (spec.kind !== 'gang') return boxes;
    const held = [...sites.values()].map((count) =>
      spec.spreadAcrossZones ? Math.min(count, Math.ceil(spec.tasks / 2)) : count,
    );
    const room = spec.singleZone
      ? Math.max(0, ...held)
      : held.reduce((sum, count) => sum + count, 0);
    return room >= tasks ? ['all'] : [];
  }

  /** Class -> tasks of its largest jobs. */
  private largest(): Map<string, number> {
    const largest = new Map<string, number>();
    for (const { jobClass: jobclass, tasks } of this.jobs.values())
      largest.set(jobclass, Math.max(largest.get(jobclass) ?? 0, tasks));
    return largest;
  }

  /** Largest jobs of a class that began later than they should, or have not although it is time. */
  late(now: number): string[] {
    const largest = this.largest();
    return [...this.jobs]
      .filter(([uid, spec]) => {
        if (spec.tasks !== largest.get(spec.jobClass) || this.asked.has(uid)) return false;
        if (!this.told.has(uid)) return false;
        const begun = this.starts.find((start) => start.uid === uid)?.now ?? now;
        return begun - (this.submittedAt.get(uid) ?? 0) > LARGEST_MS;
      })
      .map(([uid]) => uid);
  }

  /** Classes, teams and largest jobs of a class of which less than half have begun. */
  unserved(): string[] {
    const begun = new Set(this.starts.map(({ uid }) => uid));
    const groups = new Map<string, string[]>();
    const largest = this.largest();
    for (const [uid, { jobClass: jobclass, team: owner, tasks }] of this.jobs) {
      if (this.asked.has(uid) || !this.told.has(uid)) continue;
      const names = [`class ${jobclass}`, `team ${owner}`];
      if (tasks === largest.get(jobclass)) names.push(`largest of ${jobclass}`);
      for (const name of names) groups.set(name, [...(groups.get(name) ?? []), uid]);
    }
    return [...groups]
      .filter(([, uids]) => uids.filter((uid) => begun.has(uid)).length * 2 < uids.length)
      .map(([name]) => name);
  }

  finish(): void {
    if (this.jobs.size > 0 && this.starts.length === 0)
      this.note('nothing_ran', 'no task started', 0);
  }
}

/** Whether a task of the job may start there while its others are in these zones. */
function allowedAt(spec: JobSpec, facts: BoxFacts, sites: readonly string[]): boolean {
  const here = sites.filter((site) => site === facts.site).length;
  return (
    (!spec.machineTypes || spec.machineTypes.includes(facts.flavor)) &&
    (spec.zone === null || spec.zone === facts.site) &&
    (spec.spot || !facts.reclaimable) &&
    (!spec.singleZone || here === sites.length) &&
    (!spec.spreadAcrossZones || here + 1 <= Math.ceil(spec.tasks / 2))
  );
}
