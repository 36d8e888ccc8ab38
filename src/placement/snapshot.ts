import { allocatedTasksOn } from '../model/allocations.js';
import type { JobRecord } from '../model/job.js';
import type { Machine, MachineType } from '../model/machine.js';
import type { TeamQuota } from '../model/team.js';
import type { Settings } from '../config/settings.js';
import type { State } from '../store/state.js';
import type { QueueUsage } from './usage.js';
import { fits, reserveResources, type Candidate, type Snapshot } from './plan.js';
import type { Deadlines } from './urgency.js';

/**
 * A limit of 0 is none (DEPLOY: "0 means none"): such a team has no guarantee and no limit, and takes what
 * nobody else wants. Large enough for any fleet, small enough to be dealt in parts without rounding.
 */
const NO_LIMIT = 1e8;

export function teamQuotas(settings: Settings): Map<string, TeamQuota> {
  return new Map(
    settings.settings.teams.map((team) => [
      team.name,
      {
        guaranteedCpus: team.cpus,
        guaranteedGpus: team.gpus,
        cpuLimit: team.cpus_max > 0 ? team.cpus_max : NO_LIMIT,
        gpuLimit: team.gpus_max > 0 ? team.gpus_max : NO_LIMIT,
      },
    ]),
  );
}

/** A machine as the planner sees it: what is recorded on it counts, whether or not it has begun. */
export function candidateOf(
  id: string,
  box: Machine,
  flavor: MachineType,
  uids: Iterable<string>,
  jobOf: (uid: string) => JobRecord | undefined,
  cached: ReadonlySet<string> | undefined,
): Candidate {
  const size = { cpus: flavor.cpus, gpus: flavor.gpus, memoryGb: flavor.memoryGb };
  const free = { ...size };
  const images = new Set(cached);
  for (const uid of uids) {
    const job = jobOf(uid);
    if (!job) continue;
    reserveResources(job.spec, free, allocatedTasksOn(job, id));
    images.add(job.spec.image);
  }
  const { zone: site, spot: reclaimable } = box;
  return {
    id,
    machineType: box.machineType,
    zone: site,
    spot: reclaimable,
    capacity: size,
    free,
    images,
  };
}

export function snapshotOf(
  state: State,
  teams: Map<string, TeamQuota>,
  places: Candidate[],
  jobs: Iterable<[string, JobRecord]>,
  load: QueueUsage,
  figures: Pick<
    Snapshot,
    Exclude<keyof Deadlines, 'speed'> | 'controllerZones' | 'enforcesGuarantees'
  >,
  flavors: ReadonlyMap<string, MachineType>,
): Snapshot {
  const plain = [...flavors.values()].filter((flavor) => flavor.gpus === 0);
  return {
    ...figures,
    speed: load.dueCpus,
    fitsWithoutGpus: (spec) =>
      plain.some(
        (flavor) =>
          fits(spec, flavor) &&
          (spec.machineTypes === null || spec.machineTypes.includes(flavor.name)),
      ),
    candidates: places,
    jobs: [...jobs].map(([uid, job]) => ({ uid, job })),
    teams,
    used: new Map([...state.usage].map(([team, used]) => [team, { ...used }])),
    usageBelowPriority: ({ spec: s }) => load.below(s.team, s.priority),
    zoneOf: (box) => state.machines.get(box)?.zone ?? '',
  };
}
