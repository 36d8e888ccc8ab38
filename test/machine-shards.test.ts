/** How the machines of a domain and its takeover lists are split over records of limited size. */
import type { ShardRecord } from '../src/store/records/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { reshard } from '../src/domain/machine-shards.js';
import { layOutTakeoverLists } from '../src/domain/takeover-lists.js';
import { bytesOf } from '../src/store/value-size.js';

const MAX_BYTES = 400;
const shardKey = (n: number): string => `own/a/${String(n)}`;
const machineIdRange = (from: number, to: number, pad = 6): string[] =>
  Array.from({ length: to - from }, (_, at) => `i-${String(from + at).padStart(pad, '0')}`);
const withToken = (fencingToken: number, machineIds: string[]) =>
  new Map(machineIds.map((machineId) => [machineId, fencingToken]));

const CASES: {
  name: string;
  before: ShardRecord[];
  drop?: string[];
  set?: Map<string, number>;
  /** Numbers of the shards that are written; no others may be. */
  changed: number[];
  /** Machine -> fencing token, in all shards afterwards. */
  want: Map<string, number>;
}[] = [
  {
    name: 'the first machines go into a first shard',
    before: [],
    set: withToken(4, machineIdRange(0, 3)),
    changed: [0],
    want: withToken(4, machineIdRange(0, 3)),
  },
  {
    name: 'machines that do not fit into one record go into the next',
    before: [],
    set: withToken(4, machineIdRange(0, 60)),
    changed: [0, 1],
    want: withToken(4, machineIdRange(0, 60)),
  },
  {
    name: 'only the shards that lose machines are written',
    before: [{ 4: machineIdRange(0, 20) }, { 4: machineIdRange(20, 40) }],
    drop: ['i-000025'],
    changed: [1],
    want: withToken(
      4,
      machineIdRange(0, 40).filter((machineId) => machineId !== 'i-000025'),
    ),
  },
  {
    name: 'a raised fencing token changes the shard that holds the machine',
    before: [{ 4: machineIdRange(0, 20) }, { 4: machineIdRange(20, 40) }],
    set: withToken(7, ['i-000001']),
    changed: [0],
    want: new Map([...withToken(4, machineIdRange(0, 40)), ['i-000001', 7]]),
  },
  {
    name: 'new machines go into a shard that is written anyway, not into a new one',
    before: [{ 4: machineIdRange(0, 20) }, { 4: machineIdRange(20, 40) }],
    drop: ['i-000020', 'i-000021'],
    set: withToken(7, ['i-000090', 'i-000091']),
    changed: [1],
    want: new Map([
      ...withToken(
        4,
        machineIdRange(0, 40).filter(
          (machineId) => machineId !== 'i-000020' && machineId !== 'i-000021',
        ),
      ),
      ...withToken(7, ['i-000090', 'i-000091']),
    ]),
  },
  {
    name: 'a shard that loses all its machines is deleted',
    before: [{ 4: machineIdRange(0, 2) }, { 4: machineIdRange(2, 4) }],
    drop: machineIdRange(2, 4),
    changed: [1],
    want: withToken(4, machineIdRange(0, 2)),
  },
  {
    name: 'machines of a shard that raised fencing tokens make too large go into the next',
    before: [{ 4: machineIdRange(0, 33) }],
    set: new Map(machineIdRange(0, 33).map((machineId, at) => [machineId, 100_000 + at])),
    changed: [0, 1],
    want: new Map(machineIdRange(0, 33).map((machineId, at) => [machineId, 100_000 + at])),
  },
];

for (const { name, before, drop, set, changed, want } of CASES)
  void test(`shards: ${name}`, () => {
    const shards = new Map(before.map((record, n) => [shardKey(n), record]));
    const got = reshard(
      shards,
      { ...(drop && { drop }), ...(set && { set }) },
      MAX_BYTES,
      shardKey,
    );
    assert.deepEqual([...got.keys()].sort(), changed.map(shardKey));
    for (const [key, record] of got) {
      if (record) shards.set(key, record);
      else shards.delete(key);
    }
    const held = [...shards.values()].flatMap((record) =>
      Object.entries(record).flatMap(([fencingToken, machineIds]) =>
        machineIds.map((machineId): [string, number] => [machineId, Number(fencingToken)]),
      ),
    );
    assert.deepEqual(held.sort(), [...want].sort());
    for (const record of shards.values()) assert.ok(bytesOf(record) <= MAX_BYTES);
  });

void test('takeover lists: every machine is listed once, under its successor, in records of limited size', () => {
  const lists = {
    'host-1': machineIdRange(0, 70),
    'host-two': machineIdRange(70, 100),
    ω: ['"quoted"', 'ünïcödé'],
  };
  const records = layOutTakeoverLists(lists, MAX_BYTES);
  for (const record of records) assert.ok(Buffer.byteLength(JSON.stringify(record)) <= MAX_BYTES);
  for (const [successor, machineIds] of Object.entries(lists))
    assert.deepEqual(
      records.flatMap((record) => record[successor] ?? []),
      machineIds,
    );
});
