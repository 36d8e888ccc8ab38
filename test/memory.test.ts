import assert from 'node:assert/strict';
import { test } from 'node:test';
import { memoryGuard, memoryIsShort } from '../src/memory-guard.js';
import { World } from './stand/world.js';

const MB = 1024 * 1024;
/** Heap used, external memory, heap limit and quota in MB; whether that is short. */
const CASES: [number, number, number, number, boolean][] = [
  [30, 2, 84, 108, false],
  [56, 2, 84, 108, true],
  [60, 2, 84, 410, false],
  [75, 2, 84, 410, true],
  [10, 60, 84, 108, true],
];
for (const [used, external, limit, quota, want] of CASES)
  void test(`memory: ${String(used + external)} MB of a heap of ${String(limit)} in ${String(quota)} is ${want ? 'short' : 'enough'}`, () => {
    const heap = {
      used_heap_size: used * MB,
      external_memory: external * MB,
      heap_size_limit: limit * MB,
    };
    assert.equal(memoryIsShort(heap, quota * MB), want);
  });

void test('memory: V8 is asked once an interval', () => {
  let now = 0;
  let asked = 0;
  const short = memoryGuard(
    108 * MB,
    1000,
    () => now,
    () => {
      asked++;
      return { used_heap_size: asked * 30 * MB, external_memory: 0, heap_size_limit: 84 * MB };
    },
  );
  const said: boolean[] = [];
  for (now = 0; now < 2500; now += 100) said.push(short());
  assert.equal(asked, 3);
  assert.deepEqual([said[0], said.at(-1)], [false, true]);
});

// A controller that is killed for memory comes back to the same jobs and is killed again.
void test('memory: where it is short, new jobs get 503, known ones their state, and they end', async () => {
  const world = new World(5);
  await world.time.runUntil(3000);
  const known = world.user({ tasks: 3 });
  await world.time.runUntil(8000);
  for (const host of world.hosts()) world.memoryShort.add(host);
  const uid = 'j-700000';
  const body = { uid, ...world.specs.get(known) };
  const answers = Promise.all([
    world.ask(uid, 'POST', '/v2/runs', body, 5000),
    world.repeat(known),
    world.ask(known, 'GET', `/v2/runs/${known}`, undefined, 2000),
  ]);
  await world.time.runUntil(12_000);
  const [fresh, again, poll] = await answers;
  assert.deepEqual([fresh.status, again, poll.status], [503, 200, 200]);
  world.memoryShort.clear();
  await world.time.runUntil(60_000);
  assert.equal(world.finals.get(known), 'done');
  assert.deepEqual(world.checker.broken, []);
  assert.deepEqual(world.recordsBroken, []);
  for (const host of world.hosts()) world.kill(host, 1e9);
});
