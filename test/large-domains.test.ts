/** A domain on whose machines more is recorded than a transaction can guard part by part. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { newJob, place } from '../src/jobs/life.js';
import type { Txn } from '../src/store/client.js';
import { isLarge, mostGuardedParts, partGuards } from '../src/store/part-guards.js';
import { keys, storeHead, storeJob } from '../src/store/records.js';
import { State } from '../src/store/state.js';
import { TransactionBuilder } from '../src/store/transaction-builder.js';
import type { Body } from '../src/wire/codec.js';
import { FakeStateStore } from './fakes/store.js';
import { SeededRandom, VirtualTime } from './fakes/time.js';
import { JOB } from './fakes/world.js';

const LIMITS = { txnOps: 4, valueBytes: 512, bytes: 40_000 };
const HOST = 'a';
const MOST = mostGuardedParts(LIMITS.txnOps);
/** Enough for one part: names and numbers take some 30 bytes a machine. */
const PER_JOB = 12;

/** The state service, and one view of it that is always current. */
class Site {
  readonly store = new FakeStateStore(new VirtualTime(), new SeededRandom(1), {
    value_kb: LIMITS.valueBytes / 1024,
    txn_ops: LIMITS.txnOps,
  });
  readonly view = new State(() => undefined);
  private jobs = 0;

  async commit(txn: Txn): Promise<number> {
    const body = { ...txn } as unknown as Body;
    const call = { method: 'POST', path: '/commit', body, timeoutMs: 1000 } as const;
    const { status, body: answer } = await this.store.handle(HOST, call);
    const generation = Number(answer['generation']);
    if (status !== 200) return status;
    this.view.replica.applied(txn.apply, generation);
    this.view.replica.generation = generation;
    return status;
  }

  /** A copy of the view as it is now, which learns nothing more. */
  frozen(): State {
    const copy = new State(() => undefined);
    const items = [...this.view.replica.records()].map(([key, { value, stamp }]) => ({
      key,
      value,
      stamp,
    }));
    const { generation } = this.view.replica;
    copy.replica.load(items, 0, { generation, events: [] }, 0);
    return copy;
  }

  /** A job that waits. */
  async submit(): Promise<string> {
    const uid = `j-${String(this.jobs++).padStart(6, '0')}`;
    const value = storeJob(newJob({ ...JOB, tasks: 100 }, 0));
    assert.equal(await this.commit({ guards: [], apply: [{ put: keys.job(uid), value }] }), 200);
    return uid;
  }

  /** Records tasks until the domain has so many parts. */
  async fill(parts: number): Promise<void> {
    while (this.view.partKeys(HOST).length - 1 < parts) {
      const txn = placing(this.view, await this.submit());
      assert.ok(txn.guards.length <= LIMITS.txnOps * 4, `${String(txn.guards.length)} guards`);
      assert.equal(await this.commit(txn), 200);
    }
  }
}

async function site(): Promise<Site> {
  const made = new Site();
  const head = storeHead({ inc: 1, term: 1, quota: {} });
  await made.commit({ guards: [], apply: [{ put: keys.domain(HOST), value: head }] });
  return made;
}

/** What the domain's holder would commit, deciding by that view. */
function placing(view: State, uid: string): Txn {
  const builder = new TransactionBuilder(view, HOST, LIMITS);
  builder.guard(view.guard(keys.domain(HOST)));
  const job = view.jobs.get(uid);
  assert.ok(job);
  const machines = Array.from({ length: PER_JOB }, (_, at) => `i-${uid.slice(2)}${String(at)}`);
  assert.ok(builder.set(uid, place(job, machines)), 'the records hold it');
  return builder.txn();
}

/** What a peer would commit that takes machines away or deals a part of a limit, deciding by that view. */
function taking(view: State): Txn {
  const domain = view.domains.get(HOST);
  assert.ok(domain);
  return {
    guards: [view.guard(keys.domain(HOST)), ...partGuards(view, HOST, LIMITS.txnOps)],
    apply: [{ put: keys.domain(HOST), value: storeHead(domain) }],
  };
}

void test('large domain: tasks are recorded beyond the parts that are guarded one by one', async () => {
  const { view, fill } = await site().then((made) => ({
    view: made.view,
    fill: (parts: number) => made.fill(parts),
  }));
  await fill(MOST * 2);
  assert.ok(isLarge(view, HOST, LIMITS.txnOps));
  assert.equal(partGuards(view, HOST, LIMITS.txnOps).length, 0);
});

/** How many parts the domain has when both sides decide. */
const RACES = [
  { name: 'a small domain', parts: 3 },
  { name: 'a domain whose next part makes it large', parts: MOST },
  { name: 'a large domain', parts: MOST + 4 },
];

for (const { name, parts } of RACES)
  for (const first of ['placing', 'taking'] as const)
    void test(`${name}: of placing and taking decided at one moment, ${first} comes first and the other fails`, async () => {
      const made = await site();
      await made.fill(parts);
      const uid = await made.submit();
      const placed = placing(made.view, uid);
      const taken = taking(made.view);
      const [one, two] = first === 'placing' ? [placed, taken] : [taken, placed];
      assert.equal(await made.commit(one), 200);
      assert.equal(await made.commit(two), 409);
    });

// An earlier process of the same controller, or a copy of its transaction, may still be on its way.
for (const parts of [3, MOST - 1, MOST, MOST + 4])
  void test(`large domain: what was decided with ${String(parts)} parts known fails once more have been made`, async () => {
    const made = await site();
    await made.fill(parts);
    const uid = await made.submit();
    const before = made.frozen();
    await made.fill(MOST + 6);
    assert.equal(await made.commit(placing(before, uid)), 409);
    assert.equal(await made.commit(taking(before)), 409);
    assert.equal(await made.commit(placing(made.view, uid)), 200);
  });
