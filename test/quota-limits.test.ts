/** Quota limits when a job is submitted. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { neverRunnableReason } from '../src/jobs/submission.js';
import type { MachineType } from '../src/model/machine.js';
import { decodeTeams } from '../src/protocol/settings.js';
import { JOB } from './fakes/users.js';

void test('a team with a limit of 0 has no limit, and uses what no other team wants', () => {
  const team = { name: 'green', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };
  const teams = decodeTeams([team, { ...team, name: 'red', cpus_max: 8, gpus_max: 1 }]);
  const machineTypes = new Map([
    ['plain', { name: 'plain', cpus: 8, gpus: 4, memoryGb: 64, zones: ['x'] }],
  ]) as unknown as ReadonlyMap<string, MachineType>;
  const spec = { ...JOB, kind: 'gang', tasks: 25, cpus: 1, gpus: 1 } as const;
  assert.equal(neverRunnableReason({ ...spec, team: 'green' }, machineTypes, teams), null);
  assert.notEqual(neverRunnableReason({ ...spec, team: 'red' }, machineTypes, teams), null);
});
