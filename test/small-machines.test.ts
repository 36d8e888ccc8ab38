import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OPERATOR_DEFAULTS } from '../src/config/operator.js';
import { afterSeconds, isolateZone } from './fakes/fault-injection.js';
import { MACHINE_TYPES, World } from './fakes/world.js';

const MACHINES = 60;
/** Of a controller's time, some three fifths go into a quiet minute of this fleet. */
const COST_MS = 15;

/** A fleet that is up at the start, and services and arrays on it. */
function busyWorld(seed: number): World {
  const world = new World(seed, {
    machineTypes: MACHINE_TYPES.filter(({ gpus: cards }) => cards === 0),
    capacity: 0,
    teams: [
      { name: 'red', cpus: 200, cpus_max: 400, gpus: 0, gpus_max: 0 },
      { name: 'blue', cpus: 200, cpus_max: 400, gpus: 0, gpus_max: 0 },
    ],
    processingCostMs: COST_MS,
    // The fleet stays as it is: machines given back would have to be evened out.
    operator: { ...OPERATOR_DEFAULTS, rent: false },
  });
  world.cloud.startMachines(MACHINES);
  afterSeconds(world, 5, () => {
    for (let job = 0; job < 4; job++)
      world.submit({
        kind: 'service',
        priority: 'critical',
        tasks: 4,
        spreadAcrossZones: true,
        expectedSeconds: 0,
      });
    for (let job = 0; job < 6; job++)
      world.submit({ team: job % 2 ? 'red' : 'blue', tasks: 20, expectedSeconds: 30 });
  });
  return world;
}

const unowned = (world: World): string[] =>
  [...world.workers.keys()].filter((box) => world.ownerOf(box) === null);

/** Workers whose lease has run out at least once. */
const lapsed = (world: World): string[] =>
  [...world.workers.values()].filter(({ incarnation }) => incarnation > 1).map(({ id }) => id);

function end(world: World): void {
  world.checker.finish();
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  assert.deepEqual(unowned(world), [], 'every machine has an owner');
  world.shutDown();
}

// A process that is slow is not dead: timers fire late and answers wait, and peers that took its machines
// over for that would make more work for everybody.
void test('small machines: a loaded controller loses no lease, and nobody takes over from it', async () => {
  const world = busyWorld(3);
  await world.time.runUntil(25_000);
  const terms = world.store.writesByKind.get('term') ?? 0;
  const busy = world.hosts().map((host) => world.busyMs(host));
  await world.time.runUntil(85_000);
  const shares = world
    .hosts()
    .map((host, index) => (world.busyMs(host) - (busy[index] ?? 0)) / 60_000);
  for (const share of shares) assert.ok(share > 0.4 && share < 0.95, shares.join(' '));
  assert.equal((world.store.writesByKind.get('term') ?? 0) - terms, 0, 'no term was raised');
  assert.deepEqual(lapsed(world), []);
  end(world);
});

for (const pauseMs of [500, 1000])
  void test(`small machines: pauses of ${String(pauseMs)} ms, shorter than a lease, change no owner`, async () => {
    const world = busyWorld(4);
    await world.time.runUntil(25_000);
    const owners = new Map([...world.workers.keys()].map((box) => [box, world.ownerOf(box)]));
    for (let second = 26; second < 80; second += 6)
      afterSeconds(world, second, () => {
        world.pauseHost(world.hosts()[second % 3] ?? '', pauseMs);
      });
    await world.time.runUntil(90_000);
    for (const [box, owner] of owners) assert.equal(world.ownerOf(box), owner, box);
    assert.deepEqual(lapsed(world), []);
    end(world);
  });

// What the tests above would show if they could not fail: a pause that outlasts the lease is a takeover.
void test('small machines: a pause longer than a lease hands the domain on once, and back', async () => {
  const world = busyWorld(8);
  await world.time.runUntil(25_000);
  const [host = ''] = world.hosts();
  const terms = world.store.writesByKind.get('term') ?? 0;
  world.pauseHost(host, 4000);
  await world.time.runUntil(29_000);
  assert.equal(
    [...world.workers.keys()].some((box) => world.ownerOf(box) === host),
    false,
    'its heirs hold its machines',
  );
  await world.time.runUntil(80_000);
  assert.ok([...world.workers.keys()].some((box) => world.ownerOf(box) === host));
  const raised = (world.store.writesByKind.get('term') ?? 0) - terms;
  // Two heirs claim, it returns as a new incarnation, and takes machines back from either.
  assert.ok(raised <= 5, `${String(raised)} terms raised`);
  assert.deepEqual(lapsed(world), []);
  end(world);
});

void test('small machines: all controllers restart together; the fleet is held again before a lease ends', async () => {
  const world = busyWorld(5);
  afterSeconds(world, 40, () => {
    for (const host of world.hosts()) world.kill(host, 3000);
  });
  await world.time.runUntil(80_000);
  assert.deepEqual(lapsed(world), []);
  end(world);
});

void test('small machines: all controllers restart one after the other', async () => {
  const world = busyWorld(6);
  for (const [index, host] of world.hosts().entries())
    afterSeconds(world, 40 + index * 12, () => {
      world.kill(host, 3000);
    });
  await world.time.runUntil(110_000);
  assert.deepEqual(lapsed(world), []);
  end(world);
});

void test('small machines: a crash amid a cut of a zone; all is held again after it', async () => {
  const world = busyWorld(7);
  afterSeconds(world, 40, () => {
    isolateZone(world, 'y', 25);
  });
  afterSeconds(world, 45, () => {
    world.kill('a', 3000);
  });
  await world.time.runUntil(130_000);
  assert.ok(lapsed(world).length > 0, 'the cut was longer than a lease');
  end(world);
});
