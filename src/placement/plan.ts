/** Which waiting task goes to which machine: pure functions of a snapshot. */
import { compare } from '../domain/dealing.js';
import { stays, waitingCount } from '../jobs/life.js';
import type { JobRecord, JobSpec, Rank } from '../store/records.js';

export interface Room {
  cpus: number;
  cards: number;
  memory_gb: number;
}

export interface Place {
  id: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  /** What the machine has in all. */
  size: Room;
  /** What is neither used nor in doubt. Changed while planning. */
  free: Room;
  images: Set<string>;
}

export interface TeamShare {
  cpus: number;
  cards: number;
  cpusMax: number;
  cardsMax: number;
}

export interface Snapshot {
  wall: number;
  places: Place[];
  jobs: { uid: string; job: JobRecord }[];
  teams: Map<string, TeamShare>;
  used: Map<string, { cpus: number; cards: number }>;
  siteOf(box: string): string;
  /** Zones in which controllers stand. */
  homes: ReadonlySet<string>;
  /** Whether the operators state an aim for guarantees; only then is equal work stopped for them. */
  guarantees: boolean;
  /** Whether any machine type without cards could hold the task. */
  plainFits(spec: JobSpec): boolean;
}

export interface Placement {
  uid: string;
  boxes: string[];
}

export const RANKS: Rank[] = ['critical', 'urgent', 'standard', 'idle'];
const EPS = 1e-6;

export function fits(spec: JobSpec, free: Room): boolean {
  return (
    spec.cpus <= free.cpus + EPS &&
    spec.cards <= free.cards + EPS &&
    spec.memory_gb <= free.memory_gb + EPS
  );
}

export function allowed(
  spec: JobSpec,
  place: { flavor: string; site: string; reclaimable: boolean },
): boolean {
  return (
    (spec.flavors === null || spec.flavors.includes(place.flavor)) &&
    (spec.site === null || spec.site === place.site) &&
    (spec.reclaimable || !place.reclaimable)
  );
}

export function take(spec: JobSpec, free: Room, times = 1): void {
  free.cpus -= spec.cpus * times;
  free.cards -= spec.cards * times;
  free.memory_gb -= spec.memory_gb * times;
}

/** Machines with cards are for work that uses them: whatever else stands there blocks a whole gang. */
export function suits(spec: JobSpec, size: Room): boolean {
  return spec.cards > 0 || size.cards === 0;
}

/** How far a team is into its guarantee; above 1 it borrows. */
export function share(snapshot: Snapshot, team: string, spec: JobSpec): number {
  const limits = snapshot.teams.get(team);
  const used = snapshot.used.get(team) ?? { cpus: 0, cards: 0 };
  const part = (amount: number, guarantee: number): number =>
    amount <= EPS ? 0 : guarantee > 0 ? amount / guarantee : Infinity;
  if (!limits) return Infinity;
  return Math.max(
    part(used.cpus + spec.cpus, limits.cpus),
    spec.cards > 0 ? part(used.cards + spec.cards, limits.cards) : 0,
  );
}

export function withinLimit(snapshot: Snapshot, spec: JobSpec, tasks: number): boolean {
  const limits = snapshot.teams.get(spec.owner);
  const used = snapshot.used.get(spec.owner) ?? { cpus: 0, cards: 0 };
  return (
    limits !== undefined &&
    used.cpus + spec.cpus * tasks <= limits.cpusMax + EPS &&
    used.cards + spec.cards * tasks <= limits.cardsMax + EPS
  );
}

/** 0: can still be done by its deadline if all of it starts now; 1: cannot any more. */
function late(job: JobRecord, wall: number): number {
  if (job.s.due_s === null) return 0;
  return wall + job.s.expect_s * 1000 > job.at + job.s.due_s * 1000 ? 1 : 0;
}

/** Order inside a team: rank, then what can still be on time, then what is due first. */
export function before(a: JobRecord, b: JobRecord, wall: number): number {
  const due = (job: JobRecord): number => job.at + (job.s.due_s === null ? 0 : job.s.due_s * 1000);
  return (
    RANKS.indexOf(a.s.rank) - RANKS.indexOf(b.s.rank) ||
    late(a, wall) - late(b, wall) ||
    due(a) - due(b) ||
    a.at - b.at
  );
}

/**
 * Serves the teams in turn: rank first, then teams within their guarantee, then the team that has the
 * least of its share. A job that finds no place is passed over, so that others may use what it cannot.
 */
export function plan(snapshot: Snapshot): Placement[] {
  const queues = new Map<string, { uid: string; job: JobRecord; left: number }[]>();
  const sorted = [...snapshot.jobs].sort(
    (a, b) => before(a.job, b.job, snapshot.wall) || compare(a.uid, b.uid),
  );
  for (const { uid, job } of sorted) {
    const left = waitingCount(job);
    if (left === 0 || (job.notBefore ?? 0) > snapshot.wall) continue;
    const queue = queues.get(job.s.owner);
    if (queue) queue.push({ uid, job, left });
    else queues.set(job.s.owner, [{ uid, job, left }]);
  }
  const placed = new Map<string, string[]>();
  for (;;) {
    let turn: { team: string; key: number[] } | null = null;
    for (const [team, queue] of queues) {
      const head = queue[0];
      if (!head) continue;
      const part = share(snapshot, team, head.job.s);
      const key = [
        RANKS.indexOf(head.job.s.rank),
        part <= 1 + EPS ? 0 : 1,
        late(head.job, snapshot.wall),
        part,
      ];
      if (!turn || less(key, turn.key) || (!less(turn.key, key) && team < turn.team))
        turn = { team, key };
    }
    if (!turn) break;
    const queue = queues.get(turn.team) ?? [];
    const head = queue[0];
    if (!head) break;
    const already = placed.get(head.uid) ?? [];
    const boxes = chooseFor(snapshot, head.job, already);
    if (!boxes) {
      queue.shift();
      continue;
    }
    const used = snapshot.used.get(head.job.s.owner) ?? { cpus: 0, cards: 0 };
    snapshot.used.set(head.job.s.owner, {
      cpus: used.cpus + head.job.s.cpus * boxes.length,
      cards: used.cards + head.job.s.cards * boxes.length,
    });
    placed.set(head.uid, [...already, ...boxes]);
    head.left -= boxes.length;
    if (head.left <= 0) queue.shift();
  }
  return [...placed].map(([uid, boxes]) => ({ uid, boxes }));
}

/** Compares keys field by field. */
export function less(a: number[], b: number[]): boolean {
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
  for (const box of [...[...stays(job)].map((stay) => stay.box), ...more]) {
    const site = snapshot.siteOf(box);
    zones.set(site, (zones.get(site) ?? 0) + 1);
  }
  return zones;
}

/** How many tasks of the job one zone may hold. */
export function zoneLimit(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
}

/** Machines for the next task of an array or service, or for all tasks of a gang. Takes the room. */
function chooseFor(snapshot: Snapshot, job: JobRecord, already: string[]): string[] | null {
  const spec = job.s;
  const tasks = spec.shape === 'group' ? spec.tasks : 1;
  if (!withinLimit(snapshot, spec, tasks)) return null;
  const zones = zonesOf(snapshot, job, already);
  const picky = snapshot.plainFits(spec);
  const open = snapshot.places.filter(
    (place) =>
      allowed(spec, place) &&
      !job.avoid?.includes(place.id) &&
      fits(spec, place.free) &&
      (!picky || spec.shape !== 'standing' || suits(spec, place.size)),
  );
  if (open.length === 0) return null;
  const only = zones.size > 0 ? [...zones.keys()] : [...new Set(open.map((place) => place.site))];
  // With one_zone, each zone is tried by itself; otherwise all of them are one choice.
  const tries = spec.one_zone
    ? only.sort(compare).map((site) => open.filter((place) => place.site === site))
    : [open];
  for (const candidates of tries) {
    const chosen: string[] = [];
    const count = new Map(zones);
    const taken: Place[] = [];
    while (chosen.length < tasks) {
      const place = best(snapshot, spec, candidates, count);
      if (!place) break;
      take(spec, place.free);
      taken.push(place);
      chosen.push(place.id);
      count.set(place.site, (count.get(place.site) ?? 0) + 1);
    }
    if (chosen.length === tasks) {
      // An array fetches its image once per machine; replicas would rather not share one's fate.
      if (spec.shape !== 'standing') for (const place of taken) place.images.add(spec.image);
      return chosen;
    }
    for (const place of taken) take(spec, place.free, -1);
  }
  return null;
}

/** Image first; then the machine with most free room. Cards are left to those who need them. */
function best(
  snapshot: Snapshot,
  spec: JobSpec,
  candidates: Place[],
  zones: Map<string, number>,
): Place | null {
  const most = zoneLimit(spec);
  let chosen: Place | null = null;
  let key: number[] = [];
  for (const place of candidates) {
    if (!fits(spec, place.free) || (zones.get(place.site) ?? 0) >= most) continue;
    const wasteful = suits(spec, place.size) ? 0 : 1;
    // A service that may stand anywhere stands where a controller is: a cut between zones spares it.
    const remote = spec.shape === 'standing' && !snapshot.homes.has(place.site) ? 1 : 0;
    const scarce = spec.reclaimable && !place.reclaimable ? 1 : 0;
    const room = place.free.cpus / Math.max(place.size.cpus, EPS);
    const mine = [
      wasteful,
      place.images.has(spec.image) ? 0 : 1,
      spec.spread ? (zones.get(place.site) ?? 0) : 0,
      remote,
      scarce,
      -room,
    ];
    if (!chosen || less(mine, key) || (!less(key, mine) && place.id < chosen.id)) {
      chosen = place;
      key = mine;
    }
  }
  return chosen;
}
