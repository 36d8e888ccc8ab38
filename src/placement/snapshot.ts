import type { MachineType } from '../cloud/client.js';
import type { Settings } from '../config/settings.js';
import type { MachineRecord, JobRecord } from '../store/records.js';
import type { State } from '../store/state.js';
import type { QueueUsage } from './usage.js';
import { fits, take, type Candidate, type Snapshot, type TeamShare } from './plan.js';
import type { Deadlines } from './urgency.js';

/**
 * A limit of 0 is none (DEPLOY: "0 means none"): such a team has no guarantee and no limit, and takes what
 * nobody else wants. Large enough for any fleet, small enough to be dealt in parts without rounding.
 */
const NO_LIMIT = 1e8;

export function teamShares(settings: Settings): Map<string, TeamShare> {
  return new Map(
    settings.settings.teams.map((team) => [
      team.name,
      {
        cpus: team.cpus,
        cards: team.gpus,
        cpusMax: team.cpus_max > 0 ? team.cpus_max : NO_LIMIT,
        cardsMax: team.gpus_max > 0 ? team.gpus_max : NO_LIMIT,
      },
    ]),
  );
}

/** A machine as the planner sees it: what is recorded on it counts, whether or not it has begun. */
export function placeOf(
  id: string,
  box: MachineRecord,
  flavor: MachineType,
  uids: Iterable<string>,
  jobOf: (uid: string) => JobRecord | undefined,
  cached: ReadonlySet<string> | undefined,
): Candidate {
  const size = { cpus: flavor.cpus, cards: flavor.cards, memory_gb: flavor.memory_gb };
  const free = { ...size };
  const images = new Set(cached);
  for (const uid of uids) {
    const job = jobOf(uid);
    if (!job) continue;
    take(job.s, free, (job.r[id]?.length ?? 0) / 2);
    images.add(job.s.image);
  }
  const { site, reclaimable } = box;
  return { id, flavor: box.flavor, site, reclaimable, size, free, images };
}

export function snapshotOf(
  state: State,
  teams: Map<string, TeamShare>,
  places: Candidate[],
  jobs: Iterable<[string, JobRecord]>,
  load: QueueUsage,
  figures: Pick<Snapshot, Exclude<keyof Deadlines, 'speed'> | 'controllerZones' | 'guarantees'>,
  flavors: ReadonlyMap<string, MachineType>,
): Snapshot {
  const plain = [...flavors.values()].filter((flavor) => flavor.cards === 0);
  return {
    ...figures,
    speed: load.dueCpus,
    plainFits: (spec) =>
      plain.some(
        (flavor) =>
          fits(spec, flavor) && (spec.flavors === null || spec.flavors.includes(flavor.sku)),
      ),
    candidates: places,
    jobs: [...jobs].map(([uid, job]) => ({ uid, job })),
    teams,
    used: new Map([...state.usage].map(([team, used]) => [team, { ...used }])),
    lowerUse: ({ s }) => load.below(s.owner, s.rank),
    zoneOf: (box) => state.machines.get(box)?.site ?? '',
  };
}
