/**
 * Checks the recorded usage and quotas against the teams' limits. A team's limit is divided among the domains; a domain's
 * part of it is the domain's quota for that team.
 */
import { NO_RESOURCES, RESOURCE_EPSILON, type ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import { keys } from '../store/records/index.js';
import type { State } from '../store/state.js';

/**
 * The violated rule: a team's usage in a domain exceeds the domain's quota, the quotas of all domains together exceed the
 * team's limit, or a machine with recorded tasks has no owner. The names are values of a metric label.
 */
export type LimitRule = 'use over part' | 'parts over limit' | 'no owner';

/** A violated rule, with the record that shows it. */
export interface LimitViolation {
  rule: LimitRule;
  /** Key of the record, or id of the machine that has no owner; empty if no single record shows the violation. */
  key: string;
  team: string;
  /** Permitted amount. */
  allowed: ResourceAmount;
  /** Recorded amount. */
  found: ResourceAmount;
}

/** Whether a team's usage on a domain's machines exceeds the domain's quota for the team. */
export function exceedsDomainQuota(state: State, owner: string, team: string): boolean {
  const quota = state.domains.get(owner)?.quota[team] ?? NO_RESOURCES;
  return exceeds(state.usageInDomain(owner).get(team) ?? NO_RESOURCES, quota);
}

/** Finds all violations in the records. */
export function findLimitViolations(
  state: State,
  teams: ReadonlyMap<string, TeamQuota>,
): LimitViolation[] {
  return [
    ...domainQuotaViolations(state),
    ...teamLimitViolations(state, teams),
    ...unownedUsageViolations(state),
  ];
}

function domainQuotaViolations(state: State): LimitViolation[] {
  const violations: LimitViolation[] = [];
  for (const [owner, { quota }] of state.domains)
    for (const [team, found] of state.usageInDomain(owner)) {
      if (!exceedsDomainQuota(state, owner, team)) continue;
      const allowed = quota[team] ?? NO_RESOURCES;
      violations.push({ rule: 'use over part', key: keys.domain(owner), team, allowed, found });
    }
  return violations;
}

function teamLimitViolations(
  state: State,
  teams: ReadonlyMap<string, TeamQuota>,
): LimitViolation[] {
  const violations: LimitViolation[] = [];
  for (const [team, { cpuLimit, gpuLimit }] of teams) {
    const allowed = { cpus: cpuLimit, gpus: gpuLimit };
    const found = sumOfDomainQuotas(state, team);
    if (exceeds(found, allowed))
      violations.push({ rule: 'parts over limit', key: '', team, allowed, found });
  }
  return violations;
}

/** Usage on machines that belong to no domain. It is not counted against any domain's quota. */
function unownedUsageViolations(state: State): LimitViolation[] {
  const violations: LimitViolation[] = [];
  for (const machineId of state.jobsByMachine.keys()) {
    if (state.ownerOf(machineId)) continue;
    for (const [team, found] of state.usageOnMachines([machineId]))
      violations.push({ rule: 'no owner', key: machineId, team, allowed: NO_RESOURCES, found });
  }
  return violations;
}

function sumOfDomainQuotas(state: State, team: string): ResourceAmount {
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
