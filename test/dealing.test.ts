import assert from 'node:assert/strict';
import { test } from 'node:test';
import { partitionForTakeover } from '../src/domain/dealing.js';

const box = (id: string, site: string) => ({ id, site });

const CASES = [
  { name: 'no machines', machines: [], heirs: ['b'], want: {} },
  { name: 'no heirs', machines: [box('1', 'x')], heirs: [], want: {} },
  {
    name: 'one machine per heir per round, zone by zone',
    machines: [box('4', 'y'), box('1', 'x'), box('3', 'y'), box('2', 'x')],
    heirs: ['c', 'b'],
    want: { b: ['1', '3'], c: ['2', '4'] },
  },
  {
    name: 'an odd machine goes to the first heir',
    machines: [box('1', 'x'), box('2', 'x'), box('3', 'x')],
    heirs: ['b', 'c'],
    want: { b: ['1', '3'], c: ['2'] },
  },
];

for (const { name, machines, heirs, want } of CASES)
  void test(`deal: ${name}`, () => {
    assert.deepEqual(partitionForTakeover(machines, heirs), want);
  });
