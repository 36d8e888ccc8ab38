/** Which tasks stop so that others can start: pure functions of a snapshot. */
import { allocationsOn, waitingCount, wantsRunning } from '../jobs/life.js';
import type { JobRecord } from '../store/records.js';
import {
  allowed,
  before,
  fits,
  less,
  noteShort,
  PRIORITIES,
  share,
  suits,
  take,
  use,
  withinLimit,
  withinQuota,
  zoneLimit,
  zonesOf,
  type Candidate,
  type Snapshot,
} from './plan.js';

export interface Victim {
  uid: string;
  task: number;
  box: string;
}

interface Running {
  victim: Victim;
  job: JobRecord;
  /** Told to stop already, so its room is on its way. */
  stops: boolean;
}

/** Machine -> tasks on it that could stop or are stopping. */
export type RunningOn = ReadonlyMap<string, readonly Running[]>;

export function runningOn(
  places: readonly Candidate[],
  onBox: (box: string) => Iterable<string>,
  jobOf: (uid: string) => JobRecord | undefined,
): RunningOn {
  const running = new Map<string, Running[]>();
  for (const { id } of places) {
    const here: Running[] = [];
    for (const uid of onBox(id)) {
      const job = jobOf(uid);
      if (!job) continue;
      for (const { task } of allocationsOn(job, id)) {
        const stops = !wantsRunning(job, task);
        // Only what can be stopped in one place, or is stopping anyway.
        if (stops || job.s.shape !== 'group' || job.s.tasks === 1)
          here.push({ victim: { uid, task, box: id }, job, stops });
      }
    }
    running.set(id, here);
  }
  return running;
}

/**
 * For work that found no place: lower ranks make room for higher ones, and what a team runs beyond its
 * guarantee makes room for a team within its own. Tasks already told to stop count as room on its way.
 * `waiting` are the jobs to make room for, `on` says what runs on the places.
 * `snapshot` is the one that was planned with, so its places hold what is left.
 */
export function victims(
  snapshot: Snapshot,
  waiting: { uid: string; job: JobRecord }[],
  on: RunningOn,
  most: number,
): Victim[] {
  const running = new Map<string, Running[]>();
  for (const place of snapshot.candidates) {
    const all = on.get(place.id) ?? [];
    for (const one of all.filter(({ stops }) => stops)) {
      take(one.job.s, place.free, -1);
      use(snapshot, one.job.s, -1);
    }
    running.set(
      place.id,
      all.filter(({ stops }) => !stops),
    );
  }
  const out: Victim[] = [];
  // What found no room for one task finds none for another like it.
  const hopeless = new Set<string>();
  const lacking = waiting
    .filter(({ job }) => waitingCount(job) > 0 && (job.notBefore ?? 0) <= snapshot.wall)
    .sort((a, b) => before(snapshot, a, b));
  for (const { uid, job } of lacking) {
    if (job.s.shape === 'group' && job.s.tasks > 1) continue;
    const kind = JSON.stringify([
      job.s.owner,
      job.s.rank,
      job.s.cpus,
      job.s.cards,
      job.s.memory_gb,
      job.s.flavors,
      job.s.site,
      job.s.reclaimable,
      // Where its tasks may go depends on where the others are.
      job.s.spread || job.s.one_zone || job.avoid ? uid : '',
    ]);
    if (hopeless.has(kind)) continue;
    // Room in a zone that the job may not use is of no help: stopping for it would go on without end.
    const zones = zonesOf(snapshot, job, []);
    for (let left = waitingCount(job); left > 0; left--) {
      // Room that the own part of the limit keeps it from using is of no help either.
      if (withinLimit(snapshot, job.s, 1) && !withinQuota(snapshot, job.s, 1)) {
        noteShort(snapshot, job.s, left);
        break;
      }
      // A team at its limit makes room for its own higher ranks first.
      const own = withinLimit(snapshot, job.s, 1) ? [] : ownLower(snapshot, job, running);
      if (!own || own.length > most - out.length) {
        hopeless.add(kind);
        break;
      }
      const room = makeRoom(snapshot, job, running, zones, most - out.length - own.length);
      if (!room) {
        hopeless.add(kind);
        break;
      }
      out.push(...own, ...room.stop);
      zones.set(room.site, (zones.get(room.site) ?? 0) + 1);
      use(snapshot, job.s, 1);
    }
  }
  return out;
}

/** Lower-ranked tasks of the job's own team that must stop for its limit to hold one more; null if too few. */
function ownLower(
  snapshot: Snapshot,
  job: JobRecord,
  running: Map<string, Running[]>,
): Victim[] | null {
  const lower = [...running.values()]
    .flat()
    .filter(({ job: other }) => other.s.owner === job.s.owner && cost(other) > cost(job))
    .sort((a, b) => cost(b.job) - cost(a.job) || b.job.at - a.job.at);
  const stop: Running[] = [];
  for (const one of lower) {
    if (withinLimit(snapshot, job.s, 1)) break;
    stop.push(one);
    use(snapshot, one.job.s, -1);
  }
  const enough = withinLimit(snapshot, job.s, 1);
  if (!enough) for (const one of stop) use(snapshot, one.job.s, 1);
  if (!enough) return null;
  const places = new Map(snapshot.candidates.map((place) => [place.id, place]));
  for (const one of stop) {
    const { box } = one.victim;
    const place = places.get(box);
    if (place) take(one.job.s, place.free, -1);
    running.set(
      box,
      (running.get(box) ?? []).filter((other) => other !== one),
    );
  }
  return stop.map((one) => one.victim);
}

/** The cheapest way to room for one task: none to stop at all if enough is on its way. */
function makeRoom(
  snapshot: Snapshot,
  job: JobRecord,
  running: Map<string, Running[]>,
  zones: ReadonlyMap<string, number>,
  most: number,
): { stop: Victim[]; site: string } | null {
  const guaranteed = snapshot.guarantees && share(snapshot, job.s.owner, job.s) <= 1;
  const picky = snapshot.plainFits(job.s);
  let best: { place: Candidate; stop: Running[]; key: number[] } | null = null;
  for (const place of snapshot.candidates) {
    if ((zones.get(place.site) ?? 0) >= zoneLimit(job.s)) continue;
    if (job.s.one_zone && zones.size > 0 && !zones.has(place.site)) continue;
    if (!allowed(job.s, place) || job.avoid?.includes(place.id)) continue;
    if (!fits(job.s, place.size) || (picky && !suits(job.s, place.size))) continue;
    const free = { ...place.free };
    const stop: Running[] = [];
    const ranked = (running.get(place.id) ?? [])
      .filter((one) => mayStop(snapshot, one.job, job, guaranteed))
      .sort((a, b) => cost(b.job) - cost(a.job) || b.job.at - a.job.at);
    for (const one of ranked) {
      if (fits(job.s, free)) break;
      stop.push(one);
      take(one.job.s, free, -1);
    }
    if (!fits(job.s, free) || stop.length > most) continue;
    const fetch = place.images.has(job.s.image) ? 0 : 1;
    // A service would rather have more stopped than wait for its image.
    const key = job.s.shape === 'standing' ? [fetch, stop.length] : [stop.length, fetch];
    if (!best || less(key, best.key)) best = { place, stop, key };
  }
  if (!best) return null;
  const { place, stop } = best;
  for (const one of stop) take(one.job.s, place.free, -1);
  take(job.s, place.free);
  running.set(
    place.id,
    (running.get(place.id) ?? []).filter((one) => !stop.includes(one)),
  );
  return { stop: stop.map((one) => one.victim), site: place.site };
}

/** The lowest rank stops first. */
function cost(job: JobRecord): number {
  return PRIORITIES.indexOf(job.s.rank);
}

function mayStop(snapshot: Snapshot, other: JobRecord, job: JobRecord, within: boolean): boolean {
  if (PRIORITIES.indexOf(other.s.rank) > PRIORITIES.indexOf(job.s.rank)) return true;
  if (!within || other.s.owner === job.s.owner || other.s.shape === 'standing') return false;
  // Its team must stay beyond its guarantee even without this task.
  const used = snapshot.used.get(other.s.owner) ?? { cpus: 0, cards: 0 };
  const limits = snapshot.teams.get(other.s.owner);
  return (
    limits !== undefined &&
    (used.cpus - other.s.cpus >= limits.cpus || used.cards - other.s.cards > limits.cards)
  );
}
