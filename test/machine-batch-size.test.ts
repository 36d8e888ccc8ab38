/** The computed size of machine batches, by which machines are split over records of limited size. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineBatch } from '../src/model/machine.js';
import { machineBatchBytes, machineBytes } from '../src/store/records/index.js';

void test('machine batch: each added machine increases its size by the value of machineBytes', () => {
  const machines: [string, string][] = [
    ['i-000001', ''],
    ['i-000002', '10.1.0.2:9000'],
    ['"odd" naïve', 'a'.repeat(60)],
  ];
  const batch: MachineBatch = {
    machineType: 'g8',
    zone: 'x',
    spot: true,
    recordedAt: 1.5e12,
    addresses: { 'i-0': 'b' },
  };
  let bytes = machineBatchBytes(batch);
  for (const [id, address] of machines) {
    batch.addresses[id] = address;
    bytes += machineBytes(id, address);
    assert.equal(machineBatchBytes(batch), bytes);
  }
});
