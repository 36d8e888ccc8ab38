/** The fields of a submission: each is checked, and unknown fields are ignored. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeSubmission, isJobId } from '../src/protocol/users.js';
import { JOB, WIRE_JOB } from './fakes/users.js';

const VALID = { uid: 'j-000412', ...WIRE_JOB };
const INVALID_FIELDS: [string, unknown][] = [
  ['uid', 'x-1'],
  ['uid', 'j-' + '9'.repeat(200)],
  ['uid', 'j-1 2'],
  ['uid', 5],
  ['tasks', 0],
  ['tasks', 1.5],
  ['tasks', 100_001],
  ['tasks', '3'],
  ['cpus', -1],
  ['cpus', Number.NaN],
  ['cpus', Number.POSITIVE_INFINITY],
  ['memory_gb', undefined],
  ['image', ''],
  ['image', 'x'.repeat(500)],
  ['shape', 'ring'],
  ['rank', null],
  ['flavors', 'plain'],
  ['flavors', [1]],
  ['one_zone', 'yes'],
  ['due_s', -3],
];
void test('submission: a valid one is accepted, and unknown fields are ignored', () => {
  const decoded = decodeSubmission({ ...VALID, more: 1 });
  assert.ok('spec' in decoded);
  assert.deepEqual(decoded.spec, JOB);
});
for (const [field, value] of INVALID_FIELDS)
  void test(`submission: ${field} = ${String(value).slice(0, 20)} is refused`, () => {
    const body = { ...VALID, [field]: value };
    assert.ok(!isJobId(body.uid) || 'fault' in decodeSubmission(body));
  });
