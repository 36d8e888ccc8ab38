/**
 * Requests and answers of a simulated run with faults have the fields and types that were recorded from an earlier
 * version. Guards against fields that are renamed, added, removed or sent with another type.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Answer } from '../src/wire/client.js';
import type { Body } from '../src/wire/codec.js';
import { observeExchange } from './fakes/exchange-recorder.js';
import { drawSchedule, runSchedule } from './fakes/fault-schedule.js';
import { InferredSchema, type InferredSchemaOptions } from './fakes/inferred-schema.js';
import type { Delivery } from './fakes/net.js';
import { readExchanges, type Exchange } from './fakes/recorded-messages.js';

/** With this seed controllers crash, and machines are rented and returned. Any other seed would do. */
const SEED = 5;

/** The other side of a request that a controller sends or receives. */
function counterpartOf(host: string, path: string): Exchange['counterpart'] {
  if (host === 'cloud') return 'cloud';
  if (host.startsWith('store for ')) return 'state';
  if (host.endsWith(':2')) return 'peers';
  return host.endsWith(':9000') || path === '/checkin' ? 'workers' : 'users';
}

/** The kind of an exchange. Exchanges with the same counterpart, method, path and status have the same fields. */
function exchangeKind({
  counterpart,
  method,
  path,
  status,
}: Pick<Exchange, 'counterpart' | 'method' | 'path' | 'status'>): string {
  const pattern = (path.split('?')[0] ?? '')
    .replace(/^\/store\/.+/, '/store/*')
    .replace(/^\/leases\/\d+/, '/leases/*')
    .replace(/^\/v2\/runs\/[^/]+/, '/v2/runs/*');
  return `${counterpart} ${method} ${pattern} ${String(status)}`;
}

/** Maps keyed by names, and stored values: test/stored-forms.test.ts checks the fields of stored values. */
const FORM_OPTIONS: InferredSchemaOptions = {
  dictionaryPaths: ['answer.lost'],
  opaquePaths: [
    'request.apply[].value',
    'answer.items[].value',
    'answer.log[].value',
    'answer.value',
  ],
};

function exchangeForms(): Map<string, InferredSchema> {
  const forms = new Map<string, InferredSchema>();
  for (const exchange of readExchanges()) {
    const kind = exchangeKind(exchange);
    const form = forms.get(kind) ?? new InferredSchema(FORM_OPTIONS);
    forms.set(kind, form);
    form.addExample(exchangeBody(exchange.request, exchange.answer));
  }
  return forms;
}

function exchangeBody(request: Body | undefined, answer: Body): Body {
  return { ...(request ? { request } : {}), answer };
}

interface Findings {
  deviations: Set<string>;
  /** Kinds of exchanges that took place. */
  seen: Set<string>;
}

/** Simulates the run of a seed and returns, by counterpart, how its exchanges deviate from the recorded ones. */
async function compareRun(seed: number): Promise<Map<string, Findings>> {
  const found = new Map<string, Findings>();
  const forms = exchangeForms();
  const onAnswer = ({ host, call }: Delivery, { status, body }: Answer): void => {
    const { method, path, body: request } = call;
    const counterpart = counterpartOf(host, path);
    const kind = exchangeKind({ counterpart, method, path, status });
    const findings = found.get(counterpart) ?? { deviations: new Set(), seen: new Set() };
    found.set(counterpart, findings);
    findings.seen.add(kind);
    const deviations = forms.get(kind)?.deviations(exchangeBody(request, body)) ?? ['not recorded'];
    for (const what of deviations) findings.deviations.add(`${kind}: ${what}`);
  };
  await observeExchange({ onAnswer }, () => runSchedule(drawSchedule(seed)));
  return found;
}

const run = compareRun(SEED);

/** Minimum number of kinds of exchanges in the run, by counterpart. */
const MIN_KINDS: Readonly<Record<Exchange['counterpart'], number>> = {
  cloud: 4,
  peers: 1,
  state: 5,
  users: 5,
  workers: 4,
};

for (const [counterpart, minKinds] of Object.entries(MIN_KINDS))
  void test(`exchange forms: ${counterpart}: requests and answers have the recorded fields and types`, async () => {
    const found = (await run).get(counterpart);
    assert.ok(found);
    assert.deepEqual([...found.deviations], []);
    assert.ok(found.seen.size >= minKinds, [...found.seen].join(', '));
  });
