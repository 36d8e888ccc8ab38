/** A team stays within its limit at the workers while controllers restart and the state service is slow. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { playSlowDay, type SlowDay } from './fakes/slow-readings.js';

/**
 * Days on which the untouched code broke `quota` at the workers: full readings spanned moves of machines, an index of
 * owners went apart from the records, and parts of limits were dealt away that were in use.
 */
const FOUND: SlowDay[] = [
  { seed: 4, rollEveryS: 5 },
  { seed: 52, rollEveryS: 9 },
  { seed: 65, rollEveryS: 11 },
  { seed: 88, rollEveryS: 5 },
  { seed: 114, rollEveryS: 7 },
];

for (const day of FOUND)
  void test(`slow readings: seed ${String(day.seed)}, a restart every ${String(day.rollEveryS)} s`, async () => {
    const { broken, records, starts, finals } = await playSlowDay(day);
    assert.deepEqual(broken, []);
    assert.deepEqual(records, []);
    assert.ok(starts > 100 && finals > 30, 'work was done');
  });
