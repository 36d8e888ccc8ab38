/** Records written in a run with faults have the fields and types of an earlier version, so that it can read them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Body } from '../src/wire/codec.js';
import { observeExchange } from './fakes/exchange-recorder.js';
import { drawSchedule, runSchedule } from './fakes/fault-schedule.js';
import { InferredSchema, type InferredSchemaOptions } from './fakes/inferred-schema.js';
import type { Delivery } from './fakes/net.js';
import { readStoredRecords, readStoredState } from './fakes/stored-state.js';

/** Seed of a run in which every kind of record is written; any other seed works too. */
const SEED = 5;

/** Fields of stored records that are maps with names as keys, by kind of record. '' is the record itself. */
const BY_NAME: Readonly<Record<string, InferredSchemaOptions>> = {
  dom: { dictionaryPaths: ['q'] },
  own: { dictionaryPaths: [''] },
  list: { dictionaryPaths: [''] },
  run: { dictionaryPaths: ['', '*'] },
  lot: { dictionaryPaths: ['b', 'g'] },
};

const kindOf = (key: string): string => key.split('/')[1] ?? '';

function storedForms(): Map<string, InferredSchema> {
  const forms = new Map<string, InferredSchema>();
  for (const { key, value } of [...readStoredState().records, ...readStoredRecords()]) {
    const kind = kindOf(key);
    const form = forms.get(kind) ?? new InferredSchema(BY_NAME[kind]);
    forms.set(kind, form);
    form.addExample(value);
  }
  return forms;
}

void test('stored forms: every kind of record is written with the same field names and types as before', async () => {
  const forms = storedForms();
  const seen = new Set<string>();
  const deviations = new Set<string>();
  const onRequest = ({ call }: Delivery): void => {
    if (call.path !== '/commit') return;
    for (const { put, value } of (call.body?.['apply'] ?? []) as { put?: string; value?: Body }[]) {
      if (put === undefined) continue;
      const kind = kindOf(put);
      seen.add(kind);
      const found = forms.get(kind)?.deviations(value ?? {}) ?? ['no such kind'];
      for (const deviation of found) deviations.add(`${kind}: ${deviation}`);
    }
  };
  await observeExchange({ onRequest }, () => runSchedule(drawSchedule(SEED)));
  assert.deepEqual([...deviations], []);
  assert.deepEqual([...seen].sort(), [...forms.keys()].sort());
});

const JOB = { s: { site: null, tasks: 1 }, b: [1], q: { red: [1, 0] } };

const DEVIATIONS: { name: string; value: Body; found: string[] }[] = [
  { name: 'the same', value: JOB, found: [] },
  { name: 'another name in a map by name', value: { ...JOB, q: { blue: [2, 1] } }, found: [] },
  {
    name: 'a renamed field',
    value: { ...JOB, s: { zone: null, tasks: 1 } },
    found: ['s: unknown field zone', 's: no field site', 's.zone: null'],
  },
  { name: 'another type', value: { ...JOB, b: ['1'] }, found: ['b[]: text'] },
  {
    name: 'another type in a map by name',
    value: { ...JOB, q: { red: 1 } },
    found: ['q.*: number'],
  },
  { name: 'an optional field', value: { ...JOB, stop: [1] }, found: [] },
  { name: 'a missing field', value: { s: JOB.s, q: JOB.q }, found: ['all: no field b'] },
];

for (const { name, value, found } of DEVIATIONS)
  void test(`forms: ${name}: ${found.join(', ') || 'nothing deviates'}`, () => {
    const form = new InferredSchema({ dictionaryPaths: ['q'] });
    form.addExample(JOB);
    form.addExample({ ...JOB, stop: [0] });
    assert.deepEqual(form.deviations(value).sort(), found.sort());
  });
