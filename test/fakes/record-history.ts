/**
 * A drawn history of the records in a state service, and one replica that follows it by every means there is: own commits
 * ahead of the watch, watches answered late, full readings in pages, restarts.
 */
import assert from 'node:assert/strict';
import { newJob } from '../../src/model/job-lifecycle.js';
import type { Changes, Event, Item, Write } from '../../src/store/client.js';
import {
  encodeAllocations,
  encodeDomainHead,
  encodeFinalState,
  encodeJob,
  encodeMachineBatch,
  encodeShard,
  decodeAllocations,
  decodeShard,
  keys,
} from '../../src/store/records/index.js';
import { State } from '../../src/store/state.js';
import { without } from '../../src/util/records.js';
import type { Body } from '../../src/wire/codec.js';
import type { Step, StepOf } from './record-history-steps.js';
import { JOB } from './world.js';

export const HOSTS = ['a', 'b', 'c'];
const MACHINES = ['i-1', 'i-2', 'i-3', 'i-4'];
const JOBS = ['j-1', 'j-2', 'j-3'];
const BATCH_COUNT = 3;
/** Prefixes that a full reading reads, one after the other. */
const READ_PREFIXES = ['tv/dom/', 'tv/job/', 'tv/lot/', 'tv/own/', 'tv/run/'];
const RECORDS_PER_PAGE = 5;

/** A watch that was sent when the replica was complete up to `since`. */
interface Watch {
  since: number;
  /** What it is answered with; null: one that blocks gets the changes there are when it is answered. */
  changes: Changes | null;
}

/** A full reading of which pages are still to be read. */
interface PartialReading {
  items: Item[];
  prefixIndex: number;
  lastKey: string;
  fromRevision: number;
}

/** A full reading that is complete but for the changes since it began, which are on their way. */
interface CompleteReading {
  items: Item[];
  fromRevision: number;
  changes: Changes;
}

const nameAt = (names: readonly string[], index: number): string =>
  names[index % names.length] ?? '';

/** The records of a state service with their history, and a replica of them. */
export class RecordHistory {
  private readonly records = new Map<string, Item>();
  private readonly events: Event[] = [];
  private revision = 0;
  private state = new State(() => undefined);
  private watches: Watch[] = [];
  private partialReading: PartialReading | null = null;
  private completeReading: CompleteReading | null = null;

  /** `isReversed`: the service lists the changes of an answer in the reverse order. */
  constructor(private readonly isReversed: boolean) {
    const head = encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: {} });
    for (const host of HOSTS) this.put(keys.domain(host), head);
    for (const jobId of JOBS) this.put(keys.job(jobId), encodeJob(newJob({ ...JOB, tasks: 9 }, 0)));
    this.put(keys.machineShard('a', 0), encodeShard({ 1: MACHINES.slice(0, 2) }));
    this.put(keys.machineShard('b', 0), encodeShard({ 1: MACHINES.slice(2) }));
    this.readAtOnce();
  }

  run(steps: readonly Step[]): State {
    for (const one of steps) this.perform(one);
    return this.state;
  }

  /** Brings the replica up to date, by the changes that it lacks. */
  finish(): { state: State; records: ReadonlyMap<string, Item> } {
    this.state.replica.follow(this.changesSince(this.state.replica.revision), this.revision);
    return { state: this.state, records: this.records };
  }

  private perform(one: Step): void {
    switch (one.kind) {
      case 'move machine':
        this.move(one);
        break;
      case 'write head':
        this.writeHead(nameAt(HOSTS, one.host), one.own);
        break;
      case 'allocate':
        this.allocate(one);
        break;
      case 'clear allocations':
        this.clearAllocations(one);
        break;
      case 'write job':
        this.writeJob(nameAt(JOBS, one.job), one.isAlive);
        break;
      case 'write batch':
        this.writeBatch(one);
        break;
      case 'send watch':
        this.sendWatch(one.blocks);
        break;
      case 'answer watch':
        this.answerWatch(one.nth);
        break;
      case 'read page':
        this.readPage();
        break;
      case 'finish reading':
        this.finishReading();
        break;
      case 'restart':
        this.restart();
        break;
    }
  }

  /** A machine changes domains: the shard of one side is put or deleted, that of the other put. */
  private move(one: StepOf<'move machine'>): void {
    const machineId = nameAt(MACHINES, one.machine);
    const to = one.to === null ? null : nameAt(HOSTS, one.to);
    const writes: Write[] = [];
    for (const host of HOSTS) {
      const key = keys.machineShard(host, 0);
      const before = Object.values(decodeShard(this.records.get(key)?.value ?? {})).flat();
      const after = before.filter((listed) => listed !== machineId);
      if (host === to) after.push(machineId);
      if (after.length === before.length && host !== to) continue;
      const shard = encodeShard({ [String(this.revision + 1)]: after });
      writes.push(after.length > 0 ? { put: key, value: shard } : { delete: key });
    }
    this.commit(writes, one.own);
  }

  private writeHead(host: string, isOwn: boolean): void {
    const head = encodeDomainHead({ incarnation: 2, fencingToken: this.revision, quota: {} });
    this.commit([{ put: keys.domain(host), value: head }], isOwn);
  }

  private allocate(one: StepOf<'allocate'>): void {
    const key = keys.allocations(nameAt(HOSTS, one.host), 0);
    const partition = decodeAllocations(this.records.get(key)?.value ?? {});
    const allocations = Array.from({ length: one.tasks }, (_, n) => [n, this.revision]).flat();
    const byMachine =
      allocations.length > 0 ? { [nameAt(MACHINES, one.machine)]: allocations } : {};
    const value = encodeAllocations({ ...partition, [nameAt(JOBS, one.job)]: byMachine });
    this.commit([{ put: key, value }], one.own);
  }

  /** The partition names the job no more. */
  private clearAllocations(one: StepOf<'clear allocations'>): void {
    const key = keys.allocations(nameAt(HOSTS, one.host), 0);
    const partition = decodeAllocations(this.records.get(key)?.value ?? {});
    const value = encodeAllocations(without(partition, nameAt(JOBS, one.job)));
    this.commit([{ put: key, value }], one.own);
  }

  private writeJob(jobId: string, isAlive: boolean): void {
    const key = keys.job(jobId);
    const job = encodeJob(newJob({ ...JOB, tasks: 9 }, 0));
    const finalState = encodeFinalState({ phase: 'done', tasks: 9 });
    if (isAlive) this.commit([{ put: key, value: job }], false);
    else this.commit([{ delete: key }, { put: keys.finalState(jobId), value: finalState }], false);
  }

  /** A bit of `machines` for each machine says whether the batch lists it. */
  private writeBatch({ batch, machines }: StepOf<'write batch'>): void {
    const key = keys.machineBatch(`l-${String(batch % BATCH_COUNT)}`);
    const listed = MACHINES.filter((_, n) => (machines >> n) & 1);
    if (listed.length === 0) {
      this.commit([{ delete: key }], false);
      return;
    }
    const value = encodeMachineBatch({
      machineType: 'plain',
      zone: 'x',
      spot: false,
      recordedAt: 0,
      addresses: Object.fromEntries(listed.map((id) => [id, 'x:1'])),
    });
    this.commit([{ put: key, value }], false);
  }

  private put(key: string, value: Body): void {
    this.commit([{ put: key, value }], false);
  }

  /** Applied by the service; if it is the replica's own, the replica is told at once, ahead of the watch. */
  private commit(writes: Write[], isOwn: boolean): void {
    if (writes.length === 0) return;
    // An own commit has conditions on what it changes, so the replica knew these records as they were.
    const isKnown = writes.every((write) => {
      const key = 'put' in write ? write.put : write.delete;
      return this.state.modRevisionOf(key) === (this.records.get(key)?.modRevision ?? 0);
    });
    this.revision++;
    const modRevision = this.revision;
    for (const write of writes) {
      if ('put' in write) {
        this.records.set(write.put, { key: write.put, value: write.value, modRevision });
        this.events.push({ put: write.put, value: write.value, modRevision });
      } else if (this.records.delete(write.delete))
        this.events.push({ delete: write.delete, modRevision });
    }
    if (isOwn && isKnown) this.state.replica.applied(writes, this.revision);
  }

  private changesSince(since: number): Changes {
    const events = this.events.filter(({ modRevision }) => modRevision > since);
    return { revision: this.revision, events: this.isReversed ? events.reverse() : events };
  }

  private sendWatch(blocks: boolean): void {
    const since = this.state.replica.revision;
    this.watches.push({ since, changes: blocks ? null : this.changesSince(since) });
  }

  private answerWatch(nth: number): void {
    const [watch] = this.watches.splice(nth % (this.watches.length || 1), 1);
    if (!watch) return;
    const changes = watch.changes ?? this.changesSince(watch.since);
    this.state.replica.follow(changes, this.revision);
  }

  /** One more page of a reading under way; what changes between two pages may be in neither or in both. */
  private readPage(): void {
    this.partialReading ??= { items: [], prefixIndex: 0, lastKey: '', fromRevision: this.revision };
    const reading = this.partialReading;
    const prefix = READ_PREFIXES[reading.prefixIndex] ?? '';
    const rest = [...this.records.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > reading.lastKey)
      .sort((one, two) => (one.key < two.key ? -1 : 1));
    const page = rest.slice(0, RECORDS_PER_PAGE);
    reading.items.push(...page);
    reading.lastKey = page.at(-1)?.key ?? '';
    if (rest.length <= RECORDS_PER_PAGE) {
      reading.prefixIndex++;
      reading.lastKey = '';
    }
    if (reading.prefixIndex < READ_PREFIXES.length) return;
    this.partialReading = null;
    const { items, fromRevision } = reading;
    this.completeReading = { items, fromRevision, changes: this.changesSince(fromRevision) };
  }

  /** The changes since a reading began arrive, while the replica may have gone further. */
  private finishReading(): void {
    if (!this.completeReading) return;
    const { items, fromRevision, changes } = this.completeReading;
    this.completeReading = null;
    if (!this.state.replica.load(items, 0, changes, 1))
      assert.ok(this.state.replica.load(items, 0, this.changesSince(fromRevision), 1));
  }

  private restart(): void {
    this.state = new State(() => undefined);
    this.watches = [];
    this.partialReading = null;
    this.completeReading = null;
    this.readAtOnce();
  }

  private readAtOnce(): void {
    const items = [...this.records.values()].filter(({ key }) => !key.startsWith('tv/end/'));
    this.state.replica.load(items, 0, { revision: this.revision, events: [] }, 0);
  }
}
