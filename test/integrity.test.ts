/** Violates each invariant that is checked at run time, and checks that the operations that depend on it stop. */
import { newJob } from '../src/model/job-lifecycle.js';
import type { Machine } from '../src/model/machine.js';
import { encodeDomainHead, encodeJob, keys } from '../src/store/records/index.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import type { Body } from '../src/wire/codec.js';
import { State } from '../src/store/state.js';
import type { OwnershipIndex, Owner } from '../src/store/ownership-index.js';
import { createIntegrityFixture, type IntegrityFixture } from './fakes/integrity.js';
import { JOB } from './fakes/world.js';

const TEAMS = new Map(
  ['red', 'blue'].map((team) => [
    team,
    { guaranteedCpus: 0, guaranteedGpus: 0, cpuLimit: 8, gpuLimit: 0 },
  ]),
);
const redQuota = (cpus: number): Record<string, { cpus: number; gpus: number }> => ({
  red: { cpus, gpus: 0 },
});

/** Two domains, three machines and one task of two CPUs. No invariant is violated. */
const RECORDS: Record<string, Body> = {
  [keys.domain('a')]: encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: redQuota(6) }),
  [keys.domain('b')]: encodeDomainHead({ incarnation: 1, fencingToken: 1, quota: redQuota(2) }),
  [keys.machineShard('a', 0)]: { 1: ['i-1', 'i-2'] },
  [keys.machineShard('b', 0)]: { 1: ['i-3'] },
  [keys.machineBatch('r-1')]: {
    f: 'plain',
    s: 'x',
    r: false,
    at: 0,
    b: { 'i-1': 'x:1', 'i-2': '', 'i-3': '' },
  },
  [keys.job('j-1')]: encodeJob(newJob({ ...JOB, tasks: 9, cpus: 2 }, 0)),
  [keys.allocations('a', 0)]: { 'j-1': { 'i-1': [0, 1] } },
};

function stateOf(changed: Record<string, Body> = {}): State {
  const state = new State(() => undefined);
  const items = Object.entries({ ...RECORDS, ...changed }).map(([key, value]) => ({
    key,
    value,
    modRevision: 1,
  }));
  state.replica.load(items, 0, { revision: 1, events: [] }, 0);
  return state;
}

/** The integrity check of a state, and the fields and messages that were logged as errors. */
function loggingFixtureOf(
  state: State,
): IntegrityFixture & { logged: [Record<string, unknown>, string][] } {
  const logged: [Record<string, unknown>, string][] = [];
  const log = pino({ level: 'silent' });
  log.error = (...line: unknown[]) => logged.push(line as [Record<string, unknown>, string]);
  return Object.assign(createIntegrityFixture(state, TEAMS, log), { logged });
}

void test('integrity: valid records and indexes stop nothing', () => {
  const { integrity, logged } = loggingFixtureOf(stateOf());
  integrity.check();
  assert.deepEqual(logged, []);
  assert.ok(integrity.isSound && integrity.mayPlace('red', 'a'));
  assert.ok(integrity.mayShareQuota('red') && integrity.mayLend('a'));
});

const VIOLATIONS: {
  name: string;
  changed: Record<string, Body>;
  rule: string;
  stops: 'all' | 'nothing';
}[] = [
  {
    name: 'usage over the quota of the domain',
    changed: { [keys.allocations('a', 0)]: { 'j-1': { 'i-1': [0, 1, 1, 1, 2, 1, 3, 1] } } },
    rule: 'use over part',
    stops: 'all',
  },
  {
    name: 'tasks on a machine without an owner',
    changed: { [keys.allocations('a', 0)]: { 'j-1': { 'i-9': [0, 1] } } },
    rule: 'no owner',
    stops: 'all',
  },
  // A lowered limit leads to this too. Nothing stops: the excess is subtracted from what each domain has left.
  {
    name: 'quotas of the domains that add up to more than the limit',
    changed: {
      [keys.domain('b')]: encodeDomainHead({
        incarnation: 1,
        fencingToken: 1,
        quota: redQuota(3),
      }),
    },
    rule: 'parts over limit',
    stops: 'nothing',
  },
];

for (const { name, changed, rule, stops } of VIOLATIONS)
  void test(`integrity: ${name} is logged, counted and stops ${stops}`, async () => {
    const { integrity, logged, metrics } = loggingFixtureOf(stateOf(changed));
    integrity.check();
    assert.deepEqual(
      logged.map(([fields]) => fields['rule']),
      [rule],
    );
    assert.ok((await metrics.text()).text.includes(`violations_total{rule="${rule}"} 1`));
    assert.equal(integrity.mayPlace('red', 'a'), stops === 'nothing');
    assert.equal(integrity.mayShareQuota('red'), stops === 'nothing');
    assert.ok(integrity.mayShareQuota('blue'), 'other teams are not affected');
  });

interface Indexes {
  ownership: OwnershipIndex;
  machineIndex: { machines: Map<string, Machine> };
  allocations: {
    jobsOn: Map<string, Set<string>>;
    usageByHost: Map<string, Map<string, { cpus: number; gpus: number }>>;
  };
}

/** Each entry makes one index differ from the records. */
const DIFFERENCES: { index: string; tamper: (indexes: Indexes) => void }[] = [
  {
    index: 'owners',
    tamper: ({ ownership }) => {
      (ownership.all() as Map<string, Owner>).delete('i-1');
    },
  },
  { index: 'machines', tamper: ({ machineIndex }) => machineIndex.machines.delete('i-2') },
  { index: 'allocations', tamper: ({ allocations }) => allocations.jobsOn.delete('i-1') },
  {
    index: 'usage',
    tamper: ({ allocations }) => allocations.usageByHost.get('a')?.set('red', { cpus: 0, gpus: 0 }),
  },
];

for (const { index, tamper } of DIFFERENCES)
  void test(`integrity: an index of ${index} that differs from the records stops everything and reloads the replica`, async () => {
    const state = stateOf();
    tamper(state as unknown as Indexes);
    const fixture = loggingFixtureOf(state);
    const { integrity, logged, metrics } = fixture;
    integrity.check();
    assert.equal(integrity.isSound, false);
    assert.equal(
      integrity.mayPlace('red', 'a') || integrity.mayShareQuota('blue') || integrity.mayLend('b'),
      false,
    );
    assert.equal(fixture.rereads, 1);
    const [[fields, message] = []] = logged;
    assert.equal(message, 'index differs from records: reloading replica');
    assert.equal(fields?.['index'], index);
    assert.equal(fields['revision'], 1);
    assert.ok((await metrics.text()).text.includes(`index_differences_total{index="${index}"}`));
  });

void test('integrity: indexes that differ are rebuilt from the records, and everything resumes', async () => {
  const state = stateOf();
  for (const { tamper } of DIFFERENCES) tamper(state as unknown as Indexes);
  const { integrity, logged } = loggingFixtureOf(state);
  integrity.checkIfDue();
  assert.equal(integrity.isSound, false);
  await new Promise(setImmediate);
  logged.length = 0;
  integrity.checkIfDue();
  assert.deepEqual(logged, []);
  assert.deepEqual([integrity.isSound, integrity.mayPlace('red', 'a')], [true, true]);
  assert.equal(state.ownerOf('i-1')?.host, 'a');
  assert.deepEqual(state.usageInDomain('a').get('red'), { cpus: 2, gpus: 0 });
  assert.deepEqual(
    [...(state.domains.get('a')?.machines ?? [])],
    [
      ['i-1', 1],
      ['i-2', 1],
    ],
  );
});

void test('integrity: a lasting violation is logged at intervals, not at each check', async () => {
  const changed = { [keys.allocations('a', 0)]: { 'j-1': { 'i-9': [0, 1] } } };
  const { integrity, logged, time } = loggingFixtureOf(stateOf(changed));
  for (let round = 0; round < 10; round++) {
    integrity.check();
    integrity.noteMalformed();
    await time.runUntil(time.now + 1000);
  }
  assert.equal(logged.length, 3, 'logged at 0, 4 and 8 s');
  assert.equal(integrity.mayPlace('red', 'a'), false);
});
