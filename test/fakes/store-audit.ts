/** Checks, after each transaction of the stand-in state service, what must hold over its records as a whole. */
import { decodeDomainHead, decodeJob } from '../../src/store/records/index.js';
import type { DomainHead } from '../../src/model/domain.js';
import type { JobState } from '../../src/model/job.js';
import type { AllocationRecord, ShardRecord } from '../../src/store/records/index.js';
import type { Body } from '../../src/wire/codec.js';

interface Amounts {
  cpus: number;
  gpus: number;
}

export type AuditRule =
  /** The parts of a team's limit that the domains hold add up to more than the limit. */
  | 'limit'
  /** The tasks recorded on a domain's machines use more than the domain's part of the limit. */
  | 'part'
  /** An allocation on a machine that no domain holds. */
  | 'unowned'
  /** An allocation of a job that has no record. */
  | 'orphan'
  /** An allocation that two records name. */
  | 'doubled'
  /** A machine that two domains hold. */
  | 'owners'
  /** A controller's own watch has found an index beside its records, or limits that do not add up. */
  | 'index';

export interface Violation {
  rule: AuditRule;
  what: string;
}

/** Rounding errors of sums; any task uses far more. */
const EPSILON = 1e-6;

/** What the records in the store break, by key as they stand after a transaction. */
export function auditRecords(
  records: Iterable<readonly [string, Body]>,
  limits: ReadonlyMap<string, Amounts>,
): Violation[] {
  const audit = new RecordAudit(limits);
  for (const [key, value] of records) audit.take(key, value);
  return audit.violations();
}

class RecordAudit {
  private readonly found: Violation[] = [];
  private readonly heads = new Map<string, DomainHead>();
  private readonly owners = new Map<string, string>();
  private readonly jobs = new Map<string, JobState>();
  private readonly runs: AllocationRecord[] = [];

  constructor(private readonly limits: ReadonlyMap<string, Amounts>) {}

  take(key: string, value: Body): void {
    const [, kind, name = ''] = key.split('/').map(decodeURIComponent);
    if (kind === 'dom') this.heads.set(name, decodeDomainHead(value));
    else if (kind === 'own') this.own(name, value as ShardRecord);
    else if (kind === 'job') this.jobs.set(name, decodeJob(value));
    else if (kind === 'run') this.runs.push(value as AllocationRecord);
  }

  violations(): Violation[] {
    this.checkParts(this.recordedUse());
    return this.found;
  }

  private note(rule: AuditRule, what: string): void {
    this.found.push({ rule, what });
  }

  private own(host: string, shard: ShardRecord): void {
    for (const machine of Object.values(shard).flat()) {
      const other = this.owners.get(machine);
      if (other !== undefined) this.note('owners', `${machine}: ${other}, ${host}`);
      this.owners.set(machine, host);
    }
  }

  /** Host and team -> what is recorded on the machines of its domain. */
  private recordedUse(): Map<string, Map<string, Amounts>> {
    const used = new Map<string, Map<string, Amounts>>();
    const seen = new Set<string>();
    for (const run of this.runs)
      for (const [uid, machines] of Object.entries(run))
        for (const [machine, pairs] of Object.entries(machines))
          this.use(used, seen, uid, machine, pairs);
    return used;
  }

  private use(
    used: Map<string, Map<string, Amounts>>,
    seen: Set<string>,
    uid: string,
    machine: string,
    pairs: readonly number[],
  ): void {
    for (let at = 0; at < pairs.length; at += 2) {
      const allocation = `${uid}/${String(pairs[at])}#${String(pairs[at + 1])} on ${machine}`;
      if (seen.has(allocation)) this.note('doubled', allocation);
      seen.add(allocation);
    }
    const job = this.jobs.get(uid);
    if (!job) this.note('orphan', `${uid} on ${machine}`);
    const host = this.owners.get(machine);
    if (host === undefined) this.note('unowned', `${uid} on ${machine}`);
    if (!job || host === undefined) return;
    const teams = used.get(host) ?? new Map<string, Amounts>();
    used.set(host, teams);
    const sum = teams.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    const tasks = pairs.length / 2;
    teams.set(job.spec.team, {
      cpus: sum.cpus + tasks * job.spec.cpus,
      gpus: sum.gpus + tasks * job.spec.gpus,
    });
  }

  private checkParts(used: ReadonlyMap<string, ReadonlyMap<string, Amounts>>): void {
    const dealt = new Map<string, Amounts>();
    for (const [host, { quota }] of this.heads)
      for (const [team, { cpus, gpus }] of Object.entries(quota)) {
        const sum = dealt.get(team) ?? { cpus: 0, gpus: 0 };
        dealt.set(team, { cpus: sum.cpus + cpus, gpus: sum.gpus + gpus });
        if (cpus < -EPSILON || gpus < -EPSILON) this.note('part', `${host}: ${team} below 0`);
      }
    for (const [team, sum] of dealt) {
      const limit = this.limits.get(team) ?? { cpus: 0, gpus: 0 };
      if (exceeds(sum, limit)) this.note('limit', `${team}: ${JSON.stringify(sum)} dealt`);
    }
    for (const [host, teams] of used)
      for (const [team, sum] of teams) {
        const { cpus, gpus } = this.heads.get(host)?.quota[team] ?? { cpus: 0, gpus: 0 };
        if (exceeds(sum, { cpus, gpus }))
          this.note(
            'part',
            `${host}: ${team} uses ${JSON.stringify(sum)} of ${String(cpus)} CPUs, ${String(gpus)} gpus`,
          );
      }
  }
}

function exceeds(sum: Amounts, limit: Amounts): boolean {
  return sum.cpus > limit.cpus + EPSILON || sum.gpus > limit.gpus + EPSILON;
}
