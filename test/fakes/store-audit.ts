/** Invariants over all records of the fake state service, checked after each transaction. */
import { decodeDomainHead, decodeJob } from '../../src/store/records/index.js';
import type { DomainHead } from '../../src/model/domain.js';
import type { JobState } from '../../src/model/job.js';
import type { AllocationRecord, ShardRecord } from '../../src/store/records/index.js';
import type { Body } from '../../src/wire/codec.js';

/** Resources that are subject to quota. */
interface Amounts {
  cpus: number;
  gpus: number;
}

export type AuditRule =
  /** The domains' shares of a team's quota add up to more than the team's limit. */
  | 'limit'
  /**
   * The tasks recorded on a domain's machines use more than the domain's share of the team's quota, or that share is
   * negative.
   */
  | 'domain quota'
  /** An allocation refers to a machine that no domain owns. */
  | 'unowned'
  /** An allocation refers to a job that has no record. */
  | 'orphan'
  /** The same allocation is recorded twice. */
  | 'duplicate'
  /** Two domains own the same machine. */
  | 'two owners'
  /** A controller's own checks have found an index that differs from its records, or quota that does not add up. */
  | 'self-check';

export interface Violation {
  rule: AuditRule;
  what: string;
}

/** Tolerance for rounding errors in sums, far below the resources of any task. */
const EPSILON = 1e-6;

/** Checks the records (key and value) as they are after a transaction; returns the violations. */
export function auditRecords(
  records: Iterable<readonly [string, Body]>,
  limits: ReadonlyMap<string, Amounts>,
): Violation[] {
  const audit = new RecordAudit(limits);
  for (const [key, value] of records) audit.add(key, value);
  return audit.violations();
}

/** The tasks of a job that one record allocates to a machine. `pairs` alternates task index and attempt. */
interface RecordedAllocation {
  jobId: string;
  machineId: string;
  pairs: readonly number[];
}

/** All allocations in the records. */
function* allocationsIn(records: readonly AllocationRecord[]): Generator<RecordedAllocation> {
  for (const record of records)
    for (const [jobId, machines] of Object.entries(record))
      for (const [machineId, pairs] of Object.entries(machines)) yield { jobId, machineId, pairs };
}

class RecordAudit {
  private readonly found: Violation[] = [];
  private readonly heads = new Map<string, DomainHead>();
  private readonly owners = new Map<string, string>();
  private readonly jobs = new Map<string, JobState>();
  private readonly allocationRecords: AllocationRecord[] = [];

  constructor(private readonly limits: ReadonlyMap<string, Amounts>) {}

  add(key: string, value: Body): void {
    const [, kind, name = ''] = key.split('/').map(decodeURIComponent);
    if (kind === 'dom') this.heads.set(name, decodeDomainHead(value));
    else if (kind === 'own') this.addShard(name, value as ShardRecord);
    else if (kind === 'job') this.jobs.set(name, decodeJob(value));
    else if (kind === 'run') this.allocationRecords.push(value as AllocationRecord);
  }

  violations(): Violation[] {
    this.checkDuplicates();
    const used = this.usedByDomain();
    this.checkLimits();
    this.checkDomainQuotas(used);
    return this.found;
  }

  private addViolation(rule: AuditRule, what: string): void {
    this.found.push({ rule, what });
  }

  private addShard(host: string, shard: ShardRecord): void {
    for (const machineId of Object.values(shard).flat()) {
      const other = this.owners.get(machineId);
      if (other !== undefined) this.addViolation('two owners', `${machineId}: ${other}, ${host}`);
      this.owners.set(machineId, host);
    }
  }

  private checkDuplicates(): void {
    const seen = new Set<string>();
    for (const { jobId, machineId, pairs } of allocationsIn(this.allocationRecords))
      for (let index = 0; index < pairs.length; index += 2) {
        const task = `${jobId}/${String(pairs[index])}#${String(pairs[index + 1])}`;
        const allocation = `${task} on ${machineId}`;
        if (seen.has(allocation)) this.addViolation('duplicate', allocation);
        seen.add(allocation);
      }
  }

  /**
   * Host -> team -> resources of the tasks recorded on the machines of its domain. Adds a violation for each allocation
   * whose job has no record or whose machine has no owner.
   */
  private usedByDomain(): Map<string, Map<string, Amounts>> {
    const used = new Map<string, Map<string, Amounts>>();
    for (const { jobId, machineId, pairs } of allocationsIn(this.allocationRecords)) {
      const job = this.jobs.get(jobId);
      if (!job) this.addViolation('orphan', `${jobId} on ${machineId}`);
      const host = this.owners.get(machineId);
      if (host === undefined) this.addViolation('unowned', `${jobId} on ${machineId}`);
      if (!job || host === undefined) continue;
      const teams = used.get(host) ?? new Map<string, Amounts>();
      used.set(host, teams);
      const sum = teams.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      const tasks = pairs.length / 2;
      teams.set(job.spec.team, {
        cpus: sum.cpus + tasks * job.spec.cpus,
        gpus: sum.gpus + tasks * job.spec.gpus,
      });
    }
    return used;
  }

  private checkLimits(): void {
    const sums = new Map<string, Amounts>();
    for (const [host, { quota }] of this.heads)
      for (const [team, { cpus, gpus }] of Object.entries(quota)) {
        const sum = sums.get(team) ?? { cpus: 0, gpus: 0 };
        sums.set(team, { cpus: sum.cpus + cpus, gpus: sum.gpus + gpus });
        if (cpus < -EPSILON || gpus < -EPSILON)
          this.addViolation('domain quota', `${host}: ${team} below 0`);
      }
    for (const [team, sum] of sums) {
      const limit = this.limits.get(team) ?? { cpus: 0, gpus: 0 };
      if (exceeds(sum, limit))
        this.addViolation('limit', `${team}: ${JSON.stringify(sum)} in all domains`);
    }
  }

  private checkDomainQuotas(used: ReadonlyMap<string, ReadonlyMap<string, Amounts>>): void {
    for (const [host, teams] of used)
      for (const [team, sum] of teams) {
        const { cpus, gpus } = this.heads.get(host)?.quota[team] ?? { cpus: 0, gpus: 0 };
        if (!exceeds(sum, { cpus, gpus })) continue;
        const share = `${String(cpus)} CPUs, ${String(gpus)} gpus`;
        this.addViolation(
          'domain quota',
          `${host}: ${team} uses ${JSON.stringify(sum)} of ${share}`,
        );
      }
  }
}

function exceeds(sum: Amounts, limit: Amounts): boolean {
  return sum.cpus > limit.cpus + EPSILON || sum.gpus > limit.gpus + EPSILON;
}
