/** The tasks that workers run stay within each team's limit while controllers restart and the state service is slow. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runSlowStoreScenario, type SlowStoreScenario } from './fakes/slow-full-reads.js';

/**
 * Scenarios in which an earlier version broke the rule `quota` at the workers. Machines moved between domains during a
 * full read, so an index of owners came to differ from the records, and domains transferred quota that was in use.
 */
const SCENARIOS: SlowStoreScenario[] = [
  { seed: 4, restartEveryS: 5 },
  { seed: 52, restartEveryS: 9 },
  { seed: 65, restartEveryS: 11 },
  { seed: 88, restartEveryS: 5 },
  { seed: 114, restartEveryS: 7 },
];

for (const scenario of SCENARIOS)
  void test(`slow full reads: seed ${String(scenario.seed)}, a restart every ${String(scenario.restartEveryS)} s`, async () => {
    const { violations, recordViolations, starts, finals } = await runSlowStoreScenario(scenario);
    assert.deepEqual(violations, []);
    assert.deepEqual(recordViolations, []);
    assert.ok(starts > 100 && finals > 30, 'enough tasks started and jobs ended');
  });
