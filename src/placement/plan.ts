/** Which waiting task goes to which machine: pure functions of a snapshot. */
import { compareNames } from '../util/order.js';
import { allocationsOf, waitingCount } from '../model/job-lifecycle.js';
import type { RentalOffer } from '../model/machine.js';
import type { ResourceAmount } from '../model/resources.js';
import type { JobRecord, JobSpec, Priority } from '../model/job.js';
import type { QuotaShortfall } from '../domain/quota-sharing.js';
import { AGED, deadlineClasses, type Deadlines } from './urgency.js';

export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export interface Candidate {
  id: string;
  machineType: string;
  zone: string;
  spot: boolean;
  /** What the machine has in all. */
  capacity: Resources;
  /** What is neither used nor in doubt. Changed while planning. */
  free: Resources;
  images: ReadonlySet<string>;
}

export interface TeamQuota {
  guaranteedCpus: number;
  guaranteedGpus: number;
  cpuLimit: number;
  gpuLimit: number;
}

export interface Snapshot extends Deadlines {
  candidates: Candidate[];
  jobs: { uid: string; job: JobRecord }[];
  teams: Map<string, TeamQuota>;
  used: Map<string, ResourceAmount>;
  zoneOf(box: string): string;
  /** Zones in which controllers stand. */
  controllerZones: ReadonlySet<string>;
  /** Whether the operators state an aim for guarantees; only then is equal work stopped for them. */
  enforcesGuarantees: boolean;
  /** What the job's own team uses for lower ranks: none of that stands against it for good. */
  usageBelowPriority(job: JobRecord): ResourceAmount;
  /** Worked out on first use. */
  classes?: Map<string, number>;
  /** What each team may still use on these places; absent: only its limit counts. */
  quota?: Map<string, ResourceAmount>;
  /** Filled by the plan: what of the limits is kept for work that found no place, from lower ranks. */
  reserved?: Map<string, ResourceAmount>;
  /** Filled by the plan: what would have found a place but for `quota`. */
  shortfalls?: Map<string, QuotaShortfall>;
  /** Whether any machine type without cards could hold the task. */
  fitsWithoutGpus(spec: JobSpec): boolean;
}

export interface Placement {
  uid: string;
  machines: string[];
}

export const PRIORITIES: Priority[] = ['critical', 'urgent', 'standard', 'idle'];
const EPS = 1e-6;

export function fits(spec: JobSpec, free: Resources): boolean {
  return (
    spec.cpus <= free.cpus + EPS &&
    spec.gpus <= free.gpus + EPS &&
    spec.memoryGb <= free.memoryGb + EPS
  );
}

export function allowed(spec: JobSpec, place: RentalOffer): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(place.machineType)) &&
    (spec.zone === null || spec.zone === place.zone) &&
    (spec.spot || !place.spot)
  );
}

export function reserveResources(spec: JobSpec, free: Resources, times = 1): void {
  free.cpus -= spec.cpus * times;
  free.gpus -= spec.gpus * times;
  free.memoryGb -= spec.memoryGb * times;
}

/** Machines with cards are for work that uses them: whatever else stands there blocks a whole gang. */
export function suitsGpuUse(spec: JobSpec, size: Resources): boolean {
  return spec.gpus > 0 || size.gpus === 0;
}

/** How far a team is into its guarantee; above 1 it borrows. */
export function quotaShare(snapshot: Snapshot, team: string, spec: JobSpec): number {
  const limits = snapshot.teams.get(team);
  const used = snapshot.used.get(team) ?? { cpus: 0, gpus: 0 };
  const part = (amount: number, guarantee: number): number =>
    amount <= EPS ? 0 : guarantee > 0 ? amount / guarantee : Infinity;
  if (!limits) return Infinity;
  return Math.max(
    part(used.cpus + spec.cpus, limits.guaranteedCpus),
    spec.gpus > 0 ? part(used.gpus + spec.gpus, limits.guaranteedGpus) : 0,
  );
}

export function withinLimit(snapshot: Snapshot, spec: JobSpec, tasks: number): boolean {
  const limits = snapshot.teams.get(spec.team);
  const used = snapshot.used.get(spec.team) ?? { cpus: 0, gpus: 0 };
  const kept = snapshot.reserved?.get(spec.team) ?? { cpus: 0, gpus: 0 };
  return (
    limits !== undefined &&
    used.cpus + kept.cpus + spec.cpus * tasks <= limits.cpuLimit + EPS &&
    used.gpus + kept.gpus + spec.gpus * tasks <= limits.gpuLimit + EPS
  );
}

/** Whether the own part of the team's limit holds this many tasks more. */
export function withinQuota(snapshot: Snapshot, spec: JobSpec, tasks: number): boolean {
  if (!snapshot.quota) return true;
  const left = snapshot.quota.get(spec.team);
  return (
    left !== undefined &&
    spec.cpus * tasks <= left.cpus + EPS &&
    spec.gpus * tasks <= left.gpus + EPS
  );
}

export function noteShortfall(snapshot: Snapshot, spec: JobSpec, tasks: number): void {
  const amount = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks };
  const short = (snapshot.shortfalls ??= new Map<string, QuotaShortfall>());
  const known = short.get(spec.team);
  const all = {
    cpus: (known?.total.cpus ?? 0) + amount.cpus,
    gpus: (known?.total.gpus ?? 0) + amount.gpus,
  };
  const none = { cpus: 0, gpus: 0 };
  const whole = known?.indivisible ?? none;
  // Parts of a limit are dealt in fractions: without this, what is left of each, too small for a task, would
  // keep work waiting for good although the team is under its limit.
  const least =
    known && known.smallestTask.cpus <= spec.cpus
      ? known.smallestTask
      : { cpus: spec.cpus, gpus: spec.gpus };
  // An array can do with less; a gang cannot, and a replica ought not to wait for it.
  const first = spec.kind !== 'array' && whole.cpus === 0;
  const times = spec.kind === 'gang' ? tasks : 1;
  const unit = { cpus: spec.cpus * times, gpus: spec.gpus * times };
  short.set(spec.team, { total: all, indivisible: first ? unit : whole, smallestTask: least });
}

/** Notes what is used by tasks that are placed, or no longer used by tasks that are to stop. */
export function countUsage(snapshot: Snapshot, spec: JobSpec, tasks: number): void {
  const used = snapshot.used.get(spec.team) ?? { cpus: 0, gpus: 0 };
  snapshot.used.set(spec.team, {
    cpus: used.cpus + spec.cpus * tasks,
    gpus: used.gpus + spec.gpus * tasks,
  });
  const left = snapshot.quota?.get(spec.team);
  if (!left) return;
  left.cpus -= spec.cpus * tasks;
  left.gpus -= spec.gpus * tasks;
}

/** How urgent a job is in its rank, see `deadlineClasses`; worked out once for a snapshot. */
export function urgency(snapshot: Snapshot, uid: string): number {
  snapshot.classes ??= deadlineClasses(snapshot.jobs, snapshot);
  return snapshot.classes.get(uid) ?? 0;
}

/** Order inside a team: rank, then what can still be on time, then what is due first. */
export function before(
  snapshot: Snapshot,
  a: { uid: string; job: JobRecord },
  b: { uid: string; job: JobRecord },
): number {
  const due = ({ acceptedAt: at, spec: s }: JobRecord): number =>
    at + (s.deadlineSeconds === null ? 0 : s.deadlineSeconds * 1000);
  return (
    PRIORITIES.indexOf(a.job.spec.priority) - PRIORITIES.indexOf(b.job.spec.priority) ||
    urgency(snapshot, a.uid) - urgency(snapshot, b.uid) ||
    due(a.job) - due(b.job) ||
    a.job.acceptedAt - b.job.acceptedAt ||
    compareNames(a.uid, b.uid)
  );
}

/** An array that has only grown old begins with one task, so that it is not forgotten; the rest waits its turn. */
function begins(snapshot: Snapshot, { uid, job }: { uid: string; job: JobRecord }): boolean {
  return job.spec.kind === 'array' && urgency(snapshot, uid) === AGED;
}

/**
 * The array that has waited longest of those that have grown old without beginning. On a fleet that higher
 * ranks fill it would never begin in its own; one at a time goes before all ranks, and no more, since there
 * may be hundreds of them.
 */
function eldest(snapshot: Snapshot, jobs: { uid: string; job: JobRecord }[]): string | undefined {
  const old = jobs.filter((entry) => begins(snapshot, entry));
  return old.sort((a, b) => a.job.acceptedAt - b.job.acceptedAt || compareNames(a.uid, b.uid))[0]
    ?.uid;
}

/**
 * Serves the teams in turn: rank first, then teams within their guarantee, then the team that has the
 * least of its share. A job that finds no place is passed over, so that others may use what it cannot.
 */
export function plan(snapshot: Snapshot): Placement[] {
  const queues = new Map<string, { uid: string; job: JobRecord; left: number }[]>();
  const sorted = snapshot.jobs
    .map(({ uid, job }) => ({ uid, job, left: waitingCount(job) }))
    .filter(({ job, left }) => left > 0 && (job.notBefore ?? 0) <= snapshot.wall);
  const elder = eldest(snapshot, sorted);
  const leads = ({ uid }: { uid: string }): number => Number(uid === elder);
  sorted.sort((a, b) => leads(b) - leads(a) || before(snapshot, a, b));
  // Most of a fleet that has more to do than it can has no room at all.
  const least = sorted.reduce((cpus, { job }) => Math.min(cpus, job.spec.cpus), Infinity);
  const roomy = snapshot.candidates.filter((place) => place.free.cpus > least - EPS);
  for (const { uid, job, left } of sorted) {
    const queue = queues.get(job.spec.team);
    if (queue) queue.push({ uid, job, left });
    else queues.set(job.spec.team, [{ uid, job, left }]);
  }
  const placed = new Map<string, string[]>();
  for (;;) {
    let turn: { team: string; key: number[] } | null = null;
    for (const [team, queue] of queues) {
      const head = queue[0];
      if (!head) continue;
      const part = quotaShare(snapshot, team, head.job.spec);
      const key = [
        PRIORITIES.indexOf(head.job.spec.priority) - PRIORITIES.length * leads(head),
        part <= 1 + EPS ? 0 : 1,
        urgency(snapshot, head.uid),
        part,
      ];
      if (
        !turn ||
        isLexicographicallyLess(key, turn.key) ||
        (!isLexicographicallyLess(turn.key, key) && team < turn.team)
      )
        turn = { team, key };
    }
    if (!turn) break;
    const queue = queues.get(turn.team) ?? [];
    const head = queue[0];
    if (!head) break;
    const already = placed.get(head.uid) ?? [];
    const first = begins(snapshot, head);
    const left = first ? 1 : head.left;
    const boxes = chooseFor(snapshot, roomy, head.job, already, left);
    if (!boxes) {
      reserve(snapshot, roomy, head.uid, head.job, head.left);
      queue.shift();
      continue;
    }
    countUsage(snapshot, head.job.spec, boxes.length);
    placed.set(head.uid, [...already, ...boxes]);
    head.left -= boxes.length;
    if (head.left <= 0 || first) queue.shift();
  }
  return [...placed].map(([uid, machines]) => ({ uid, machines }));
}

/**
 * Keeps what lower ranks would take from a gang or service for ever: its part of the team's limit, as long
 * as lower ranks alone are in its way, and, for a gang that has grown old, the room that it has already.
 */
function reserve(
  snapshot: Snapshot,
  places: Candidate[],
  uid: string,
  job: JobRecord,
  tasks: number,
): void {
  const spec = job.spec;
  if (spec.kind === 'array') return;
  if (spec.kind === 'gang' && urgency(snapshot, uid) === AGED) {
    const open = places.filter((place) => allowed(spec, place) && fits(spec, place.free));
    for (const place of open.slice(0, tasks)) reserveResources(spec, place.free);
  }
  const limits = snapshot.teams.get(spec.team);
  const used = snapshot.used.get(spec.team) ?? { cpus: 0, gpus: 0 };
  const lower = snapshot.usageBelowPriority(job);
  if (!limits || used.cpus - lower.cpus + spec.cpus * tasks > limits.cpuLimit + EPS) return;
  if (used.gpus - lower.gpus + spec.gpus * tasks > limits.gpuLimit + EPS) return;
  const all = (snapshot.reserved ??= new Map<string, ResourceAmount>());
  const kept = all.get(spec.team) ?? { cpus: 0, gpus: 0 };
  all.set(spec.team, {
    cpus: kept.cpus + spec.cpus * tasks,
    gpus: kept.gpus + spec.gpus * tasks,
  });
}

/** Compares keys field by field. */
export function isLexicographicallyLess(a: number[], b: number[]): boolean {
  for (let at = 0; at < a.length; at++) {
    const one = a[at] ?? 0;
    const two = b[at] ?? 0;
    if (one !== two) return one < two;
  }
  return false;
}

/** How many tasks of the job may be in each zone, those in doubt counted. */
export function zonesOf(
  snapshot: Snapshot,
  job: JobRecord,
  more: Iterable<string>,
): Map<string, number> {
  const zones = new Map<string, number>();
  for (const box of [...[...allocationsOf(job)].map((stay) => stay.machine), ...more]) {
    const site = snapshot.zoneOf(box);
    zones.set(site, (zones.get(site) ?? 0) + 1);
  }
  return zones;
}

/** How many tasks of the job one zone may hold. */
export function zoneLimit(spec: JobSpec): number {
  return spec.spreadAcrossZones ? Math.ceil(spec.tasks / 2) : Infinity;
}

/**
 * Machines for the next tasks of an array (as many as one machine holds), for the next one of a service,
 * or for all tasks of a gang. Takes the room.
 */
function chooseFor(
  snapshot: Snapshot,
  places: Candidate[],
  job: JobRecord,
  already: string[],
  left: number,
): string[] | null {
  const spec = job.spec;
  const tasks = spec.kind === 'gang' ? spec.tasks : 1;
  if (!withinLimit(snapshot, spec, tasks)) return null;
  const zones = zonesOf(snapshot, job, already);
  const picky = snapshot.fitsWithoutGpus(spec);
  const open = places.filter(
    (place) =>
      allowed(spec, place) &&
      !job.avoidedMachines?.includes(place.id) &&
      fits(spec, place.free) &&
      (!picky || spec.kind !== 'service' || suitsGpuUse(spec, place.capacity)),
  );
  if (open.length === 0) return null;
  if (!withinQuota(snapshot, spec, tasks)) {
    noteShortfall(snapshot, spec, left);
    return null;
  }
  const only = zones.size > 0 ? [...zones.keys()] : [...new Set(open.map((place) => place.zone))];
  // With one_zone, each zone is tried by itself; otherwise all of them are one choice.
  const tries = spec.singleZone
    ? only.sort(compareNames).map((site) => open.filter((place) => place.zone === site))
    : [open];
  for (const candidates of tries) {
    const chosen: string[] = [];
    const count = new Map(zones);
    const taken: Candidate[] = [];
    while (chosen.length < tasks) {
      const place = best(snapshot, spec, candidates, count);
      if (!place) break;
      reserveResources(spec, place.free);
      taken.push(place);
      chosen.push(place.id);
      count.set(place.zone, (count.get(place.zone) ?? 0) + 1);
    }
    if (chosen.length === tasks) {
      // An array fetches its image once per machine; replicas would rather not share one's fate.
      if (spec.kind !== 'service')
        for (const place of taken) place.images = new Set([...place.images, spec.image]);
      const [place] = taken;
      if (spec.kind === 'array' && place) fill(snapshot, spec, place, left, chosen);
      return chosen;
    }
    for (const place of taken) reserveResources(spec, place.free, -1);
  }
  return null;
}

/** Puts as many further tasks of an array on a machine as it and the limits hold. */
function fill(
  snapshot: Snapshot,
  spec: JobSpec,
  place: Candidate,
  left: number,
  chosen: string[],
): void {
  while (
    chosen.length < left &&
    !spec.spreadAcrossZones &&
    fits(spec, place.free) &&
    withinLimit(snapshot, spec, chosen.length + 1) &&
    withinQuota(snapshot, spec, chosen.length + 1)
  ) {
    reserveResources(spec, place.free);
    chosen.push(place.id);
  }
}

/** Image first; then the machine with most free room. Cards are left to those who need them. */
function best(
  snapshot: Snapshot,
  spec: JobSpec,
  candidates: Candidate[],
  zones: Map<string, number>,
): Candidate | null {
  const most = zoneLimit(spec);
  const isService = spec.kind === 'service';
  let chosen: Candidate | null = null;
  // Two keys serve for all candidates: a plan compares some hundred thousand of them.
  let key: number[] = [];
  let mine: number[] = [];
  for (const place of candidates) {
    const inZone = zones.get(place.zone) ?? 0;
    if (inZone >= most || !fits(spec, place.free)) continue;
    mine[0] = suitsGpuUse(spec, place.capacity) ? 0 : 1;
    mine[1] = place.images.has(spec.image) ? 0 : 1;
    mine[2] = spec.spreadAcrossZones ? inZone : 0;
    // A service that may stand anywhere stands where a controller is: a cut between zones spares it.
    mine[3] = isService && !snapshot.controllerZones.has(place.zone) ? 1 : 0;
    mine[4] = spec.spot && !place.spot ? 1 : 0;
    mine[5] = -place.free.cpus / Math.max(place.capacity.cpus, EPS);
    if (
      !chosen ||
      isLexicographicallyLess(mine, key) ||
      (!isLexicographicallyLess(key, mine) && place.id < chosen.id)
    ) {
      chosen = place;
      [key, mine] = [mine, key];
    }
  }
  return chosen;
}
