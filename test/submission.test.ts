import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeSubmission } from '../src/protocol/users.js';
import { WIRE_JOB } from './fakes/world.js';

const COMPLETE = { uid: 'j-000001', ...WIRE_JOB };
/** Fields that may be null; only these may be left out. */
const NULLABLE = ['flavors', 'site', 'due_s'];

void test('a submission that lacks a field is malformed, unless the field may be null', () => {
  assert.ok('spec' in decodeSubmission(COMPLETE));
  for (const field of Object.keys(COMPLETE)) {
    const partial: Record<string, unknown> = { ...COMPLETE };
    // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- `partial` is a copy
    delete partial[field];
    const nullable = NULLABLE.includes(field);
    assert.equal('spec' in decodeSubmission(partial), nullable, `without ${field}`);
    assert.equal(
      'spec' in decodeSubmission({ ...COMPLETE, [field]: null }),
      nullable,
      `${field} null`,
    );
  }
});

void test('a submission with an invalid field is malformed', () => {
  const cases: [string, unknown][] = [
    ['uid', 'x-1'],
    ['shape', 'ring'],
    ['rank', 'low'],
    ['tasks', 0],
    ['tasks', 100_001],
    ['tasks', 1.5],
    ['cpus', -1],
    ['cpus', '2'],
    ['cards', NaN],
    ['memory_gb', Infinity],
    ['one_zone', 1],
    ['flavors', 'plain'],
    ['flavors', [1]],
    ['site', ''],
    ['due_s', -1],
  ];
  for (const [field, value] of cases)
    assert.ok(
      'fault' in decodeSubmission({ ...COMPLETE, [field]: value }),
      `${field}: ${String(value)}`,
    );
});
