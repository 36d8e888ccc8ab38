import { newJob, placeTasks } from '../src/model/job-lifecycle.js';
import { encodeTransaction } from '../src/protocol/state-service.js';
/** A domain on whose machines more is recorded than a transaction can guard part by part. */
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
/** Enough for one part: names and numbers take some 30 bytes a machine. */
const TASKS_PER_JOB = 12;

/** The state service, and one view of it that is always current. */
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
    this.view.replica.applied(transaction.writes, revision);
    this.view.replica.revision = revision;
    return status;
  }

  /** A copy of the view as it is now, which learns nothing more. */
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

  /** A job that waits. */
  async submit(): Promise<string> {
    const jobId = `j-${String(this.jobs++).padStart(6, '0')}`;
    const value = encodeJob(newJob({ ...JOB, tasks: 100 }, 0));
    assert.equal(
      await this.commit({ conditions: [], writes: [{ put: keys.job(jobId), value }] }),
      200,
    );
    return jobId;
  }

  /** Records tasks until the domain has so many parts. */
  async fill(parts: number): Promise<void> {
    while (this.view.allocationKeys(HOST).length - 1 < parts) {
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
  const made = new StoreWithView();
  const head = encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: {} });
  await made.commit({ conditions: [], writes: [{ put: keys.domain(HOST), value: head }] });
  return made;
}

/** What the domain's holder would commit, deciding by that view. */
function placing(view: State, jobId: string): Transaction {
  const builder = new TransactionBuilder(view, HOST, LIMITS);
  builder.require(view.unchanged(keys.domain(HOST)));
  const job = view.jobs.get(jobId);
  assert.ok(job);
  const machines = Array.from(
    { length: TASKS_PER_JOB },
    (_, index) => `i-${jobId.slice(2)}${String(index)}`,
  );
  assert.ok(builder.set(jobId, placeTasks(job, machines)), 'the records hold it');
  return builder.build();
}

/** What a peer would commit that takes machines away or a part of a limit, deciding by that view. */
function taking(view: State): Transaction {
  const domain = view.domains.get(HOST);
  assert.ok(domain);
  return {
    conditions: [
      view.unchanged(keys.domain(HOST)),
      ...allocationConditions(view, HOST, LIMITS.maxWrites),
    ],
    writes: [{ put: keys.domain(HOST), value: encodeDomainHead(domain) }],
  };
}

void test('large domain: tasks are recorded beyond the parts that are conditions one by one', async () => {
  const { view, fill } = await storeWithDomain().then((made) => ({
    view: made.view,
    fill: (parts: number) => made.fill(parts),
  }));
  await fill(MAX_GUARDED_PARTITIONS * 2);
  assert.ok(isLargeDomain(view, HOST, LIMITS.maxWrites));
  assert.equal(allocationConditions(view, HOST, LIMITS.maxWrites).length, 0);
});

/** How many parts the domain has when both sides decide. */
const RACES = [
  { name: 'a small domain', parts: 3 },
  { name: 'a domain whose next part makes it large', parts: MAX_GUARDED_PARTITIONS },
  { name: 'a large domain', parts: MAX_GUARDED_PARTITIONS + 4 },
];

for (const { name, parts } of RACES)
  for (const first of ['placing', 'taking'] as const)
    void test(`${name}: of placing and taking decided at one moment, ${first} comes first and the other fails`, async () => {
      const made = await storeWithDomain();
      await made.fill(parts);
      const jobId = await made.submit();
      const placed = placing(made.view, jobId);
      const taken = taking(made.view);
      const [one, two] = first === 'placing' ? [placed, taken] : [taken, placed];
      assert.equal(await made.commit(one), 200);
      assert.equal(await made.commit(two), 409);
    });

// An earlier process of the same controller, or a copy of its transaction, may still be on its way.
for (const parts of [
  3,
  MAX_GUARDED_PARTITIONS - 1,
  MAX_GUARDED_PARTITIONS,
  MAX_GUARDED_PARTITIONS + 4,
])
  void test(`large domain: what was decided with ${String(parts)} parts known fails once more have been made`, async () => {
    const made = await storeWithDomain();
    await made.fill(parts);
    const jobId = await made.submit();
    const before = made.frozen();
    await made.fill(MAX_GUARDED_PARTITIONS + 6);
    assert.equal(await made.commit(placing(before, jobId)), 409);
    assert.equal(await made.commit(taking(before)), 409);
    assert.equal(await made.commit(placing(made.view, jobId)), 200);
  });
