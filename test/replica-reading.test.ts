/**
 * Full reads whose parts are read at different times while a machine moves between domains, and machines listed by two
 * shards. What is derived from the records must not depend on the order in which they arrive.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Changes, Event, Item } from '../src/store/client.js';
import { encodeDomainHead } from '../src/store/records/index.js';
import { State } from '../src/store/state.js';

const MACHINE = 'i-000003';

const head = (host: string): Item => ({
  key: `tv/dom/${host}`,
  value: encodeDomainHead({ incarnation: 1, fencingToken: 3, quota: {} }),
  modRevision: 3,
});

/** Heads read at revision 4, shards at 9: the machine moved from host-1 to host-2 in between, in two steps. */
const ITEMS: Item[] = [
  head('host-1'),
  head('host-2'),
  { key: 'tv/own/host-2/0', value: { 9: [MACHINE] }, modRevision: 8 },
];
const CHANGES_SINCE_FIRST_PART: Event[] = [
  { put: 'tv/own/host-1/0', value: { 5: [MACHINE] }, modRevision: 6 },
  { delete: 'tv/own/host-1/0', modRevision: 8 },
  { put: 'tv/own/host-2/0', value: { 9: [MACHINE] }, modRevision: 8 },
];

const ORDERS: { name: string; events: Event[] }[] = [
  { name: 'in order', events: CHANGES_SINCE_FIRST_PART },
  // An example in the store's protocol lists a later revision before an earlier one.
  { name: 'in reverse', events: [...CHANGES_SINCE_FIRST_PART].reverse() },
];

for (const { name, events } of ORDERS)
  void test(`full read: a machine that moved while the records were read has its new owner, changes ${name}`, () => {
    const state = new State(() => undefined);
    state.replica.load(ITEMS, 0, { revision: 9, events }, 1);
    assert.equal(state.replica.get('tv/own/host-1/0'), undefined);
    assert.equal(state.ownerOf(MACHINE)?.host, 'host-2');
    assert.equal(state.ownerOf(MACHINE)?.fencingToken, 9);
    assert.deepEqual([...state.machinesOf('host-2')], [[MACHINE, 9]]);
    assert.deepEqual([...state.machinesOf('host-1')], []);
  });

/** The answer to a watch since revision 9: no changes up to revision 10. */
const NO_CHANGES_SINCE_9: Changes = { revision: 10, events: [] };

// A full read that is answered late must not reset the replica to an older revision. The answer to a watch that was
// sent earlier contains only changes after the newer revision, so the changes in between would be lost permanently.
void test('full read: one that is older than the replica is not applied', () => {
  const state = new State(() => undefined);
  state.replica.load(ITEMS, 0, { revision: 8, events: [] }, 1);
  const removal: Event = { delete: 'tv/own/host-2/0', modRevision: 9 };
  state.replica.applyChanges({ revision: 9, events: [removal] }, 2);
  assert.equal(state.replica.load(ITEMS, 3, { revision: 8, events: [] }, 3), false);
  state.replica.applyChanges(NO_CHANGES_SINCE_9, 4);
  assert.equal(state.replica.revision, 10);
  assert.equal(state.ownerOf(MACHINE), undefined);
});

/** A machine that two shards list, because of a fault or between two commits, and the order in which they arrive. */
const DOUBLE_LISTINGS: { name: string; first: string; second: string }[] = [
  { name: 'the lower token first', first: 'tv/own/host-1/0', second: 'tv/own/host-2/0' },
  { name: 'the higher token first', first: 'tv/own/host-2/0', second: 'tv/own/host-1/0' },
];

for (const { name, first, second } of DOUBLE_LISTINGS)
  void test(`ownership: of two shards that list a machine the higher fencing token wins, ${name}`, () => {
    const state = new State(() => undefined);
    const tokens: Record<string, number> = { 'tv/own/host-1/0': 5, 'tv/own/host-2/0': 9 };
    const put = (key: string, modRevision: number): Event => ({
      put: key,
      value: { [String(tokens[key])]: [MACHINE] },
      modRevision,
    });
    state.replica.applyChanges({ revision: 4, events: [put(first, 4)] }, 0);
    state.replica.applyChanges({ revision: 5, events: [put(second, 5)] }, 0);
    assert.equal(state.ownerOf(MACHINE)?.host, 'host-2');
    assert.deepEqual([...state.machinesWithTwoOwners()], [MACHINE]);
    state.replica.applyChanges({ revision: 6, events: [{ delete: first, modRevision: 6 }] }, 0);
    assert.equal(state.ownerOf(MACHINE)?.shard, second);
    assert.deepEqual([...state.machinesWithTwoOwners()], []);
  });
