/**
 * The records of the replica in decoded form. Each changed record is checked and decoded once, and stored by its kind.
 */
import type { DomainHead, FleetRecord, Liveness } from '../model/domain.js';
import type { JobState } from '../model/job.js';
import type { MachineBatch } from '../model/machine.js';
import { getOrAdd, setOrDelete } from '../util/maps.js';
import type { Body } from '../wire/codec.js';
import { AllocationPartitions } from './allocation-partitions.js';
import { FinalStates } from './final-states.js';
import { MalformedRecords } from './malformed-records.js';
import type { ShardChange } from './ownership-index.js';
import {
  decodeAllocations,
  decodeDomainHead,
  decodeFencingToken,
  decodeFinalState,
  decodeFirstClaims,
  decodeFleet,
  decodeJob,
  decodeLiveness,
  decodeMachineBatch,
  decodeShard,
  decodeTakeoverList,
  parseKey,
  type AllocationRecord,
  type KeyParts,
  type RecordKind,
  type ShardRecord,
  type TakeoverListRecord,
} from './records/index.js';

/** The changed records that indexes are derived from, by kind. Null stands for a deleted or malformed record. */
export interface RecordChanges {
  domainHeads: Map<string, DomainHead | null>;
  shards: ShardChange[];
  machineBatches: Map<string, MachineBatch | null>;
  /** By key. */
  allocationPartitions: Map<string, AllocationRecord | null>;
  jobs: Map<string, JobState | null>;
  /** Whether a domain head or liveness record changed: a controller registered, started, died or changed. */
  isControllerChange: boolean;
}

/** A changed record with its key, as passed to the handler for its kind. */
interface ChangedRecord extends Pick<KeyParts, 'name' | 'part'> {
  key: string;
  /** Null if the record was deleted or is malformed. */
  value: Body | null;
}

type RecordHandler = (record: ChangedRecord, changes: RecordChanges) => void;

/**
 * Stores the records that are read directly. Records that indexes are derived from are returned as changes instead, so
 * that they are not stored twice.
 */
export class RecordStore {
  /** Shards of each domain, by host and key. */
  readonly shards = new Map<string, Map<string, ShardRecord>>();
  /** Parts of the takeover lists of each domain, by host and key. */
  readonly takeoverLists = new Map<string, Map<string, TakeoverListRecord>>();
  readonly liveness = new Map<string, Liveness>();
  readonly finalStates = new FinalStates();
  readonly malformed = new MalformedRecords();
  readonly allocationPartitions = new AllocationPartitions();
  fleet: FleetRecord | undefined;
  fencingToken = 0;
  firstClaims = 0;

  private readonly handlerByKind: Readonly<Record<RecordKind, RecordHandler>> = {
    dom: ({ name, value }, changes) => {
      changes.domainHeads.set(name, value && decodeDomainHead(value));
      changes.isControllerChange = true;
    },
    own: (record, changes) => {
      this.applyShard(record, changes);
    },
    run: ({ key, name, part, value }, changes) => {
      changes.allocationPartitions.set(key, value && decodeAllocations(value));
      this.allocationPartitions.set(name, part, value !== null);
    },
    job: ({ name, value }, changes) => {
      changes.jobs.set(name, value && decodeJob(value));
    },
    lot: ({ name, value }, changes) => {
      changes.machineBatches.set(name, value && decodeMachineBatch(value));
    },
    live: ({ name, value }, changes) => {
      setOrDelete(this.liveness, name, value && decodeLiveness(value));
      changes.isControllerChange = true;
    },
    list: ({ key, name, value }) => {
      const lists = mapOf(this.takeoverLists, name);
      setOrDelete(lists, key, value && decodeTakeoverList(value));
    },
    end: ({ name, value }) => {
      if (value) this.finalStates.add(name, decodeFinalState(value));
    },
    term: ({ value }) => {
      this.fencingToken = value ? decodeFencingToken(value) : 0;
    },
    new: ({ value }) => {
      this.firstClaims = value ? decodeFirstClaims(value) : 0;
    },
    fleet: ({ value }) => {
      this.fleet = value ? decodeFleet(value) : undefined;
    },
  };

  /**
   * Decodes and stores the records with these keys. `valueOf` returns the current value of a key, null if there is
   * none.
   */
  apply(changedKeys: Iterable<string>, valueOf: (key: string) => Body | null): RecordChanges {
    const changes: RecordChanges = {
      domainHeads: new Map(),
      shards: [],
      machineBatches: new Map(),
      allocationPartitions: new Map(),
      jobs: new Map(),
      isControllerChange: false,
    };
    for (const key of changedKeys) {
      const value = this.malformed.check(key, valueOf(key));
      const { kind, name, part } = parseKey(key);
      if (kind !== null) this.handlerByKind[kind]({ key, name, part, value }, changes);
    }
    return changes;
  }

  private applyShard({ key, name, value }: ChangedRecord, changes: RecordChanges): void {
    const after = value && decodeShard(value);
    const shards = mapOf(this.shards, name);
    changes.shards.push({ host: name, key, before: shards.get(key) ?? null, after });
    setOrDelete(shards, key, after);
  }
}

function mapOf<T>(maps: Map<string, Map<string, T>>, name: string): Map<string, T> {
  return getOrAdd(maps, name, () => new Map<string, T>());
}
