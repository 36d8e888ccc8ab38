/** Answers to repeated, unknown and invalid requests of users. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call } from '../src/wire/client.js';
import type { Body } from '../src/wire/codec.js';
import { SERVICE } from './fakes/combined-faults.js';
import { WIRE_JOB, World } from './fakes/world.js';

const UNKNOWN_JOB = 'j-777777';

const cancelCall = (jobId: string): Call => ({
  method: 'POST',
  path: `/v2/runs/${jobId}/withdraw`,
  body: {},
  timeoutMs: 5000,
});

/** A request and its expected answer. The requests are sent in the order of `REQUESTS`. */
interface RequestCase {
  name: string;
  send: (world: World, jobs: { done: string; endless: string }) => Promise<unknown>;
  want: unknown;
}

/** A submission that no controller may accept, and the status of its answer. */
const invalid = (name: string, body: Body, want: number): RequestCase => ({
  name,
  send: (world) => world.submitInvalid(body),
  want,
});

const { image, ...WITHOUT_IMAGE } = WIRE_JOB;
assert.ok(image);

const REQUESTS: RequestCase[] = [
  { name: 'resubmission', send: (world, { endless }) => world.resubmit(endless), want: 200 },
  {
    name: 'resubmission with another body',
    send: (world, { endless }) => world.resubmit(endless, { tasks: 3, cpus: 1000 }),
    want: 200,
  },
  {
    name: 'malformed resubmission',
    send: (world, { endless }) => world.resubmit(endless, { cpus: 'two' }),
    want: 200,
  },
  {
    name: 'resubmission of a done job',
    send: (world, { done }) => world.resubmit(done, { cpus: -1 }),
    want: 200,
  },
  {
    name: 'cancellation of a done job',
    send: (world, { done }) => world.request(done, cancelCall(done)),
    want: { status: 200, phase: 'done' },
  },
  {
    name: 'poll of an unknown job',
    send: (world) =>
      world.request(UNKNOWN_JOB, {
        method: 'GET',
        path: `/v2/runs/${UNKNOWN_JOB}`,
        timeoutMs: 2000,
      }),
    want: { status: 404, phase: null },
  },
  {
    name: 'cancellation of an unknown job',
    send: (world) => world.request(UNKNOWN_JOB, cancelCall(UNKNOWN_JOB)),
    want: { status: 404, phase: null },
  },
  invalid('lacks a field', WITHOUT_IMAGE, 400),
  invalid('a field has the wrong type', { ...WIRE_JOB, spread: 'no' }, 400),
  invalid('unknown team', { ...WIRE_JOB, owner: 'green' }, 422),
  invalid('fits no machine type', { ...WIRE_JOB, cpus: 9 }, 422),
  invalid('fits no allowed machine type', { ...WIRE_JOB, flavors: ['plain'], cards: 1 }, 422),
  invalid('no such zone', { ...WIRE_JOB, site: 'z' }, 422),
  invalid('gang exceeds the quota limit', { ...WIRE_JOB, shape: 'group', tasks: 9, cards: 1 }, 422),
];

// An invalid submission is rejected, but a resubmission of a known job is confirmed whatever its body contains.
void test('requests: resubmissions of unfinished and finished jobs, cancellations of done ones, invalid submissions', async () => {
  const world = new World(1);
  const done = world.submit({ tasks: 2, expectedSeconds: 2 });
  const endless = world.submit({ ...SERVICE, tasks: 1 });
  await world.time.runUntil(50_000);
  assert.equal(world.finalPhases.get(done), 'done');
  const answers: Record<string, unknown> = {};
  for (const { name, send } of REQUESTS)
    void send(world, { done, endless }).then((answer) => (answers[name] = answer));
  await world.time.runUntil(60_000);
  assert.deepEqual(answers, Object.fromEntries(REQUESTS.map(({ name, want }) => [name, want])));
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  world.shutDown();
});
