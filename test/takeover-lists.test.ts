import assert from 'node:assert/strict';
import { test } from 'node:test';
import { partitionForTakeover } from '../src/domain/takeover-lists.js';

const machine = (machineId: string, zone: string) => ({ machineId, zone });

const CASES = [
  { name: 'no machines', machines: [], successors: ['b'], expected: {} },
  { name: 'no successors', machines: [machine('1', 'x')], successors: [], expected: {} },
  {
    name: 'one machine per successor per round, zone by zone',
    machines: [machine('4', 'y'), machine('1', 'x'), machine('3', 'y'), machine('2', 'x')],
    successors: ['c', 'b'],
    expected: { b: ['1', '3'], c: ['2', '4'] },
  },
  {
    name: 'an odd machine goes to the first successor',
    machines: [machine('1', 'x'), machine('2', 'x'), machine('3', 'x')],
    successors: ['b', 'c'],
    expected: { b: ['1', '3'], c: ['2'] },
  },
];

for (const { name, machines, successors, expected } of CASES)
  void test(`takeover lists: ${name}`, () => {
    assert.deepEqual(partitionForTakeover(machines, successors), expected);
  });
