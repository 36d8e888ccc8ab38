/** Whether what is recorded of the teams' quota limits adds up. */
import { NO_RESOURCES, RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import { keys } from '../store/records/index.js';
import type { State } from '../store/state.js';

/** The invariants of the limits; their names are values of a metric's label. */
export type LimitRule = 'use over part' | 'parts over limit' | 'no owner';

/** A broken invariant of the limits, with the record that shows it. */
export interface LimitViolation {
  rule: LimitRule;
  /** Key of the record, or the machine that has no owner; empty if no single record shows it. */
  key: string;
  team: string;
  /** What there may be, and what there is. */
  allowed: ResourceAmount;
  found: ResourceAmount;
}

/** Whether a team uses more on a domain's machines than the domain's part of its limit. */
export function exceedsPart(state: State, owner: string, team: string): boolean {
  const part = state.domains.get(owner)?.quota[team] ?? NO_RESOURCES;
  return exceeds(state.usageInDomain(owner).get(team) ?? NO_RESOURCES, part);
}

/** All violations that the records show. */
export function findLimitViolations(
  state: State,
  teams: ReadonlyMap<string, TeamQuota>,
): LimitViolation[] {
  return [...overPart(state), ...overLimit(state, teams), ...withoutOwner(state)];
}

function overPart(state: State): LimitViolation[] {
  const violations: LimitViolation[] = [];
  for (const [owner, { quota }] of state.domains)
    for (const [team, found] of state.usageInDomain(owner)) {
      if (!exceedsPart(state, owner, team)) continue;
      const allowed = quota[team] ?? NO_RESOURCES;
      violations.push({ rule: 'use over part', key: keys.domain(owner), team, allowed, found });
    }
  return violations;
}

function overLimit(state: State, teams: ReadonlyMap<string, TeamQuota>): LimitViolation[] {
  const violations: LimitViolation[] = [];
  for (const [team, { cpuLimit, gpuLimit }] of teams) {
    const allowed = { cpus: cpuLimit, gpus: gpuLimit };
    const found = sumOfParts(state, team);
    if (exceeds(found, allowed))
      violations.push({ rule: 'parts over limit', key: '', team, allowed, found });
  }
  return violations;
}

/** What teams have recorded on machines that no domain holds: no part of a limit counts it. */
function withoutOwner(state: State): LimitViolation[] {
  const violations: LimitViolation[] = [];
  for (const machineId of state.jobsByMachine.keys()) {
    if (state.ownerOf(machineId)) continue;
    for (const [team, found] of state.usageOnMachines([machineId]))
      violations.push({ rule: 'no owner', key: machineId, team, allowed: NO_RESOURCES, found });
  }
  return violations;
}

function sumOfParts(state: State, team: string): ResourceAmount {
  const sum = { cpus: 0, gpus: 0 };
  for (const { quota } of state.domains.values()) {
    sum.cpus += quota[team]?.cpus ?? 0;
    sum.gpus += quota[team]?.gpus ?? 0;
  }
  return sum;
}

function exceeds(found: ResourceAmount, allowed: ResourceAmount): boolean {
  return (
    found.cpus > allowed.cpus + RESOURCE_EPSILON || found.gpus > allowed.gpus + RESOURCE_EPSILON
  );
}
