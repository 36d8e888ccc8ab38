/** Full readings that span a move of a machine: what is derived from the records must not depend on their order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Event, Item } from '../src/store/client.js';
import { storeHead } from '../src/store/records.js';
import { State } from '../src/store/state.js';

const MACHINE = 'i-000003';

const head = (host: string): Item => ({
  key: `tv/dom/${host}`,
  value: storeHead({ inc: 1, term: 3, quota: {} }),
  stamp: 3,
});

/** Heads read at 4, shards at 9: the machine moved from host-1 to host-2 in between, in two steps. */
const ITEMS: Item[] = [
  head('host-1'),
  head('host-2'),
  { key: 'tv/own/host-2/0', value: { 9: [MACHINE] }, stamp: 8 },
];
const SINCE_FIRST_PART: Event[] = [
  { put: 'tv/own/host-1/0', value: { 5: [MACHINE] }, stamp: 6 },
  { delete: 'tv/own/host-1/0', stamp: 8 },
  { put: 'tv/own/host-2/0', value: { 9: [MACHINE] }, stamp: 8 },
];

const ORDERS: { name: string; events: Event[] }[] = [
  { name: 'as they came', events: SINCE_FIRST_PART },
  // The protocol's own example shows a later stamp before an earlier one.
  { name: 'the other way round', events: [...SINCE_FIRST_PART].reverse() },
];

for (const { name, events } of ORDERS)
  void test(`reading: a machine that moved while the records were read has its owner, changes ${name}`, () => {
    const state = new State(() => undefined);
    state.replica.load(ITEMS, 4, 0, { generation: 9, events }, 1);
    assert.equal(state.replica.get('tv/own/host-1/0'), undefined);
    assert.equal(state.ownerOf(MACHINE)?.host, 'host-2');
    assert.equal(state.ownerOf(MACHINE)?.term, 9);
    assert.deepEqual([...state.machinesOf('host-2')], [[MACHINE, 9]]);
    assert.deepEqual([...state.machinesOf('host-1')], []);
  });
