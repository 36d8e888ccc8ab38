/**
 * A state equals one built afresh from the records it holds, whatever the order in which these came: commits by
 * several, own commits ahead of the watch, watches answered late, full readings in pages, restarts.
 */
import { newJob } from '../src/model/job-lifecycle.js';
import { encodeDomainHead, encodeJob, keys } from '../src/store/records/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Write, Changes, Event, Item } from '../src/store/client.js';
import { auditIndexes } from '../src/store/state-audit.js';
import { State } from '../src/store/state.js';
import { JOB } from './fakes/world.js';

const HOSTS = ['a', 'b', 'c'];
const MACHINES = ['i-1', 'i-2', 'i-3', 'i-4'];
const JOBS = ['j-1', 'j-2', 'j-3'];
const KINDS = ['dom/', 'job/', 'lot/', 'own/', 'run/'];
const RUNS = 4000;
/** Records of a page of a reading. */
const PAGE = 5;

/** One thing that happens; numbers pick among what there is. */
type Step =
  | { kind: 'move'; machine: number; to: number; own: boolean }
  | { kind: 'forget'; machine: number }
  | { kind: 'head'; host: number; own: boolean }
  | { kind: 'record'; host: number; machine: number; job: number; tasks: number; own: boolean }
  | { kind: 'job'; job: number; alive: boolean }
  | { kind: 'batch'; lot: number; machines: number }
  | { kind: 'ask'; blocks: boolean }
  | { kind: 'answer'; nth: number }
  | { kind: 'read page' }
  | { kind: 'reading answered' }
  | { kind: 'restart' };

const pick = fc.nat({ max: 11 });
const own = fc.boolean();
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('move'), machine: pick, to: pick, own }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('forget'), machine: pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('head'), host: pick, own }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('record'),
      host: pick,
      machine: pick,
      job: pick,
      tasks: fc.nat({ max: 3 }),
      own,
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('job'), job: pick, alive: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('batch'), lot: pick, machines: pick }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('ask'), blocks: fc.boolean() }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('answer'), nth: pick }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('read page') }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('reading answered') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart') }) },
);

/** The records of a store with its log, and one replica that follows it by every means there is. */
class Play {
  private readonly records = new Map<string, Item>();
  private readonly log: Event[] = [];
  private generation = 0;
  private state = new State(() => undefined);
  /** Questions that left when the replica was that far; those that block are answered when something has changed. */
  private watches: { since: number; changes: Changes | null }[] = [];
  /** A reading that is complete but for the answer to its last question. */
  private read: { items: Item[]; generation: number; changes: Changes } | null = null;
  private reading: { items: Item[]; kind: number; after: string; generation: number } | null = null;

  constructor(private readonly reversed: boolean) {
    for (const host of HOSTS)
      this.put(keys.domain(host), encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: {} }));
    for (const uid of JOBS) this.put(keys.job(uid), encodeJob(newJob({ ...JOB, tasks: 9 }, 0)));
    this.put(keys.machineShard('a', 0), { 1: MACHINES.slice(0, 2) });
    this.put(keys.machineShard('b', 0), { 1: MACHINES.slice(2) });
    this.readAtOnce();
  }

  run(steps: readonly Step[]): State {
    for (const one of steps) this.do(one);
    return this.state;
  }

  /** Brings the replica up to date, by the changes that it lacks. */
  finish(): { state: State; records: ReadonlyMap<string, Item> } {
    this.state.replica.follow(this.changesSince(this.state.replica.revision), this.generation);
    return { state: this.state, records: this.records };
  }

  private do(one: Step): void {
    switch (one.kind) {
      case 'move':
        this.move(
          MACHINES[one.machine % MACHINES.length] ?? '',
          HOSTS[one.to % HOSTS.length] ?? '',
          one.own,
        );
        break;
      case 'forget':
        this.move(MACHINES[one.machine % MACHINES.length] ?? '', null, false);
        break;
      case 'head': {
        const host = HOSTS[one.host % HOSTS.length] ?? '';
        this.commit(
          [
            {
              put: keys.domain(host),
              value: encodeDomainHead({ incarnation: 2, fencingToken: this.generation, quota: {} }),
            },
          ],
          one.own,
        );
        break;
      }
      case 'record':
        this.record(one);
        break;
      case 'job': {
        const uid = JOBS[one.job % JOBS.length] ?? '';
        const key = keys.job(uid);
        if (one.alive)
          this.commit([{ put: key, value: encodeJob(newJob({ ...JOB, tasks: 9 }, 0)) }], false);
        else
          this.commit(
            [{ delete: key }, { put: keys.finalState(uid), value: { ph: 'done', tasks: 9 } }],
            false,
          );
        break;
      }
      case 'batch': {
        const b = Object.fromEntries(
          MACHINES.filter((_, n) => (one.machines >> n) & 1).map((id) => [id, 'x:1']),
        );
        const key = keys.machineBatch(`l-${String(one.lot % 3)}`);
        const value = { f: 'plain', s: 'x', r: false, at: 0, b };
        this.commit([Object.keys(b).length > 0 ? { put: key, value } : { delete: key }], false);
        break;
      }
      case 'ask':
        this.ask(one.blocks);
        break;
      case 'answer': {
        const [watch] = this.watches.splice(one.nth % (this.watches.length || 1), 1);
        if (watch)
          this.state.replica.follow(
            watch.changes ?? this.changesSince(watch.since),
            this.generation,
          );
        break;
      }
      case 'read page':
        this.readPage();
        break;
      case 'reading answered':
        this.finishReading();
        break;
      case 'restart':
        this.state = new State(() => undefined);
        this.watches = [];
        this.reading = null;
        this.read = null;
        this.readAtOnce();
        break;
    }
  }

  private ask(blocks: boolean): void {
    const since = this.state.replica.revision;
    this.watches.push({ since, changes: blocks ? null : this.changesSince(since) });
  }

  /** A machine changes domains: the shard of one side is put or deleted, that of the other put. */
  private move(machine: string, to: string | null, isOwn: boolean): void {
    const changes: Write[] = [];
    for (const host of HOSTS) {
      const key = keys.machineShard(host, 0);
      const shard = (this.records.get(key)?.value ?? {}) as Record<string, string[]>;
      const before = Object.values(shard).flat();
      const after = before.filter((one) => one !== machine);
      if (host === to) after.push(machine);
      if (after.length === before.length && host !== to) continue;
      const term = String(this.generation + 1);
      changes.push(after.length > 0 ? { put: key, value: { [term]: after } } : { delete: key });
    }
    this.commit(changes, isOwn);
  }

  private record(one: Extract<Step, { kind: 'record' }>): void {
    const key = keys.allocations(HOSTS[one.host % HOSTS.length] ?? '', 0);
    const uid = JOBS[one.job % JOBS.length] ?? '';
    const machine = MACHINES[one.machine % MACHINES.length] ?? '';
    const run = { ...(this.records.get(key)?.value ?? {}) };
    const pairs = Array.from({ length: one.tasks }, (_, n) => [n, this.generation]).flat();
    const runs = pairs.length > 0 ? { [machine]: pairs } : {};
    this.commit([{ put: key, value: { ...run, [uid]: runs } }], one.own);
  }

  private put(key: string, value: Item['value']): void {
    this.commit([{ put: key, value }], false);
  }

  /** Carried out by the store; if it is the replica's own, it is told of at once, ahead of the watch. */
  private commit(changes: Write[], isOwn: boolean): void {
    if (changes.length === 0) return;
    // An own commit guards what it changes, so the replica knew these records as they were.
    const knows = changes.every((change) => {
      const key = 'put' in change ? change.put : change.delete;
      return this.state.modRevisionOf(key) === (this.records.get(key)?.modRevision ?? 0);
    });
    this.generation++;
    for (const change of changes) {
      const stamp = this.generation;
      if ('put' in change) {
        this.records.set(change.put, { key: change.put, value: change.value, modRevision: stamp });
        this.log.push({ put: change.put, value: change.value, modRevision: stamp });
      } else if (this.records.delete(change.delete))
        this.log.push({ delete: change.delete, modRevision: stamp });
    }
    if (isOwn && knows) this.state.replica.applied(changes, this.generation);
  }

  private changesSince(since: number): Changes {
    const events = this.log.filter(({ modRevision }) => modRevision > since);
    return { revision: this.generation, events: this.reversed ? events.reverse() : events };
  }

  /** One more page of a reading under way; what comes between two pages is in neither or in both. */
  private readPage(): void {
    this.reading ??= { items: [], kind: 0, after: '', generation: this.generation };
    const { reading } = this;
    const under = `tv/${KINDS[reading.kind] ?? ''}`;
    const rest = [...this.records.values()]
      .filter(({ key }) => key.startsWith(under) && key > reading.after)
      .sort((one, two) => (one.key < two.key ? -1 : 1));
    const page = rest.slice(0, PAGE);
    reading.items.push(...page);
    reading.after = page.at(-1)?.key ?? '';
    if (rest.length <= PAGE) {
      reading.kind++;
      reading.after = '';
    }
    if (reading.kind < KINDS.length) return;
    this.reading = null;
    const { items, generation } = reading;
    this.read = { items, generation, changes: this.changesSince(generation) };
  }

  /** The changes that were asked for at the end of a reading arrive, while the replica may have gone further. */
  private finishReading(): void {
    if (!this.read) return;
    const { items, generation, changes } = this.read;
    this.read = null;
    if (!this.state.replica.load(items, 0, changes, 1))
      assert.ok(this.state.replica.load(items, 0, this.changesSince(generation), 1));
  }

  private readAtOnce(): void {
    const items = [...this.records.values()].filter(({ key }) => !key.startsWith('tv/end/'));
    this.state.replica.load(items, 0, { revision: this.generation, events: [] }, 0);
  }
}

/** The same records, read in one go. */
function afresh(records: Iterable<Item>): State {
  const state = new State(() => undefined);
  const items = [...records].filter(({ key }) => !key.startsWith('tv/end/'));
  const generation = Math.max(0, ...items.map(({ modRevision: stamp }) => stamp));
  state.replica.load(items, 0, { revision: generation, events: [] }, 0);
  return state;
}

const sorted = <V>(map: Iterable<readonly [string, V]>): [string, V][] =>
  [...map]
    .map(([key, value]): [string, V] => [key, value])
    .sort(([one], [two]) => (one < two ? -1 : 1));

/** All that is derived, laid out for comparison; sums without their rounding errors. */
function derived(state: State): unknown {
  const use = (sums: Iterable<readonly [string, { cpus: number; gpus: number }]>): unknown =>
    sorted(sums)
      .map(([team, { cpus, gpus }]) => [team, Math.round(cpus * 1e6), Math.round(gpus * 1e6)])
      .filter(([, cpus, gpus]) => cpus !== 0 || gpus !== 0);
  return {
    owners: sorted(state.owners()),
    machinesOf: HOSTS.map((host) => sorted(state.machinesOf(host))),
    domains: sorted(state.domains).map(([host, { machines: m, ...head }]) => [
      host,
      head,
      sorted(m),
    ]),
    boxes: sorted(state.machines),
    jobs: sorted(state.jobs).map(([uid, job]) => [
      uid,
      { ...job, allocationsByMachine: sorted(Object.entries(job.allocationsByMachine)) },
    ]),
    onBox: sorted(state.jobsByMachine).map(([machine, uids]) => [machine, [...uids].sort()]),
    usage: use(state.usage),
    usedOn: HOSTS.map((host) => use(state.usageInDomain(host))),
    partKeys: HOSTS.map((host) => state.allocationKeys(host)),
    wronglyRemoved: [...state.removedMachines].filter((machine) => state.machines.has(machine)),
  };
}

const schedule = fc.record({
  reversed: fc.boolean(),
  steps: fc.array(step, { minLength: 5, maxLength: 120 }),
});

void test('state: it equals one built afresh from the records it holds, at any moment', () => {
  fc.assert(
    fc.property(schedule, ({ reversed, steps }) => {
      const state = new Play(reversed).run(steps);
      const held = [...state.replica.records()].map(([key, { value, modRevision }]) => ({
        key,
        value,
        modRevision,
      }));
      assert.deepEqual(derived(state), derived(afresh(held)));
      assert.deepEqual(auditIndexes(state), []);
    }),
    { seed: 28, numRuns: RUNS },
  );
});

void test('state: once it is up to date, it equals one built afresh from the records of the store', () => {
  fc.assert(
    fc.property(schedule, ({ reversed, steps }) => {
      const play = new Play(reversed);
      play.run(steps);
      const { state, records } = play.finish();
      assert.deepEqual(derived(state), derived(afresh(records.values())));
    }),
    { seed: 29, numRuns: RUNS },
  );
});
