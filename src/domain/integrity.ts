/**
 * The one place that decides whether, as far as the records are sound, something may be placed, dealt or moved.
 *
 * Two kinds of invariants are watched while the process runs: what is derived from the replica equals its records,
 * and what is recorded of the teams' limits adds up. No order of commits and readings breaks either; should one be
 * broken all the same, whatever rests on it stands still until it holds again.
 */
import type { ResourceAmount } from '../model/resources.js';
import type { TeamQuota } from '../model/team.js';
import { keys } from '../store/records/index.js';
import type { Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { Metrics } from '../metrics.js';
import type { State } from '../store/state.js';
import { auditIndexes } from '../store/state-audit.js';

export interface IntegrityOptions {
  /** The whole check is made this often, in milliseconds, or less often if it takes long. */
  everyMs: number;
  /** A finding that stays is logged and counted again after this time, in milliseconds. */
  repeatMs: number;
}

/** A broken invariant of the limits, with the record that shows it. */
export interface LimitViolation {
  rule: 'use over part' | 'parts over limit' | 'no owner';
  key: string;
  team: string;
  /** What there may be, and what there is. */
  allowed: ResourceAmount;
  found: ResourceAmount;
}

/** Sums that are added to and taken from may be off by this. */
const EPSILON = 1e-6;
/** Of all time, the check takes at most one part in so many. */
const MOST_OF_TIME = 100;
/** Differences that one check logs one by one; the rest is counted. */
const MOST_LOGGED = 10;
const NONE: ResourceAmount = { cpus: 0, gpus: 0 };

export class Integrity {
  private nextAt = -Infinity;
  /** The indexes differ from the records: nothing that rests on them is decided. */
  private isSuspect = false;
  /** Records that ownership and use follow from cannot be read. */
  private isVitalMissing = false;
  /** Finding -> when it was last logged. */
  private readonly loggedAt = new Map<string, number>();
  /** Teams with tasks recorded on machines that no domain holds. */
  private unowned = new Set<string>();

  constructor(
    private readonly options: IntegrityOptions,
    private readonly teams: ReadonlyMap<string, TeamQuota>,
    private readonly state: State,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: Metrics,
    /** Has the replica read anew; settles when that was tried. */
    private readonly reread: () => Promise<boolean>,
  ) {}

  /** Whether what is derived from the records can be built on. */
  get isSound(): boolean {
    return !this.isSuspect && !this.isVitalMissing;
  }

  /** Whether tasks of a team may be placed on the machines of a domain. */
  mayPlace(team: string, host: string): boolean {
    return this.isSound && !this.unowned.has(team) && !this.exceedsPart(host, team);
  }

  /** Whether parts of a team's limit may pass from one domain to another. */
  mayDeal(team: string): boolean {
    if (!this.isSound || this.unowned.has(team)) return false;
    return ![...this.state.domains.keys()].some((host) => this.exceedsPart(host, team));
  }

  /** Whether machines may be lent or handed back by a living peer; its teams' parts must cover what goes along. */
  mayLend(host: string): boolean {
    if (!this.isSound) return false;
    return ![...this.state.usageInDomain(host).keys()].some((team) => this.exceedsPart(host, team));
  }

  /** Makes the whole check if it is due. */
  tick(): void {
    const from = this.clock.now();
    if (from < this.nextAt) return;
    this.check();
    const tookMs = this.clock.now() - from;
    this.nextAt = from + Math.max(this.options.everyMs, tookMs * MOST_OF_TIME);
  }

  /** Compares everything now, logs and counts what is broken, and has the replica read anew if it must be. */
  check(): void {
    this.noteMalformed();
    this.checkIndexes();
    const violations = this.limitViolations();
    this.unowned = new Set(
      violations.filter(({ rule }) => rule === 'no owner').map(({ team }) => team),
    );
    for (const { rule, key, team, allowed, found } of violations) {
      if (!this.isDue(`${rule} ${key} ${team}`)) continue;
      this.metrics.violations.inc(rule);
      const facts = { rule, key, modRevision: this.state.modRevisionOf(key), ...this.moment() };
      this.log.error({ ...facts, team, allowed, found }, 'limit violated by the records');
    }
  }

  /** At once, when records have changed: what rests on one that cannot be read must not even begin. */
  noteMalformed(): void {
    const records = [...this.state.malformed()];
    const wasMissing = this.isVitalMissing;
    this.isVitalMissing = records.some(({ isVital }) => isVital);
    for (const { key, kind, isVital } of records) {
      if (!this.isDue(`malformed ${key}`)) continue;
      this.metrics.violations.inc('malformed record');
      const modRevision = this.state.modRevisionOf(key);
      this.log.error(
        { key, kind, modRevision, isVital, ...this.moment() },
        'stored record is malformed',
      );
    }
    if (wasMissing && !this.isVitalMissing)
      this.log.info(this.moment(), 'records can be read again');
  }

  private checkIndexes(): void {
    const differences = auditIndexes(this.state);
    const wasSuspect = this.isSuspect;
    this.isSuspect = differences.length > 0;
    for (const { index } of differences) this.metrics.indexDifferences.inc(index);
    for (const difference of differences.slice(0, MOST_LOGGED))
      this.log.error(
        { ...difference, count: differences.length },
        'index differs from the records: replica is read anew',
      );
    for (const machine of this.state.machinesWithTwoOwners())
      if (this.isDue(`twice ${machine}`))
        this.log.error({ machine, ...this.moment() }, 'machine listed by two domains');
    if (this.isSuspect) void this.recover();
    else if (wasSuspect) this.log.info(this.moment(), 'index equals the records again');
  }

  /** Whether a finding is new, or was last logged long ago; those that are gone are forgotten in time. */
  private isDue(finding: string): boolean {
    const now = this.clock.now();
    for (const [other, at] of this.loggedAt)
      if (now - at >= this.options.repeatMs) this.loggedAt.delete(other);
    if (this.loggedAt.has(finding)) return false;
    this.loggedAt.set(finding, now);
    return true;
  }

  private async recover(): Promise<void> {
    await this.reread();
    this.state.rebuild();
    // Looked at again with the next tick, whatever came of it.
    this.nextAt = -Infinity;
  }

  private limitViolations(): LimitViolation[] {
    const violations: LimitViolation[] = [];
    for (const [host, { quota }] of this.state.domains)
      for (const [team, found] of this.state.usageInDomain(host))
        if (this.exceedsPart(host, team))
          violations.push({
            rule: 'use over part',
            key: keys.domain(host),
            team,
            allowed: quota[team] ?? NONE,
            found,
          });
    for (const [team, { cpuLimit: cpusMax, gpuLimit: cardsMax }] of this.teams) {
      const allowed = { cpus: cpusMax, gpus: cardsMax };
      const found = this.dealt(team);
      if (exceeds(found, allowed))
        violations.push({ rule: 'parts over limit', key: '', team, allowed, found });
    }
    return [...violations, ...this.withoutOwner()];
  }

  /** What teams have recorded on machines that no domain holds: no part of a limit counts it. */
  private withoutOwner(): LimitViolation[] {
    const machines = [...this.state.jobsByMachine.keys()].filter((id) => !this.state.ownerOf(id));
    return machines.flatMap((machine) =>
      [...this.state.usageOnMachines([machine])].map(([team, found]): LimitViolation => ({
        rule: 'no owner',
        key: machine,
        team,
        allowed: NONE,
        found,
      })),
    );
  }

  private dealt(team: string): ResourceAmount {
    const sum = { ...NONE };
    for (const { quota } of this.state.domains.values()) {
      sum.cpus += quota[team]?.cpus ?? 0;
      sum.gpus += quota[team]?.gpus ?? 0;
    }
    return sum;
  }

  private exceedsPart(host: string, team: string): boolean {
    const part = this.state.domains.get(host)?.quota[team] ?? NONE;
    return exceeds(this.state.usageInDomain(host).get(team) ?? NONE, part);
  }

  /** How far the replica is, and for how long it has not been proved current. */
  private moment(): { revision: number; ageMs: number } {
    const { revision, freshAt } = this.state.replica;
    return { revision, ageMs: Math.round(this.clock.now() - freshAt) };
  }
}

function exceeds(found: ResourceAmount, allowed: ResourceAmount): boolean {
  return found.cpus > allowed.cpus + EPSILON || found.gpus > allowed.gpus + EPSILON;
}
