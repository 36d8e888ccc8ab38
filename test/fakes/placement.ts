/** Builds machines, jobs and placement snapshots for tests. */
import { newJob } from '../../src/model/job-lifecycle.js';
import type { JobRecord, JobSpec } from '../../src/model/job.js';
import type { ResourceAmount } from '../../src/model/resources.js';
import { priorityIndex } from '../../src/placement/priority.js';
import type { Candidate, Snapshot } from '../../src/placement/types.js';
import { JOB } from './users.js';

const CPU_SIZE = { cpus: 4, gpus: 0, memoryGb: 16 };

/** A machine with 4 CPUs in zone x, of which `used` are in use. */
export function machine(
  id: string,
  overrides: Partial<Candidate> & { used?: number } = {},
): Candidate {
  const capacity = overrides.capacity ?? CPU_SIZE;
  const free = { ...capacity, cpus: capacity.cpus - (overrides.used ?? 0) };
  return {
    id,
    machineType: 'plain',
    zone: 'x',
    spot: false,
    capacity,
    free,
    images: new Set(),
    ...overrides,
  };
}

/** A job record; `acceptedAt` is the time of its acceptance. */
export const job = (spec: Partial<JobSpec>, acceptedAt = 0): JobRecord =>
  newJob({ ...JOB, ...spec }, acceptedAt);

/** The input of a placement plan, with these machines and jobs and two teams. */
export function snapshot(candidates: Candidate[], jobs: Record<string, JobRecord>): Snapshot {
  const usageByTeam = new Map<string, ResourceAmount>();
  for (const { spec, allocationsByMachine } of Object.values(jobs)) {
    const tasks = Object.values(allocationsByMachine).flat().length / 2;
    const before = usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    usageByTeam.set(spec.team, {
      cpus: before.cpus + tasks * spec.cpus,
      gpus: before.gpus + tasks * spec.gpus,
    });
  }
  return {
    wallClockMs: 0,
    agedMs: 100_000,
    deadlineMultiples: [1],
    deadlineCpus: 0,
    candidates,
    jobs: Object.entries(jobs).map(([jobId, record]) => ({ jobId, job: record })),
    teams: new Map([
      ['red', { guaranteedCpus: 4, guaranteedGpus: 2, cpuLimit: 12, gpuLimit: 4 }],
      ['blue', { guaranteedCpus: 4, guaranteedGpus: 0, cpuLimit: 8, gpuLimit: 0 }],
    ]),
    usageByTeam,
    usageBelowPriority: (job) => {
      const lower = { cpus: 0, gpus: 0 };
      for (const { spec, allocationsByMachine } of Object.values(jobs)) {
        const isLower = priorityIndex(spec.priority) > priorityIndex(job.spec.priority);
        if (spec.team !== job.spec.team || !isLower) continue;
        lower.cpus += (Object.values(allocationsByMachine).flat().length / 2) * spec.cpus;
      }
      return lower;
    },
    zoneOf: (id) => candidates.find((candidate) => candidate.id === id)?.zone ?? '',
    controllerZones: new Set(['x']),
    enforcesGuarantees: true,
    fitsWithoutGpus: (spec) => spec.gpus === 0,
  };
}

export const GPU_SIZE = { cpus: 4, gpus: 2, memoryGb: 16 };
