/** How soon a fleet is rented that starts from nothing. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

/** Machine types in two zones, ordinary and spot: as many rental requests as there are offers. */
const TYPES = 6;
const PER_OFFER = 8;
const MACHINE_TYPES = Array.from({ length: TYPES }, (_, index) => ({
  name: `type-${String(index)}`,
  cpus: 4,
  gpus: 0,
  memoryGb: 32,
  pricePerHour: 1 + index / 10,
  spotPricePerHour: 0.5 + index / 10,
  bootSeconds: 10,
  zones: ['x', 'y'],
}));
const CLOUD_RPS = 4;
/** The cloud takes this long for each answer. */
const CLOUD_MS = 800;

// Seen on a deployment of 429 machines that starts from nothing: waits for the cloud counted as work to rest from, and
// requests went out at the next tick only, so that renting took 48 s at a rate that allows it in 10.
void test('renting: a fleet is rented about as soon as the limit of the cloud allows', async () => {
  const world = new World(5, {
    machineTypes: MACHINE_TYPES,
    capacity: PER_OFFER,
    cloudRps: CLOUD_RPS,
    teams: [{ name: 'red', cpus: 400, cpus_max: 1000, gpus: 0, gpus_max: 0 }],
  });
  world.net.serve('cloud', async (call) => {
    await new Promise<void>((resolve) => {
      world.time.after(CLOUD_MS, resolve);
    });
    return world.cloud.handle(call);
  });
  for (let job = 0; job < 4; job++)
    world.submit({ tasks: 200, cpus: 1, expectedSeconds: 600, spot: true });
  const offers = TYPES * 2 * 2;
  const atTheLimitS = offers / CLOUD_RPS;
  await world.time.runUntil(atTheLimitS * 5000);
  // Each offer is asked for once and answered and recorded before the next round; some are asked for again.
  assert.equal(world.cloud.rentals.size, offers * PER_OFFER);
  assert.deepEqual(world.checker.violations, []);
  world.shutDown();
});
