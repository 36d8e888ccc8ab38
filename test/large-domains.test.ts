/**
 * Domains up to and beyond the number of allocation partitions on which a transaction can have a condition each. Guards
 * against a placement and a concurrent transfer that both commit, although each was decided without the other.
 */
import { newJob, placeTasks } from '../src/model/job-lifecycle.js';
import { encodeTransaction } from '../src/protocol/state-service.js';
import { encodeDomainHead, encodeJob, keys } from '../src/store/records/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Transaction } from '../src/store/client.js';
import {
  allocationConditions,
  isLargeDomain,
  maxPartitionConditions,
} from '../src/store/allocation-conditions.js';
import { State } from '../src/store/state.js';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import { FakeStateStore } from './fakes/store.js';
import { SeededRandom, VirtualTime } from './fakes/time.js';
import { JOB } from './fakes/world.js';

const LIMITS = { maxWrites: 4, maxValueBytes: 512, maxBytes: 40_000 };
const HOST = 'a';
const MAX_GUARDED_PARTITIONS = maxPartitionConditions(LIMITS.maxWrites);
/** Enough to fill one partition: names and numbers take about 30 bytes per machine. */
const TASKS_PER_JOB = 12;

/** A fake state service, and a view of it that is always up to date. */
class StoreWithView {
  readonly store = new FakeStateStore(new VirtualTime(), new SeededRandom(1), {
    value_kb: LIMITS.maxValueBytes / 1024,
    txn_ops: LIMITS.maxWrites,
  });
  readonly view = new State(() => undefined);
  private jobs = 0;

  async commit(transaction: Transaction): Promise<number> {
    const body = encodeTransaction(transaction);
    const call = { method: 'POST', path: '/commit', body, timeoutMs: 1000 } as const;
    const { status, body: answer } = await this.store.handle(HOST, call);
    const revision = Number(answer['generation']);
    if (status !== 200) return status;
    this.view.replica.applyOwnCommit(transaction.writes, revision);
    this.view.replica.revision = revision;
    return status;
  }

  /** A copy of the current view that receives no later changes. */
  frozen(): State {
    const copy = new State(() => undefined);
    const items = [...this.view.replica.records()].map(([key, { value, modRevision }]) => ({
      key,
      value,
      modRevision,
    }));
    const { revision } = this.view.replica;
    copy.replica.load(items, 0, { revision, events: [] }, 0);
    return copy;
  }

  /** Stores a waiting job. */
  async submit(): Promise<string> {
    const jobId = `j-${String(this.jobs++).padStart(6, '0')}`;
    const value = encodeJob(newJob({ ...JOB, tasks: 100 }, 0));
    assert.equal(
      await this.commit({ conditions: [], writes: [{ put: keys.job(jobId), value }] }),
      200,
    );
    return jobId;
  }

  /** Records allocations until the domain has this many partitions. */
  async fillPartitions(partitionCount: number): Promise<void> {
    while (this.view.allocationPartitionKeys(HOST).length - 1 < partitionCount) {
      const transaction = placing(this.view, await this.submit());
      assert.ok(
        transaction.conditions.length <= LIMITS.maxWrites * 4,
        `${String(transaction.conditions.length)} conditions`,
      );
      assert.equal(await this.commit(transaction), 200);
    }
  }
}

async function storeWithDomain(): Promise<StoreWithView> {
  const domainStore = new StoreWithView();
  const head = encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: {} });
  await domainStore.commit({ conditions: [], writes: [{ put: keys.domain(HOST), value: head }] });
  return domainStore;
}

/** A transaction of the domain's owner that places tasks of the job, built from that view. */
function placing(view: State, jobId: string): Transaction {
  const builder = new TransactionBuilder(view, HOST, LIMITS);
  builder.require(view.unchangedCondition(keys.domain(HOST)));
  const job = view.jobs.get(jobId);
  assert.ok(job);
  const machines = Array.from(
    { length: TASKS_PER_JOB },
    (_, index) => `i-${jobId.slice(2)}${String(index)}`,
  );
  assert.ok(builder.set(jobId, placeTasks(job, machines)), 'the allocations fit into the records');
  return builder.build();
}

/** A transaction of a peer with the conditions for taking machines or quota from the domain, built from that view. */
function taking(view: State): Transaction {
  const domain = view.domains.get(HOST);
  assert.ok(domain);
  return {
    conditions: [
      view.unchangedCondition(keys.domain(HOST)),
      ...allocationConditions(view, HOST, LIMITS.maxWrites),
    ],
    writes: [{ put: keys.domain(HOST), value: encodeDomainHead(domain) }],
  };
}

void test('large domain: allocations are recorded in more partitions than may have a condition each', async () => {
  const { view, fillPartitions } = await storeWithDomain().then((domainStore) => ({
    view: domainStore.view,
    fillPartitions: (partitionCount: number) => domainStore.fillPartitions(partitionCount),
  }));
  await fillPartitions(MAX_GUARDED_PARTITIONS * 2);
  assert.ok(isLargeDomain(view, HOST, LIMITS.maxWrites));
  assert.equal(allocationConditions(view, HOST, LIMITS.maxWrites).length, 0);
});

/** Partitions of the domain when both transactions are built. */
const RACES = [
  { name: 'a small domain', partitionCount: 3 },
  { name: 'a domain whose next partition makes it large', partitionCount: MAX_GUARDED_PARTITIONS },
  { name: 'a large domain', partitionCount: MAX_GUARDED_PARTITIONS + 4 },
];

for (const { name, partitionCount } of RACES)
  for (const first of ['placing', 'taking'] as const)
    void test(`${name}: placing and taking are decided concurrently; ${first} commits first and the other conflicts`, async () => {
      const domainStore = await storeWithDomain();
      await domainStore.fillPartitions(partitionCount);
      const jobId = await domainStore.submit();
      const placement = placing(domainStore.view, jobId);
      const removal = taking(domainStore.view);
      const [one, two] = first === 'placing' ? [placement, removal] : [removal, placement];
      assert.equal(await domainStore.commit(one), 200);
      assert.equal(await domainStore.commit(two), 409);
    });

// A transaction of an earlier process of the same controller, or a copy of a transaction, may still arrive late.
for (const partitionCount of [
  3,
  MAX_GUARDED_PARTITIONS - 1,
  MAX_GUARDED_PARTITIONS,
  MAX_GUARDED_PARTITIONS + 4,
])
  void test(`large domain: a transaction built with ${String(partitionCount)} known partitions conflicts when there are more`, async () => {
    const domainStore = await storeWithDomain();
    await domainStore.fillPartitions(partitionCount);
    const jobId = await domainStore.submit();
    const before = domainStore.frozen();
    await domainStore.fillPartitions(MAX_GUARDED_PARTITIONS + 6);
    assert.equal(await domainStore.commit(placing(before, jobId)), 409);
    assert.equal(await domainStore.commit(taking(before)), 409);
    assert.equal(await domainStore.commit(placing(domainStore.view, jobId)), 200);
  });
