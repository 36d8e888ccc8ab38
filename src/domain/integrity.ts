/**
 * The one place that decides whether, as far as the records are sound, tasks may be placed, or quota and machines moved.
 *
 * Two kinds of invariants are watched while the process runs: what is derived from the replica equals its records,
 * and what is recorded of the teams' limits adds up. No order of commits and readings breaks either; should one be
 * broken all the same, whatever rests on it stands still until it holds again.
 */
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { TeamQuota } from '../model/team.js';
import { auditIndexes } from '../store/state-audit.js';
import type { State } from '../store/state.js';
import { exceedsPart, findLimitViolations } from './limit-audit.js';

/** How often the checks are made and their findings repeated. */
export interface IntegrityOptions {
  /** The whole check is made this often, in milliseconds, or less often if it takes long. */
  checkMs: number;
  /** A finding that stays is logged and counted again after this time, in milliseconds. */
  repeatMs: number;
}

/** What the checks read, and where their findings go. */
export interface IntegrityDependencies {
  teams: ReadonlyMap<string, TeamQuota>;
  state: State;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Has the replica read again in full; settles when that was tried. */
  reread: () => Promise<boolean>;
}

/** Of all time, the check takes at most one part in so many. */
const MIN_TIME_BETWEEN_CHECKS = 100;
/** Differences that one check logs one by one; the rest is counted. */
const MAX_LOGGED_DIFFERENCES = 10;

/** How far the replica is, for the log. */
interface ReplicaAge {
  revision: number;
  /** Time since the replica was confirmed current, in milliseconds. */
  replicaAgeMs: number;
}

/** Watches the invariants and answers whether decisions may rest on the records. */
export class Integrity {
  private nextCheckAt = -Infinity;
  /** The indexes differ from the records: nothing that rests on them is decided. */
  private isSuspect = false;
  /** Records that ownership and use follow from cannot be read. */
  private isVitalMissing = false;
  /** Finding to when it was last logged. */
  private readonly loggedAt = new Map<string, number>();
  /** Teams with tasks recorded on machines that no domain holds. */
  private teamsOnUnownedMachines = new Set<string>();

  constructor(
    private readonly options: IntegrityOptions,
    private readonly dependencies: IntegrityDependencies,
  ) {}

  /** Whether what is derived from the records can be built on. */
  get isSound(): boolean {
    return !this.isSuspect && !this.isVitalMissing;
  }

  /** Whether tasks of a team may be placed on the machines of a domain. */
  mayPlace(team: string, owner: string): boolean {
    const { state } = this.dependencies;
    return (
      this.isSound && !this.teamsOnUnownedMachines.has(team) && !exceedsPart(state, owner, team)
    );
  }

  /** Whether parts of a team's limit may pass from one domain to another. */
  mayShareQuota(team: string): boolean {
    const { state } = this.dependencies;
    if (!this.isSound || this.teamsOnUnownedMachines.has(team)) return false;
    return ![...state.domains.keys()].some((owner) => exceedsPart(state, owner, team));
  }

  /** Whether a live peer may lend machines or hand them back; its parts of the limits must cover what goes along. */
  mayLend(owner: string): boolean {
    const { state } = this.dependencies;
    if (!this.isSound) return false;
    return ![...state.usageInDomain(owner).keys()].some((team) => exceedsPart(state, owner, team));
  }

  /** Makes the whole check if it is due. */
  checkIfDue(): void {
    const { clock } = this.dependencies;
    const startedAt = clock.now();
    if (startedAt < this.nextCheckAt) return;
    this.check();
    const tookMs = clock.now() - startedAt;
    this.nextCheckAt = startedAt + Math.max(this.options.checkMs, tookMs * MIN_TIME_BETWEEN_CHECKS);
  }

  /** Compares everything now, logs and counts what is broken, and has the replica read again if it must be. */
  check(): void {
    this.noteMalformed();
    this.checkIndexes();
    this.checkLimits();
  }

  /** At once, when records have changed: what rests on one that cannot be read must not even begin. */
  noteMalformed(): void {
    const { state, log, metrics } = this.dependencies;
    const records = [...state.malformed()];
    const wasMissing = this.isVitalMissing;
    this.isVitalMissing = records.some(({ isVital }) => isVital);
    for (const { key, kind, isVital } of records) {
      if (!this.isDue(`malformed ${key}`)) continue;
      metrics.violations.inc('malformed record');
      const modRevision = state.modRevisionOf(key);
      log.error(
        { key, kind, modRevision, isVital, ...this.replicaAge() },
        'stored record is malformed',
      );
    }
    if (wasMissing && !this.isVitalMissing) log.info(this.replicaAge(), 'records readable again');
  }

  private checkLimits(): void {
    const { state, teams, log, metrics } = this.dependencies;
    const violations = findLimitViolations(state, teams);
    this.teamsOnUnownedMachines = new Set(
      violations.filter(({ rule }) => rule === 'no owner').map(({ team }) => team),
    );
    for (const { rule, key, team, allowed, found } of violations) {
      if (!this.isDue(`${rule} ${key} ${team}`)) continue;
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
    const wasSuspect = this.isSuspect;
    this.isSuspect = differences.length > 0;
    for (const { index } of differences) metrics.indexDifferences.inc(index);
    for (const difference of differences.slice(0, MAX_LOGGED_DIFFERENCES))
      log.error(
        { ...difference, count: differences.length },
        'index differs from records: reloading replica',
      );
    this.logTwoOwners();
    if (this.isSuspect) void this.recover();
    else if (wasSuspect) log.info(this.replicaAge(), 'indexes match records again');
  }

  private logTwoOwners(): void {
    const { state, log } = this.dependencies;
    for (const machineId of state.machinesWithTwoOwners())
      if (this.isDue(`twice ${machineId}`))
        log.error({ machineId, ...this.replicaAge() }, 'machine has two owners');
  }

  /** Whether a finding is new, or was last logged long ago; those that are gone are forgotten in time. */
  private isDue(finding: string): boolean {
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
    // Checked again with the next tick, whatever came of it.
    this.nextCheckAt = -Infinity;
  }

  private replicaAge(): ReplicaAge {
    const { state, clock } = this.dependencies;
    const { revision, freshAt } = state.replica;
    return { revision, replicaAgeMs: Math.round(clock.now() - freshAt) };
  }
}
