import assert from 'node:assert/strict';
import { test } from 'node:test';
import { partitionForTakeover } from '../src/domain/takeover-lists.js';

const machine = (machineId: string, zone: string) => ({ machineId, zone });

const CASES = [
  { name: 'no machines', machines: [], successors: ['b'], want: {} },
  { name: 'no successors', machines: [machine('1', 'x')], successors: [], want: {} },
  {
    name: 'one machine per successor per round, zone by zone',
    machines: [machine('4', 'y'), machine('1', 'x'), machine('3', 'y'), machine('2', 'x')],
    successors: ['c', 'b'],
    want: { b: ['1', '3'], c: ['2', '4'] },
  },
  {
    name: 'an odd machine goes to the first successor',
    machines: [machine('1', 'x'), machine('2', 'x'), machine('3', 'x')],
    successors: ['b', 'c'],
    want: { b: ['1', '3'], c: ['2'] },
  },
];

for (const { name, machines, successors, want } of CASES)
  void test(`takeover lists: ${name}`, () => {
    assert.deepEqual(partitionForTakeover(machines, successors), want);
  });
