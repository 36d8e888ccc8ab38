import type { Flavor } from '../cloud/client.js';
import type { Settings } from '../config/settings.js';
import { staysOn } from '../jobs/life.js';
import type { BoxRecord } from '../store/records.js';
import type { State } from '../store/state.js';
import { fits, take, type Place, type Snapshot, type TeamShare } from './plan.js';

export function teamShares(settings: Settings): Map<string, TeamShare> {
  return new Map(
    settings.settings.teams.map((team) => [
      team.name,
      { cpus: team.cpus, cards: team.gpus, cpusMax: team.cpus_max, cardsMax: team.gpus_max },
    ]),
  );
}

/** A machine as the planner sees it: what is recorded on it counts, whether or not it has begun. */
export function placeOf(
  id: string,
  box: BoxRecord,
  flavor: Flavor,
  state: State,
  cached: ReadonlyMap<string, ReadonlySet<string>>,
): Place {
  const size = { cpus: flavor.cpus, cards: flavor.cards, memory_gb: flavor.memory_gb };
  const free = { ...size };
  const images = new Set(cached.get(id));
  for (const uid of state.onBox.get(id) ?? []) {
    const job = state.jobs.get(uid);
    if (!job) continue;
    take(job.s, free, staysOn(job, id).length);
    images.add(job.s.image);
  }
  return {
    id,
    flavor: box.flavor,
    site: box.site,
    reclaimable: box.reclaimable,
    size,
    free,
    images,
  };
}

export function snapshotOf(
  state: State,
  teams: Map<string, TeamShare>,
  places: Place[],
  wall: number,
  homes: ReadonlySet<string>,
  guarantees: boolean,
  flavors: ReadonlyMap<string, Flavor>,
): Snapshot {
  const plain = [...flavors.values()].filter((flavor) => flavor.cards === 0);
  return {
    homes,
    guarantees,
    plainFits: (spec) =>
      plain.some(
        (flavor) =>
          fits(spec, flavor) && (spec.flavors === null || spec.flavors.includes(flavor.sku)),
      ),
    wall,
    places,
    jobs: [...state.jobs].map(([uid, job]) => ({ uid, job })),
    teams,
    used: new Map([...state.usage].map(([team, used]) => [team, { ...used }])),
    siteOf: (box) => state.boxes.get(box)?.site ?? '',
  };
}
