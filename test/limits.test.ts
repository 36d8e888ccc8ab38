/**
 * Transactions that are built from an outdated view must conflict: otherwise a team could exceed its limit, or tasks
 * could be recorded on a machine without an owner. Records that exceed a limit must stop all starts.
 */
import { newJob, placeTasks } from '../src/model/job-lifecycle.js';
import { encodeTransaction } from '../src/protocol/state-service.js';
import type { JobSpec } from '../src/model/job.js';
import { encodeDomainHead, encodeJob, keys } from '../src/store/records/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { systemClock } from '../src/clock.js';
import { Metrics } from '../src/metrics.js';
import { DomainManager } from '../src/domain/manager.js';
import { QuotaManager } from '../src/domain/quota-manager.js';
import type { StoreClient, Transaction } from '../src/store/client.js';
import { State } from '../src/store/state.js';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import type { Body } from '../src/wire/codec.js';
import { auditRecords } from './fakes/store-audit.js';
import { FakeStateStore } from './fakes/store.js';
import { SeededRandom, VirtualTime } from './fakes/time.js';
import { createIntegrityFixture } from './fakes/integrity.js';
import { JOB } from './fakes/world.js';

const LIMITS = { maxWrites: 12, maxValueBytes: 1024, maxBytes: 40_000 };
const HOST = 'a';
const MACHINES = ['i-000000', 'i-000001'];
/** The team's limit, all of which is the quota of the one domain. It is enough for 4 tasks of the jobs below. */
const LIMIT = { cpus: 8, gpus: 0 };
const TEAMS = new Map([
  ['red', { guaranteedCpus: 0, guaranteedGpus: 0, cpuLimit: LIMIT.cpus, gpuLimit: LIMIT.gpus }],
]);
const FILLER = 'j-filler';
const LONG_NAME = `j-long${'x'.repeat(55)}`;

/** A fake store whose records are audited after each commit. */
class AuditedStore {
  readonly store = new FakeStateStore(new VirtualTime(), new SeededRandom(1), {
    value_kb: 1,
    txn_ops: 12,
  });
  readonly violations: string[] = [];

  constructor() {
    this.store.onApplied = (records) => {
      const limits = new Map([['red', LIMIT]]);
      for (const { rule, what } of auditRecords(records, limits))
        this.violations.push(`${rule}: ${what}`);
    };
  }

  async commit(transaction: Transaction): Promise<{ status: number; revision: number }> {
    const body = encodeTransaction(transaction);
    const answer = await this.store.handle(HOST, {
      method: 'POST',
      path: '/commit',
      body,
      timeoutMs: 1000,
    });
    return { status: answer.status, revision: Number(answer.body['generation']) };
  }

  /** Commits a transaction and applies it to these views of the store. */
  async apply(transaction: Transaction, ...views: State[]): Promise<void> {
    const { status, revision } = await this.commit(transaction);
    assert.equal(status, 200);
    for (const view of views) {
      view.replica.applyOwnCommit(transaction.writes, revision);
      view.replica.revision = revision;
    }
  }
}

const view = (): State => new State(() => undefined);

const job = (spec: Partial<JobSpec> = {}): Body =>
  encodeJob(newJob({ ...JOB, tasks: 200, ...spec }, 0));

const setUp = (): Transaction => ({
  conditions: [],
  writes: [
    {
      put: keys.domain(HOST),
      value: encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: { red: LIMIT } }),
    },
    { put: keys.machineShard(HOST, 0), value: { 1: MACHINES } },
    { put: keys.job(FILLER), value: job({ cpus: 0 }) },
    { put: keys.job(LONG_NAME), value: job() },
    { put: keys.job('j-short'), value: job() },
  ],
});

/** A transaction of the domain's owner that places tasks of a job, built from that view. */
function placing(from: State, jobId: string, machines: string[]): Transaction {
  const builder = new TransactionBuilder(from, HOST, LIMITS);
  builder.require({ key: keys.domain(HOST), modRevision: from.modRevisionOf(keys.domain(HOST)) });
  const known = from.jobs.get(jobId);
  assert.ok(known && builder.set(jobId, placeTasks(known, machines)));
  return builder.build();
}

// A transaction may be built from a view that lacks an earlier own commit: one that was applied but not answered, or
// one of an earlier process of the same controller. The tasks that it placed count against the limit nevertheless.
void test('limits: a placement that is built without an earlier own commit conflicts', async () => {
  const auditedStore = new AuditedStore();
  const current = view();
  const outdated = view();
  await auditedStore.apply(setUp(), current, outdated);
  // A job that uses no quota fills the first partition, except for the room that a job with a short name needs.
  const fill = placing(current, FILLER, Array<string>(157).fill(MACHINES[0] ?? ''));
  await auditedStore.apply(fill, current, outdated);

  const first = placing(current, 'j-short', Array<string>(3).fill(MACHINES[0] ?? ''));
  await auditedStore.apply(first, current);
  const second = placing(outdated, LONG_NAME, Array<string>(3).fill(MACHINES[1] ?? ''));
  const partitionsOf = (transaction: Transaction): string[] =>
    transaction.writes.flatMap((one) =>
      'put' in one && one.put.includes('/run/') ? [one.put] : [],
    );
  assert.notDeepEqual(
    partitionsOf(first),
    partitionsOf(second),
    'they are recorded in different partitions',
  );

  assert.equal((await auditedStore.commit(second)).status, 409);
  assert.deepEqual(auditedStore.violations, []);
});

/** A manager of the domain that only builds transactions, from that view. */
const managerOf = (from: State): DomainManager =>
  new DomainManager(
    {
      self: HOST,
      peers: ['b'],
      controllerCount: 2,
      renewMs: 700,
      leaseMs: 2100,
      rebalanceMs: 10_000,
      batchingMs: 500,
      maxWrites: LIMITS.maxWrites,
      maxValueBytes: LIMITS.maxValueBytes,
    },
    {
      teams: new Map(),
      store: undefined as unknown as StoreClient,
      state: from,
      clock: systemClock,
      log: pino({ level: 'silent' }),
      metrics: new Metrics(),
      integrity: createIntegrityFixture(from, TEAMS).integrity,
      workers: { ownersChanged: () => undefined, isIsolated: () => false },
      wake: () => undefined,
    },
  );

// Tasks recorded on a machine that no domain holds count against no domain's quota, and no controller ends them.
void test('limits: dropping a machine conflicts with a placement on it that the view lacks', async () => {
  const auditedStore = new AuditedStore();
  const current = view();
  const outdated = view();
  await auditedStore.apply(setUp(), current, outdated);
  const [machine = ''] = MACHINES;
  await auditedStore.apply(placing(current, 'j-short', [machine]), current);
  const { conditions, writes } = managerOf(outdated).changeMachines({
    drop: [machine],
  });
  assert.equal((await auditedStore.commit({ conditions, writes })).status, 409);
  assert.deepEqual(auditedStore.violations, []);
});

void test('limits: deleting a machine without an owner conflicts with a first claim that the view lacks', async () => {
  const auditedStore = new AuditedStore();
  const current = view();
  const outdated = view();
  await auditedStore.apply(setUp(), current, outdated);
  const machine = 'i-000009';
  const claim: Transaction = {
    conditions: [],
    writes: [
      { put: keys.machineShard('b', 0), value: { 1: [machine] } },
      { put: keys.firstClaims, value: { n: 1 } },
    ],
  };
  await auditedStore.apply(claim, current);
  const { conditions, writes } = managerOf(outdated).changeMachines({
    drop: [machine],
  });
  const batch = { delete: keys.machineBatch('r-1') };
  assert.equal((await auditedStore.commit({ conditions, writes: [...writes, batch] })).status, 409);
});

// An earlier version may have stored such records. Nothing starts until enough tasks have ended, and the violation is
// logged.
void test('limits: usage over the quota of a domain stops all starts, and is logged with the key of the record', async () => {
  const auditedStore = new AuditedStore();
  const current = view();
  await auditedStore.apply(setUp(), current);
  const tasks = Array<string>(5).fill(MACHINES[0] ?? '');
  await auditedStore.apply(placing(current, 'j-short', tasks), current);
  assert.equal(auditedStore.violations.length, 1, 'the audit reports it too');
  const logged: unknown[][] = [];
  const log = pino({ level: 'silent' });
  log.error = (...line: unknown[]) => logged.push(line);
  const { integrity } = createIntegrityFixture(current, TEAMS, log);
  const quota = new QuotaManager(
    { self: HOST, controllerCount: 2, batchingMs: 500, maxWrites: LIMITS.maxWrites },
    {
      teams: TEAMS,
      state: current,
      clock: systemClock,
      log,
      integrity,
      ownDomain: managerOf(current),
    },
  );
  assert.deepEqual(quota.remaining().get('red'), { cpus: 0, gpus: 0 });
  integrity.check();
  const [[fields, message] = []] = logged;
  assert.equal(logged.length, 1);
  assert.equal(message, 'quota limit violated by records');
  const { key, modRevision, team, allowed, found } = fields as Record<string, unknown>;
  assert.deepEqual(
    { key, modRevision, team, allowed, found },
    {
      key: keys.domain(HOST),
      modRevision: 1,
      team: 'red',
      allowed: LIMIT,
      found: { cpus: 10, gpus: 0 },
    },
  );
  assert.equal(integrity.mayPlace('red', HOST), false);
  assert.equal(integrity.mayShareQuota('red'), false);
  assert.equal(integrity.mayLend(HOST), false);
  assert.equal(integrity.mayShareQuota('blue'), true);
});

void test('audit: tasks recorded on a machine without an owner are reported', async () => {
  const auditedStore = new AuditedStore();
  const current = view();
  await auditedStore.apply(setUp(), current);
  await auditedStore.apply(placing(current, 'j-short', ['i-000007']), current);
  assert.deepEqual(auditedStore.violations, ['unowned: j-short on i-000007']);
});
