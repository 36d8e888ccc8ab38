/** The audit of stored records, which checks the store throughout simulated runs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { newJob } from '../src/model/job-lifecycle.js';
import { encodeJob } from '../src/store/records/index.js';
import type { Body } from '../src/wire/codec.js';
import { auditRecords, type AuditRule } from './fakes/store-audit.js';
import { JOB } from './fakes/world.js';

const LIMITS = new Map([['red', { cpus: 8, gpus: 0 }]]);

const head = (cpus: number): Body => ({ inc: 1, t: 1, q: { red: [cpus, 0] } });

/** Two domains that share the limit, and a job with one task allocated: consistent. */
const CONSISTENT: Record<string, Body> = {
  'tv/dom/a': head(6),
  'tv/dom/b': head(2),
  'tv/own/a/0': { 1: ['i-1', 'i-2'] },
  'tv/own/b/0': { 2: ['i-3'] },
  'tv/job/j-1': encodeJob(newJob({ ...JOB, tasks: 9, cpus: 2 }, 0)),
  'tv/run/a/0': { 'j-1': { 'i-1': [0, 1] } },
};

const CASES: { rule: AuditRule; name: string; change: Record<string, Body | null> }[] = [
  {
    rule: 'limit',
    name: 'the shares of all domains exceed the limit',
    change: { 'tv/dom/b': head(3) },
  },
  {
    rule: 'domain quota',
    name: 'allocations that use more than the share',
    change: { 'tv/run/a/1': { 'j-1': { 'i-2': [1, 1, 2, 1, 3, 1] } } },
  },
  {
    rule: 'domain quota',
    name: 'an allocation that one domain recorded on a machine of another',
    change: { 'tv/run/a/1': { 'j-1': { 'i-3': [1, 1, 2, 1] } } },
  },
  { rule: 'domain quota', name: 'a negative share', change: { 'tv/dom/b': head(-1) } },
  {
    rule: 'unowned',
    name: 'an allocation on a machine that left its domain',
    change: { 'tv/own/a/0': { 1: ['i-2'] } },
  },
  { rule: 'orphan', name: 'an allocation of a job that is over', change: { 'tv/job/j-1': null } },
  {
    rule: 'duplicate',
    name: 'an allocation in two records',
    change: { 'tv/run/b/0': { 'j-1': { 'i-1': [0, 1] } } },
  },
  {
    rule: 'two owners',
    name: 'a machine in two domains',
    change: { 'tv/own/b/0': { 2: ['i-2', 'i-3'] } },
  },
];

const audit = (records: Record<string, Body | null>): AuditRule[] =>
  auditRecords(
    Object.entries(records).flatMap(([key, value]) => (value ? [[key, value] as const] : [])),
    LIMITS,
  ).map(({ rule }) => rule);

void test('audit: consistent records break no rule', () => {
  assert.deepEqual(audit(CONSISTENT), []);
});

for (const { rule, name, change } of CASES)
  void test(`audit: ${rule}: ${name}`, () => {
    assert.deepEqual(audit({ ...CONSISTENT, ...change }), [rule]);
  });
