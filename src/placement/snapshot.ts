/** Creates planning snapshots from the recorded state. */
import type { Clock } from '../clock.js';
import { fits } from '../model/fit.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import type { State } from '../store/state.js';
import type { Candidate, JobEntry, Snapshot } from './types.js';
import type { QueueUsage } from './usage.js';

/** Inputs of planning that come from the settings instead of the recorded state. */
export interface PlanningOptions {
  /** Zones in which controllers run. */
  controllerZones: ReadonlySet<string>;
  /** Whether the operators have set a service level objective for guarantees. */
  enforcesGuarantees: boolean;
  /** Time in milliseconds after which a job that has not started goes first in its priority class. */
  agedMs: number;
  /** The multiples of a deadline that the service level objectives name, ascending. */
  deadlineMultiples: readonly number[];
}

/** What `SnapshotFactory` works with. */
export interface SnapshotDependencies {
  state: State;
  /** Quotas by team. */
  teams: ReadonlyMap<string, TeamQuota>;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  usage: QueueUsage;
  clock: Clock;
}

/** Creates snapshots with this controller's settings. */
export class SnapshotFactory {
  constructor(
    private readonly options: PlanningOptions,
    private readonly dependencies: SnapshotDependencies,
  ) {}

  /** A snapshot of the current state with these candidates and jobs; `maxAllocationBytes` bounds the plan. */
  create(candidates: Candidate[], jobs: JobEntry[], maxAllocationBytes = Infinity): Snapshot {
    const { state, teams, usage, clock } = this.dependencies;
    const { controllerZones, enforcesGuarantees, agedMs, deadlineMultiples } = this.options;
    const cpuOnlyTypes = this.cpuOnlyTypes();
    return {
      wallClockMs: clock.wallClock(),
      agedMs,
      deadlineMultiples,
      deadlineCpus: usage.deadlineCpus,
      candidates,
      jobs,
      maxAllocationBytes,
      teams,
      usageByTeam: copyUsage(state.usageByTeam),
      zoneOf: (machineId) => state.machines.get(machineId)?.zone ?? '',
      controllerZones,
      enforcesGuarantees,
      usageBelowPriority: ({ spec }: JobRecord) => usage.usageBelow(spec.team, spec.priority),
      fitsWithoutGpus: (spec) => cpuOnlyTypes.some((type) => couldRunOn(spec, type)),
      deadlineClassByJob: undefined,
      remainingQuota: undefined,
      reservedQuota: undefined,
      shortfalls: undefined,
    };
  }

  private cpuOnlyTypes(): MachineType[] {
    return [...this.dependencies.machineTypes().values()].filter((type) => type.gpus === 0);
  }
}

function couldRunOn(spec: JobSpec, type: MachineType): boolean {
  return fits(spec, type) && (spec.machineTypes === null || spec.machineTypes.includes(type.name));
}

function copyUsage(usage: ReadonlyMap<string, ResourceAmount>): Map<string, ResourceAmount> {
  return new Map([...usage].map(([team, amount]) => [team, { ...amount }]));
}
