/**
 * A random history of the records in a state service, and a replica that follows it in every way that the service allows:
 * own commits applied ahead of the watch, late answers to watches, full reads in pages, and restarts.
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
/** Key prefixes that a full read covers, in this order. */
const FULL_READ_PREFIXES = ['tv/dom/', 'tv/job/', 'tv/lot/', 'tv/own/', 'tv/run/'];
const RECORDS_PER_PAGE = 5;

/** A watch request that was sent when the replica was complete up to revision `since`. */
interface Watch {
  since: number;
  /** The answer if it is already determined; null for a blocking watch, which returns the changes up to its answer. */
  changes: Changes | null;
}

/** A full read with pages still to be read. */
interface OngoingFullRead {
  items: Item[];
  prefixIndex: number;
  lastKey: string;
  fromRevision: number;
}

/** A full read whose last page has been read; only the changes since its start are still to be delivered. */
interface CompleteFullRead {
  items: Item[];
  fromRevision: number;
  changes: Changes;
}

const pickName = (names: readonly string[], index: number): string =>
  names[index % names.length] ?? '';

/** The records of a state service with their history, and a replica of them. */
export class RecordHistory {
  private readonly records = new Map<string, Item>();
  private readonly events: Event[] = [];
  private revision = 0;
  private state = new State(() => undefined);
  private watches: Watch[] = [];
  private ongoingFullRead: OngoingFullRead | null = null;
  private completeFullRead: CompleteFullRead | null = null;

  /** With `isReversed`, the service lists the changes of an answer in reverse order. */
  constructor(private readonly isReversed: boolean) {
    const head = encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: {} });
    for (const host of HOSTS) this.put(keys.domain(host), head);
    for (const jobId of JOBS) this.put(keys.job(jobId), encodeJob(newJob({ ...JOB, tasks: 9 }, 0)));
    this.put(keys.machineShard('a', 0), encodeShard({ 1: MACHINES.slice(0, 2) }));
    this.put(keys.machineShard('b', 0), encodeShard({ 1: MACHINES.slice(2) }));
    this.loadFullRead();
  }

  run(steps: readonly Step[]): State {
    for (const step of steps) this.perform(step);
    return this.state;
  }

  /** Applies all changes that the replica lacks; returns it together with the records of the service. */
  finish(): { state: State; records: ReadonlyMap<string, Item> } {
    this.state.replica.applyChanges(this.changesSince(this.state.replica.revision), this.revision);
    return { state: this.state, records: this.records };
  }

  private perform(step: Step): void {
    switch (step.kind) {
      case 'move machine':
        this.move(step);
        break;
      case 'write head':
        this.writeHead(pickName(HOSTS, step.host), step.own);
        break;
      case 'allocate':
        this.allocate(step);
        break;
      case 'clear allocations':
        this.clearAllocations(step);
        break;
      case 'write job':
        this.writeJob(pickName(JOBS, step.job), step.isAlive);
        break;
      case 'write batch':
        this.writeBatch(step);
        break;
      case 'send watch':
        this.sendWatch(step.blocks);
        break;
      case 'answer watch':
        this.answerWatch(step.nth);
        break;
      case 'read page':
        this.readPage();
        break;
      case 'finish full read':
        this.finishFullRead();
        break;
      case 'restart':
        this.restart();
        break;
    }
  }

  /** Moves a machine to another domain: its old shard is put or deleted, and its new shard is put. */
  private move(step: StepOf<'move machine'>): void {
    const machineId = pickName(MACHINES, step.machine);
    const to = step.to === null ? null : pickName(HOSTS, step.to);
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
    this.commit(writes, step.own);
  }

  private writeHead(host: string, isOwn: boolean): void {
    const head = encodeDomainHead({ incarnation: 2, fencingToken: this.revision, quota: {} });
    this.commit([{ put: keys.domain(host), value: head }], isOwn);
  }

  private allocate(step: StepOf<'allocate'>): void {
    const key = keys.allocations(pickName(HOSTS, step.host), 0);
    const partition = decodeAllocations(this.records.get(key)?.value ?? {});
    const allocations = Array.from({ length: step.tasks }, (_, n) => [n, this.revision]).flat();
    const byMachine =
      allocations.length > 0 ? { [pickName(MACHINES, step.machine)]: allocations } : {};
    const value = encodeAllocations({ ...partition, [pickName(JOBS, step.job)]: byMachine });
    this.commit([{ put: key, value }], step.own);
  }

  /** Removes the job from the partition. */
  private clearAllocations(step: StepOf<'clear allocations'>): void {
    const key = keys.allocations(pickName(HOSTS, step.host), 0);
    const partition = decodeAllocations(this.records.get(key)?.value ?? {});
    const value = encodeAllocations(without(partition, pickName(JOBS, step.job)));
    this.commit([{ put: key, value }], step.own);
  }

  private writeJob(jobId: string, isAlive: boolean): void {
    const key = keys.job(jobId);
    const job = encodeJob(newJob({ ...JOB, tasks: 9 }, 0));
    const finalState = encodeFinalState({ phase: 'done', tasks: 9 });
    if (isAlive) this.commit([{ put: key, value: job }], false);
    else this.commit([{ delete: key }, { put: keys.finalState(jobId), value: finalState }], false);
  }

  /** Bit n of `machines` determines whether the batch lists machine n. */
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

  /** The service applies a commit. If it is the replica's own, the replica applies it at once, ahead of the watch. */
  private commit(writes: Write[], isOwn: boolean): void {
    if (writes.length === 0) return;
    // An own commit is conditional on the records it changes, so it succeeds only if the replica has them current.
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
    if (isOwn && isKnown) this.state.replica.applyOwnCommit(writes, this.revision);
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
    this.state.replica.applyChanges(changes, this.revision);
  }

  /** Reads the next page of a full read. A record that moves between two pages may appear in neither or in both. */
  private readPage(): void {
    this.ongoingFullRead ??= {
      items: [],
      prefixIndex: 0,
      lastKey: '',
      fromRevision: this.revision,
    };
    const fullRead = this.ongoingFullRead;
    const prefix = FULL_READ_PREFIXES[fullRead.prefixIndex] ?? '';
    const rest = [...this.records.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > fullRead.lastKey)
      .sort((one, two) => (one.key < two.key ? -1 : 1));
    const page = rest.slice(0, RECORDS_PER_PAGE);
    fullRead.items.push(...page);
    fullRead.lastKey = page.at(-1)?.key ?? '';
    if (rest.length <= RECORDS_PER_PAGE) {
      fullRead.prefixIndex++;
      fullRead.lastKey = '';
    }
    if (fullRead.prefixIndex < FULL_READ_PREFIXES.length) return;
    this.ongoingFullRead = null;
    const { items, fromRevision } = fullRead;
    this.completeFullRead = { items, fromRevision, changes: this.changesSince(fromRevision) };
  }

  /** Delivers the changes since the start of a full read. The replica may be at a later revision in the meantime. */
  private finishFullRead(): void {
    if (!this.completeFullRead) return;
    const { items, fromRevision, changes } = this.completeFullRead;
    this.completeFullRead = null;
    if (!this.state.replica.load(items, 0, changes, 1))
      assert.ok(this.state.replica.load(items, 0, this.changesSince(fromRevision), 1));
  }

  private restart(): void {
    this.state = new State(() => undefined);
    this.watches = [];
    this.ongoingFullRead = null;
    this.completeFullRead = null;
    this.loadFullRead();
  }

  private loadFullRead(): void {
    const items = [...this.records.values()].filter(({ key }) => !key.startsWith('tv/end/'));
    this.state.replica.load(items, 0, { revision: this.revision, events: [] }, 0);
  }
}
