/** HTTP answers for the results of job requests, and the validation of submissions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NOT_FOUND, STORE_UNREACHABLE, replyOf, type JobResult } from '../src/jobs/results.js';
import { validateSubmission } from '../src/jobs/submission.js';
import type { MachineType } from '../src/model/machine.js';
import type { TeamQuota } from '../src/model/team.js';
import { WIRE_JOB } from './fakes/world.js';

const status = { jobId: 'j-1', phase: 'running', doneTasks: 2, runningTasks: 3 } as const;

const REPLIES: { name: string; result: JobResult; want: [number, object, number?] }[] = [
  {
    name: 'an accepted job is pending',
    result: { kind: 'accepted', jobId: 'j-1' },
    want: [201, { uid: 'j-1', phase: 'pending' }],
  },
  {
    name: 'a cancelled job',
    result: { kind: 'cancelled', jobId: 'j-1' },
    want: [200, { uid: 'j-1', phase: 'cancelled' }],
  },
  {
    name: 'a status',
    result: { kind: 'status', status },
    want: [200, { uid: 'j-1', phase: 'running', done: 2, running: 3 }],
  },
  { name: 'an unknown job', result: NOT_FOUND, want: [404, { error: 'no such job' }] },
  {
    name: 'a malformed submission',
    result: { kind: 'rejected', rejection: { kind: 'malformed', reason: 'cpus: no number' } },
    want: [400, { error: 'cpus: no number' }],
  },
  {
    name: 'a job that can never run',
    result: { kind: 'rejected', rejection: { kind: 'neverRunnable', reason: 'unknown team' } },
    want: [422, { error: 'unknown team' }],
  },
  {
    name: 'a request that cannot be decided now may be retried',
    result: STORE_UNREACHABLE,
    want: [503, { error: 'the state service cannot be asked' }, 1],
  },
];

for (const { name, result, want } of REPLIES)
  void test(`job results: ${name}`, () => {
    const { status: code, body, retryAfterS } = replyOf(result);
    assert.deepEqual([code, body, retryAfterS], [want[0], want[1], want[2]]);
  });

const TYPE: MachineType = {
  name: 'plain',
  cpus: 4,
  gpus: 0,
  memoryGb: 16,
  cacheGb: 10,
  imagePullGbPerSecond: 1,
  pricePerHour: 1,
  bootSeconds: 5,
  zones: ['x'],
};
const QUOTA: TeamQuota = { guaranteedCpus: 8, guaranteedGpus: 0, cpuLimit: 8, gpuLimit: 0 };
const GOOD = { uid: 'j-000001', ...WIRE_JOB };

const SUBMISSIONS: { name: string; body: object; types?: MachineType[]; want: string }[] = [
  { name: 'a job that fits', body: GOOD, want: 'acceptable' },
  { name: 'an invalid field', body: { ...GOOD, tasks: 0 }, want: 'malformed' },
  { name: 'fields too long to store', body: { ...GOOD, image: 'x'.repeat(90) }, want: 'malformed' },
  { name: 'more than any machine has', body: { ...GOOD, cpus: 5 }, want: 'neverRunnable' },
  { name: 'a team without a quota', body: { ...GOOD, owner: 'grey' }, want: 'neverRunnable' },
  { name: 'no machine types known yet', body: GOOD, types: [], want: 'undecidable' },
  {
    name: 'an invalid field, with no machine types known yet,',
    body: { ...GOOD, tasks: 0 },
    types: [],
    want: 'malformed',
  },
];

/** Enough for the job above, but not for one with a long image name. */
const MAX_VALUE_BYTES = (JSON.stringify(WIRE_JOB).length + 40) / 0.4;

for (const { name, body, types = [TYPE], want } of SUBMISSIONS)
  void test(`submission: ${name} is ${want}`, () => {
    const machineTypes = new Map(types.map((type) => [type.name, type]));
    const quotas = new Map([[WIRE_JOB.owner, QUOTA]]);
    const judgement = validateSubmission({ ...body }, MAX_VALUE_BYTES, machineTypes, quotas);
    const got = judgement.kind === 'rejected' ? judgement.rejection.kind : judgement.kind;
    assert.equal(got, want);
  });
