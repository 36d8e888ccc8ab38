/**
 * A `State` that is updated change by change must equal one built from scratch from the same records, in whatever order
 * these arrived: with commits by several controllers, own commits applied before the watch delivers them, late watch
 * answers, full reads in pages, and restarts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Item } from '../src/store/client.js';
import { auditIndexes } from '../src/store/state-audit.js';
import { State } from '../src/store/state.js';
import { HOSTS, RecordHistory } from './fakes/record-history.js';
import { step } from './fakes/record-history-steps.js';

const RUNS = 4000;

const history = fc.record({
  reversed: fc.boolean(),
  steps: fc.array(step, { minLength: 5, maxLength: 120 }),
});

/** A state that has read the given records at once. */
function rebuilt(records: Iterable<Item>): State {
  const state = new State(() => undefined);
  const items = [...records].filter(({ key }) => !key.startsWith('tv/end/'));
  const revision = Math.max(0, ...items.map(({ modRevision }) => modRevision));
  state.replica.load(items, 0, { revision, events: [] }, 0);
  return state;
}

function sorted<V>(entries: Iterable<readonly [string, V]>): [string, V][] {
  return [...entries]
    .map(([key, value]): [string, V] => [key, value])
    .sort(([one], [two]) => (one < two ? -1 : 1));
}

/** Sums without rounding errors, and without teams that use nothing. */
function roundedUsage(
  sums: Iterable<readonly [string, { cpus: number; gpus: number }]>,
): unknown[] {
  return sorted(sums)
    .map(([team, { cpus, gpus }]) => [team, Math.round(cpus * 1e6), Math.round(gpus * 1e6)])
    .filter(([, cpus, gpus]) => cpus !== 0 || gpus !== 0);
}

/** All data that a state derives from its records, in a form that can be compared. */
function derivedData(state: State): unknown {
  return {
    owners: sorted(state.owners()),
    machinesOf: HOSTS.map((host) => sorted(state.machinesOf(host))),
    domains: sorted(state.domains).map(([host, { machines, ...head }]) => [
      host,
      head,
      sorted(machines),
    ]),
    machines: sorted(state.machines),
    jobs: sorted(state.jobs).map(([jobId, job]) => [
      jobId,
      { ...job, allocationsByMachine: sorted(Object.entries(job.allocationsByMachine)) },
    ]),
    jobsByMachine: sorted(state.jobsByMachine).map(([machineId, jobIds]) => [
      machineId,
      [...jobIds].sort(),
    ]),
    usage: roundedUsage(state.usageByTeam),
    usageInDomains: HOSTS.map((host) => roundedUsage(state.usageInDomain(host))),
    allocationKeys: HOSTS.map((host) => state.allocationPartitionKeys(host)),
    wronglyRemoved: [...state.removedMachines].filter((machineId) => state.machines.has(machineId)),
  };
}

void test('state: at any time, it equals one built from scratch from the records it holds', () => {
  fc.assert(
    fc.property(history, ({ reversed, steps }) => {
      const state = new RecordHistory(reversed).run(steps);
      const held = [...state.replica.records()].map(([key, { value, modRevision }]) => ({
        key,
        value,
        modRevision,
      }));
      assert.deepEqual(derivedData(state), derivedData(rebuilt(held)));
      assert.deepEqual(auditIndexes(state), []);
    }),
    { seed: 28, numRuns: RUNS },
  );
});

void test('state: once it is up to date, it equals one built from scratch from the records of the store', () => {
  fc.assert(
    fc.property(history, ({ reversed, steps }) => {
      const recordHistory = new RecordHistory(reversed);
      recordHistory.run(steps);
      const { state, records } = recordHistory.finish();
      assert.deepEqual(derivedData(state), derivedData(rebuilt(records.values())));
    }),
    { seed: 29, numRuns: RUNS },
  );
});
