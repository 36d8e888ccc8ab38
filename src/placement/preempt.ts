/** Which tasks stop so that others can start: pure functions of a snapshot. */
import { allocationsOn, shouldRun, waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord } from '../model/job.js';
import {
  allowed,
  before,
  fits,
  isLexicographicallyLess,
  noteShortfall,
  PRIORITIES,
  quotaShare,
  suitsGpuUse,
  reserveResources,
  countUsage,
  withinLimit,
  withinQuota,
  zoneLimit,
  zonesOf,
  type Candidate,
  type Snapshot,
} from './plan.js';

export interface PreemptedTask {
  uid: string;
  task: number;
  machine: string;
}

interface Running {
  task: PreemptedTask;
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
        const stops = !shouldRun(job, task);
        // Only what can be stopped in one place, or is stopping anyway.
        if (stops || job.spec.kind !== 'gang' || job.spec.tasks === 1)
          here.push({ task: { uid, task, machine: id }, job, stops });
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
export function selectPreemptions(
  snapshot: Snapshot,
  waiting: { uid: string; job: JobRecord }[],
  on: RunningOn,
  most: number,
): PreemptedTask[] {
  const running = new Map<string, Running[]>();
  for (const place of snapshot.candidates) {
    const all = on.get(place.id) ?? [];
    for (const one of all.filter(({ stops }) => stops)) {
      reserveResources(one.job.spec, place.free, -1);
      countUsage(snapshot, one.job.spec, -1);
    }
    running.set(
      place.id,
      all.filter(({ stops }) => !stops),
    );
  }
  const out: PreemptedTask[] = [];
  // What found no room for one task finds none for another like it.
  const hopeless = new Set<string>();
  const lacking = waiting
    .filter(({ job }) => waitingCount(job) > 0 && (job.notBefore ?? 0) <= snapshot.wall)
    .sort((a, b) => before(snapshot, a, b));
  for (const { uid, job } of lacking) {
    if (job.spec.kind === 'gang' && job.spec.tasks > 1) continue;
    const kind = JSON.stringify([
      job.spec.team,
      job.spec.priority,
      job.spec.cpus,
      job.spec.gpus,
      job.spec.memoryGb,
      job.spec.machineTypes,
      job.spec.zone,
      job.spec.spot,
      // Where its tasks may go depends on where the others are.
      job.spec.spreadAcrossZones || job.spec.singleZone || job.avoidedMachines ? uid : '',
    ]);
    if (hopeless.has(kind)) continue;
    // Room in a zone that the job may not use is of no help: stopping for it would go on without end.
    const zones = zonesOf(snapshot, job, []);
    for (let left = waitingCount(job); left > 0; left--) {
      // Room that the own part of the limit keeps it from using is of no help either.
      if (withinLimit(snapshot, job.spec, 1) && !withinQuota(snapshot, job.spec, 1)) {
        noteShortfall(snapshot, job.spec, left);
        break;
      }
      // A team at its limit makes room for its own higher ranks first.
      const own = withinLimit(snapshot, job.spec, 1) ? [] : ownLower(snapshot, job, running);
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
      countUsage(snapshot, job.spec, 1);
    }
  }
  return out;
}

/** Lower-ranked tasks of the job's own team that must stop for its limit to hold one more; null if too few. */
function ownLower(
  snapshot: Snapshot,
  job: JobRecord,
  running: Map<string, Running[]>,
): PreemptedTask[] | null {
  const lower = [...running.values()]
    .flat()
    .filter(({ job: other }) => other.spec.team === job.spec.team && cost(other) > cost(job))
    .sort((a, b) => cost(b.job) - cost(a.job) || b.job.acceptedAt - a.job.acceptedAt);
  const stop: Running[] = [];
  for (const one of lower) {
    if (withinLimit(snapshot, job.spec, 1)) break;
    stop.push(one);
    countUsage(snapshot, one.job.spec, -1);
  }
  const enough = withinLimit(snapshot, job.spec, 1);
  if (!enough) for (const one of stop) countUsage(snapshot, one.job.spec, 1);
  if (!enough) return null;
  const places = new Map(snapshot.candidates.map((place) => [place.id, place]));
  for (const one of stop) {
    const { machine: box } = one.task;
    const place = places.get(box);
    if (place) reserveResources(one.job.spec, place.free, -1);
    running.set(
      box,
      (running.get(box) ?? []).filter((other) => other !== one),
    );
  }
  return stop.map((one) => one.task);
}

/** The cheapest way to room for one task: none to stop at all if enough is on its way. */
function makeRoom(
  snapshot: Snapshot,
  job: JobRecord,
  running: Map<string, Running[]>,
  zones: ReadonlyMap<string, number>,
  most: number,
): { stop: PreemptedTask[]; site: string } | null {
  const guaranteed =
    snapshot.enforcesGuarantees && quotaShare(snapshot, job.spec.team, job.spec) <= 1;
  const picky = snapshot.fitsWithoutGpus(job.spec);
  let best: { place: Candidate; stop: Running[]; key: number[] } | null = null;
  for (const place of snapshot.candidates) {
    if ((zones.get(place.zone) ?? 0) >= zoneLimit(job.spec)) continue;
    if (job.spec.singleZone && zones.size > 0 && !zones.has(place.zone)) continue;
    if (!allowed(job.spec, place) || job.avoidedMachines?.includes(place.id)) continue;
    if (!fits(job.spec, place.capacity) || (picky && !suitsGpuUse(job.spec, place.capacity)))
      continue;
    const free = { ...place.free };
    const stop: Running[] = [];
    const ranked = (running.get(place.id) ?? [])
      .filter((one) => mayStop(snapshot, one.job, job, guaranteed))
      .sort((a, b) => cost(b.job) - cost(a.job) || b.job.acceptedAt - a.job.acceptedAt);
    for (const one of ranked) {
      if (fits(job.spec, free)) break;
      stop.push(one);
      reserveResources(one.job.spec, free, -1);
    }
    if (!fits(job.spec, free) || stop.length > most) continue;
    const fetch = place.images.has(job.spec.image) ? 0 : 1;
    // A service would rather have more stopped than wait for its image.
    const key = job.spec.kind === 'service' ? [fetch, stop.length] : [stop.length, fetch];
    if (!best || isLexicographicallyLess(key, best.key)) best = { place, stop, key };
  }
  if (!best) return null;
  const { place, stop } = best;
  for (const one of stop) reserveResources(one.job.spec, place.free, -1);
  reserveResources(job.spec, place.free);
  running.set(
    place.id,
    (running.get(place.id) ?? []).filter((one) => !stop.includes(one)),
  );
  return { stop: stop.map((one) => one.task), site: place.zone };
}

/** The lowest rank stops first. */
function cost(job: JobRecord): number {
  return PRIORITIES.indexOf(job.spec.priority);
}

function mayStop(snapshot: Snapshot, other: JobRecord, job: JobRecord, within: boolean): boolean {
  if (PRIORITIES.indexOf(other.spec.priority) > PRIORITIES.indexOf(job.spec.priority)) return true;
  if (!within || other.spec.team === job.spec.team || other.spec.kind === 'service') return false;
  // Its team must stay beyond its guarantee even without this task.
  const used = snapshot.used.get(other.spec.team) ?? { cpus: 0, gpus: 0 };
  const limits = snapshot.teams.get(other.spec.team);
  return (
    limits !== undefined &&
    (used.cpus - other.spec.cpus >= limits.guaranteedCpus ||
      used.gpus - other.spec.gpus > limits.guaranteedGpus)
  );
}
