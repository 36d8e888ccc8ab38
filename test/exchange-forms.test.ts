/** What is sent and answered on a day of faults has the fields and types that an earlier version sent and answered. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Answer } from '../src/wire/client.js';
import type { Body } from '../src/wire/codec.js';
import { observeExchange } from './fakes/exchange-recorder.js';
import { drawSchedule, play } from './fakes/fault-schedule.js';
import { Form, type FormOptions } from './fakes/forms.js';
import type { Delivery } from './fakes/net.js';
import { readExchanges, type Exchange } from './fakes/recorded-messages.js';

/** A day on which controllers die and machines are rented and given back; any seed does. */
const SEED = 5;

/** Whom a request goes to or comes from, beside the controller. */
function counterpartOf(host: string, path: string): Exchange['counterpart'] {
  if (host === 'cloud') return 'cloud';
  if (host.startsWith('store for ')) return 'state';
  if (host.endsWith(':2')) return 'peers';
  return host.endsWith(':9000') || path === '/checkin' ? 'workers' : 'users';
}

/** Exchanges of one kind have fields in common: those with a counterpart, a path and a status. */
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

/** Maps by name; and stored values, which are looked into elsewhere. */
const EXCHANGED: FormOptions = {
  byName: ['answer.lost'],
  opaque: ['request.apply[].value', 'answer.items[].value', 'answer.log[].value', 'answer.value'],
};

function exchangeForms(): Map<string, Form> {
  const forms = new Map<string, Form>();
  for (const exchange of readExchanges()) {
    const kind = exchangeKind(exchange);
    const form = forms.get(kind) ?? new Form(EXCHANGED);
    forms.set(kind, form);
    form.learn(wholeOf(exchange.request, exchange.answer));
  }
  return forms;
}

function wholeOf(request: Body | undefined, answer: Body): Body {
  return { ...(request ? { request } : {}), answer };
}

interface Findings {
  deviations: Set<string>;
  /** Kinds of exchanges that were seen. */
  seen: Set<string>;
}

/** Counterpart to what its exchanges on a day deviate in from those that were recorded. */
async function compareDay(seed: number): Promise<Map<string, Findings>> {
  const found = new Map<string, Findings>();
  const forms = exchangeForms();
  const onAnswer = ({ host, call }: Delivery, { status, body }: Answer): void => {
    const { method, path, body: request } = call;
    const counterpart = counterpartOf(host, path);
    const kind = exchangeKind({ counterpart, method, path, status });
    const here = found.get(counterpart) ?? { deviations: new Set(), seen: new Set() };
    found.set(counterpart, here);
    here.seen.add(kind);
    const deviations = forms.get(kind)?.deviations(wholeOf(request, body)) ?? ['not recorded'];
    for (const what of deviations) here.deviations.add(`${kind}: ${what}`);
  };
  await observeExchange({ onAnswer }, () => play(drawSchedule(seed)));
  return found;
}

const day = compareDay(SEED);

/** Counterpart to how many kinds of exchanges the day has at least. */
const KINDS: Readonly<Record<Exchange['counterpart'], number>> = {
  cloud: 4,
  peers: 1,
  state: 5,
  users: 5,
  workers: 4,
};

for (const [counterpart, least] of Object.entries(KINDS))
  void test(`exchange forms: ${counterpart}: requests and answers are as they were`, async () => {
    const found = (await day).get(counterpart);
    assert.ok(found);
    assert.deepEqual([...found.deviations], []);
    assert.ok(found.seen.size >= least, [...found.seen].join(', '));
  });
