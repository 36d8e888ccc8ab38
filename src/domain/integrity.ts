/**
 * Decides whether the records are consistent enough to place tasks and to move quota and machines. This decision is made
 * only here.
 *
 * Two kinds of invariants are checked while the process runs: the indexes derived from the replica match its records,
 * and the recorded usage and quotas are within the teams' limits. No order of commits and reads violates either. If one
 * is violated nevertheless, all decisions that depend on it are suspended until it holds again.
 */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { TeamQuota } from '../model/team.js';
import { auditIndexes } from '../store/state-audit.js';
import type { State } from '../store/state.js';
import { exceedsDomainQuota, findLimitViolations } from './limit-audit.js';

/** Intervals of the checks and of repeated findings. */
export interface IntegrityOptions {
  /** Minimum time between two full checks, in milliseconds; it is longer if the checks take long. */
  checkMs: number;
  /** A finding that persists is logged and counted again after this time, in milliseconds. */
  repeatMs: number;
}

/** Inputs of the checks, and the log and metrics that receive the findings. */
export interface IntegrityDependencies {
  teams: ReadonlyMap<string, TeamQuota>;
  state: State;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Reloads the replica by a full read of the store. Resolves to false if the read failed. */
  reread: () => Promise<boolean>;
}

/** Minimum ratio of the time between two checks to the duration of one: checks take at most 1 % of the time. */
const CHECK_INTERVAL_FACTOR = 100;
/** Maximum number of differences that one check logs individually; each line has the total count. */
const MAX_LOGGED_DIFFERENCES = 10;

/** Revision and age of the replica, for the log. */
interface ReplicaAge {
  revision: number;
  /** Time since the replica was last confirmed current, in milliseconds. */
  replicaAgeMs: number;
}

/** Checks the invariants and determines which decisions may be based on the records. */
export class Integrity {
  private nextCheckAt = -Infinity;
  /** The indexes differ from the records, so no decision that depends on them may be made. */
  private indexesDiffer = false;
  /** A record that ownership or usage is derived from is malformed. */
  private hasMalformedVitalRecord = false;
  /** Finding to the time when it was last logged. */
  private readonly loggedAt = new Map<string, number>();
  /** Teams with tasks recorded on machines that belong to no domain. */
  private teamsOnUnownedMachines = new Set<string>();

  constructor(
    private readonly options: IntegrityOptions,
    private readonly dependencies: IntegrityDependencies,
  ) {}

  /** Whether decisions may depend on the records and indexes: the indexes match, and no vital record is malformed. */
  get isSound(): boolean {
    return !this.indexesDiffer && !this.hasMalformedVitalRecord;
  }

  /** Whether tasks of a team may be placed on the machines of a domain. */
  mayPlace(team: string, owner: string): boolean {
    const { state } = this.dependencies;
    return (
      this.isSound &&
      !this.teamsOnUnownedMachines.has(team) &&
      !exceedsDomainQuota(state, owner, team)
    );
  }

  /** Whether quota of a team may be transferred from one domain to another. */
  mayShareQuota(team: string): boolean {
    const { state } = this.dependencies;
    if (!this.isSound || this.teamsOnUnownedMachines.has(team)) return false;
    return ![...state.domains.keys()].some((owner) => exceedsDomainQuota(state, owner, team));
  }

  /**
   * Whether a live peer may lend machines or return them. The quota that their tasks use is transferred with them, so the
   * peer's quotas must cover its usage.
   */
  mayLend(owner: string): boolean {
    const { state } = this.dependencies;
    if (!this.isSound) return false;
    return ![...state.usageInDomain(owner).keys()].some((team) =>
      exceedsDomainQuota(state, owner, team),
    );
  }

  /** Runs all checks if they are due. */
  checkIfDue(): void {
    const { clock } = this.dependencies;
    const startedAt = clock.now();
    if (startedAt < this.nextCheckAt) return;
    this.check();
    const tookMs = clock.now() - startedAt;
    this.nextCheckAt = startedAt + Math.max(this.options.checkMs, tookMs * CHECK_INTERVAL_FACTOR);
  }

  /** Runs all checks now. Logs and counts violations, and reloads the replica if the indexes differ from the records. */
  check(): void {
    this.noteMalformed();
    this.checkIndexes();
    this.checkLimits();
  }

  /**
   * Checks for malformed records. Called as soon as records have changed, because decisions that depend on a malformed
   * record must not be made even before the next check.
   */
  noteMalformed(): void {
    const { state, log, metrics } = this.dependencies;
    const records = [...state.malformedRecords()];
    const hadMalformedVitalRecord = this.hasMalformedVitalRecord;
    this.hasMalformedVitalRecord = records.some(({ isVital }) => isVital);
    for (const { key, kind, isVital } of records) {
      if (!this.shouldReport(`malformed ${key}`)) continue;
      metrics.violations.inc('malformed record');
      const modRevision = state.modRevisionOf(key);
      log.error(
        { key, kind, modRevision, isVital, ...this.replicaAge() },
        'stored record is malformed',
      );
    }
    if (hadMalformedVitalRecord && !this.hasMalformedVitalRecord)
      log.info(this.replicaAge(), 'records readable again');
  }

  private checkLimits(): void {
    const { state, teams, log, metrics } = this.dependencies;
    const violations = findLimitViolations(state, teams);
    this.teamsOnUnownedMachines = new Set(
      violations.filter(({ rule }) => rule === 'no owner').map(({ team }) => team),
    );
    for (const { rule, key, team, allowed, found } of violations) {
      if (!this.shouldReport(`${rule} ${key} ${team}`)) continue;
      metrics.violations.inc(rule);
      const modRevision = state.modRevisionOf(key);
      log.error(
        { rule, key, modRevision, ...this.replicaAge(), team, allowed, found },
        'quota limit violated by records',
      );
    }
  }

  private checkIndexes(): void {
    const { state, log, metrics } = this.dependencies;
    const differences = auditIndexes(state);
    const indexesDiffered = this.indexesDiffer;
    this.indexesDiffer = differences.length > 0;
    for (const { index } of differences) metrics.indexDifferences.inc(index);
    for (const difference of differences.slice(0, MAX_LOGGED_DIFFERENCES))
      log.error(
        { ...difference, count: differences.length },
        'index differs from records: reloading replica',
      );
    this.logTwoOwners();
    if (this.indexesDiffer) void this.recover();
    else if (indexesDiffered) log.info(this.replicaAge(), 'indexes match records again');
  }

  private logTwoOwners(): void {
    const { state, log } = this.dependencies;
    for (const machineId of state.machinesWithTwoOwners())
      if (this.shouldReport(`twice ${machineId}`))
        log.error({ machineId, ...this.replicaAge() }, 'machine has two owners');
  }

  /** Whether a finding is new or was last logged `repeatMs` ago. Findings older than that are removed. */
  private shouldReport(finding: string): boolean {
    const now = this.dependencies.clock.now();
    for (const [other, at] of this.loggedAt)
      if (now - at >= this.options.repeatMs) this.loggedAt.delete(other);
    if (this.loggedAt.has(finding)) return false;
    this.loggedAt.set(finding, now);
    return true;
  }

  private async recover(): Promise<void> {
    const { state, reread } = this.dependencies;
    await reread();
    state.rebuild();
    // Check again at the next tick, whether or not the reload succeeded.
    this.nextCheckAt = -Infinity;
  }

  private replicaAge(): ReplicaAge {
    const { state, clock } = this.dependencies;
    const { revision, lastConfirmedAt } = state.replica;
    return { revision, replicaAgeMs: Math.round(clock.now() - lastConfirmedAt) };
  }
}
