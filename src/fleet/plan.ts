/** What to rent and what to give back: pure functions of a snapshot. */
import { waitingCount } from '../model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import { fits, isAllowedOn as allowed, reserveResources } from '../model/fit.js';
import { plan } from '../placement/plan.js';
import { PRIORITIES } from '../placement/priority.js';
import { isLexicographicallyLess } from '../placement/sort-key.js';
import type { Candidate, Snapshot } from '../placement/types.js';
import { countTasksByZone as zonesOf, maxTasksPerZone as zoneLimit } from '../placement/zones.js';

export interface RentalOffer {
  machineType: string;
  zone: string;
  spot: boolean;
}

export const offerKey = (offer: RentalOffer): string =>
  `${offer.machineType} ${offer.zone} ${offer.spot ? 'spot' : 'ordinary'}`;

/** How many tasks of the job are worth having room for at once. */
export function worthHaving(job: JobRecord, waiting: number, wall: number): number {
  const { spec: s } = job;
  if (s.kind !== 'array' || s.deadlineSeconds === null || s.expectedSeconds <= 0) return waiting;
  const left = (job.acceptedAt + s.deadlineSeconds * 1000 - wall) / 1000;
  // Late already: as wide as it goes. Otherwise as wide as it takes, with half as much again in reserve.
  const rounds = Math.floor(left / (s.expectedSeconds * 1.5));
  return rounds < 1 ? waiting : Math.min(waiting, Math.ceil(waiting / rounds));
}

/**
 * Offers to take up so that what waits can run, beyond what the given places (booting ones too) hold; and
 * the machines that what waits will use.
 */
export function wantedRentals(
  snapshot: Snapshot,
  flavors: ReadonlyMap<string, MachineType>,
  refused: ReadonlySet<string>,
  most: number,
): { offers: RentalOffer[]; needed: Set<string> } {
  const placements = plan(snapshot);
  const placed = new Map(placements.map(({ jobId, machineIds }) => [jobId, machineIds.length]));
  const needed = new Set(placements.flatMap(({ machineIds }) => machineIds));
  const offers: RentalOffer[] = [];
  const offersAt = new Map<string, number>();
  const extra: Candidate[] = [];
  /** Kind of work -> tasks that find no place and could stand beside it. */
  const beside = new Map<string, number>();
  const jobs = [...snapshot.jobs].sort(
    (a, b) =>
      PRIORITIES.indexOf(a.job.spec.priority) - PRIORITIES.indexOf(b.job.spec.priority) ||
      a.job.acceptedAt - b.job.acceptedAt,
  );
  for (const { jobId: uid, job } of jobs) {
    const waiting = waitingCount(job);
    if (waiting === 0) continue;
    const spec = job.spec;
    let lacking = worthHaving(job, waiting, snapshot.wallClockMs) - (placed.get(uid) ?? 0);
    const limits = snapshot.teams.get(spec.team);
    const used = snapshot.usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    if (!limits) continue;
    // What its own team could stop for it does not stand against it.
    const lower = snapshot.usageBelowPriority(job);
    if (spec.cpus > 0)
      lacking = Math.min(
        lacking,
        Math.floor((limits.cpuLimit + lower.cpus - used.cpus) / spec.cpus + 1e-6),
      );
    if (spec.gpus > 0)
      lacking = Math.min(
        lacking,
        Math.floor((limits.gpuLimit + lower.gpus - used.gpus) / spec.gpus + 1e-6),
      );
    const zones = zonesOf(snapshot, job, []);
    // Others fill up what this job leaves of a machine.
    const kind = `${String(spec.gpus > 0)} ${String(spec.spot)}`;
    let demand = beside.get(kind) ?? waitingTasks(snapshot, placed, spec);
    beside.set(kind, demand);
    const mostHere = zoneLimit(spec);
    const open = (place: RentalOffer): boolean =>
      allowed(spec, place) && (zones.get(place.zone) ?? 0) < mostHere;
    const priced = pricesFor(spec, flavors);
    // Room only shrinks and zones only fill up: what has no place for one task has none for the job's others.
    let next = 0;
    while (lacking > 0) {
      let place: Candidate | undefined;
      for (; next < extra.length; next++) {
        const candidate = extra[next];
        if (!candidate || !open(candidate) || !fits(spec, candidate.free)) continue;
        place = candidate;
        break;
      }
      if (!place) {
        if (offers.length >= most) return { offers, needed };
        const offer = cheapest(spec, Math.max(lacking, demand), priced, {
          refused,
          offersByZone: offersAt,
          open,
          zones,
        });
        if (!offer) break;
        const flavor = flavors.get(offer.machineType);
        if (!flavor) break;
        const size = { cpus: flavor.cpus, gpus: flavor.gpus, memoryGb: flavor.memoryGb };
        place = { id: '', ...offer, capacity: size, free: { ...size }, images: new Set() };
        extra.push(place);
        offers.push(offer);
        offersAt.set(offer.zone, (offersAt.get(offer.zone) ?? 0) + 1);
      }
      reserveResources(spec, place.free);
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
      zones.set(place.zone, (zones.get(place.zone) ?? 0) + 1);
      lacking--;
      demand--;
    }
    snapshot.usageByTeam.set(spec.team, used);
  }
  return { offers, needed };
}

/** Tasks of any job that find no place and could stand beside this one's. */
function waitingTasks(
  snapshot: Snapshot,
  placed: ReadonlyMap<string, number>,
  spec: JobSpec,
): number {
  let tasks = 0;
  for (const { jobId: uid, job } of snapshot.jobs)
    if (job.spec.gpus > 0 === spec.gpus > 0 && (job.spec.spot || !spec.spot))
      tasks += waitingCount(job) - (placed.get(uid) ?? 0);
  return tasks;
}

/** A machine much dearer for its use than an ordinary one made for it is not worth having. */
const MOST_TIMES_FAIR = 3;

export function tasksPerMachine(spec: JobSpec, flavor: MachineType): number {
  const per = (have: number, need: number): number => (need > 0 ? have / need : Infinity);
  return Math.floor(
    Math.min(
      per(flavor.cpus, spec.cpus),
      per(flavor.gpus, spec.gpus),
      per(flavor.memoryGb, spec.memoryGb),
    ) + 1e-6,
  );
}

/** What a kind of task costs on each type of machine that it may run on and fits. */
interface Prices {
  machineTypes: { flavor: MachineType; holds: number }[];
  /** The most that is paid for a task. */
  most: number;
  /** Boot time of the type that is up soonest, in seconds. */
  quickestS: number;
}

function pricesFor(spec: JobSpec, flavors: ReadonlyMap<string, MachineType>): Prices {
  const fitting = [...flavors.values()]
    .map((flavor) => ({ flavor, holds: tasksPerMachine(spec, flavor) }))
    .filter(({ holds }) => holds > 0);
  const ordinary = fitting
    .filter(({ flavor }) => spec.machineTypes === null || spec.machineTypes.includes(flavor.name))
    .map(({ flavor, holds }) => flavor.pricePerHour / holds);
  return {
    machineTypes: fitting,
    // What a task costs on the cheapest ordinary machine that is made for its kind, times what is still worth it.
    most: Math.min(...ordinary) * MOST_TIMES_FAIR,
    quickestS: Math.min(...[...flavors.values()].map((flavor) => flavor.bootSeconds)),
  };
}

interface Market {
  refused: ReadonlySet<string>;
  /** Zone -> offers that are to be taken up there already. */
  offersByZone: ReadonlyMap<string, number>;
  open(offer: RentalOffer): boolean;
  /** Zone -> tasks of the job there. */
  zones: ReadonlyMap<string, number>;
}

function cheapest(
  spec: JobSpec,
  lacking: number,
  { machineTypes: flavors, most, quickestS }: Prices,
  { refused, offersByZone: offersAt, open, zones }: Market,
): RentalOffer | null {
  let best: { offer: RentalOffer; key: number[] } | null = null;
  for (const { flavor, holds } of flavors) {
    const count = Math.min(holds, lacking);
    if (count < 1) continue;
    // What waits longer for its machine pays for it in another way.
    const delay = Math.sqrt(flavor.bootSeconds / Math.max(quickestS, 1e-3));
    for (const site of flavor.zones)
      for (const reclaimable of spec.spot ? [true, false] : [false]) {
        const offer = { machineType: flavor.name, zone: site, spot: reclaimable };
        const price = reclaimable
          ? (flavor.spotPricePerHour ?? flavor.pricePerHour)
          : flavor.pricePerHour;
        if (refused.has(offerKey(offer)) || !open(offer)) continue;
        if (price / holds > most) continue;
        const key = [
          spec.spreadAcrossZones ? (zones.get(site) ?? 0) : 0,
          (price / count) * delay,
          offersAt.get(site) ?? 0,
        ];
        if (!best || isLexicographicallyLess(key, best.key)) best = { offer, key };
      }
  }
  return best?.offer ?? null;
}

/**
 * Idle machines that can go: the dearest first, as long as enough room stays free for what comes next.
 */
export function surplusMachines(
  idle: Candidate[],
  freeCpus: number,
  usedCpus: number,
  rate: (place: Candidate) => number,
): Candidate[] {
  const reserve = usedCpus / 4;
  const out: Candidate[] = [];
  let free = freeCpus;
  for (const place of [...idle].sort((a, b) => rate(b) - rate(a))) {
    const cpuOnly = place.capacity.gpus === 0;
    if (cpuOnly && free - place.capacity.cpus < reserve) continue;
    if (cpuOnly) free -= place.capacity.cpus;
    out.push(place);
  }
  return out;
}
