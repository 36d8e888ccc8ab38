/** The state service is unavailable, slow, or refuses some controllers. */
import { test } from 'node:test';
import { SCENARIO_SEEDS, runFaultScenario, type FaultScenario } from './fakes/fault-scenarios.js';
import { afterSeconds, isolateController } from './fakes/fault-injection.js';

const SCENARIOS: FaultScenario[] = [
  {
    name: 'the store is unavailable for longer than a worker lease, and a controller crashes meanwhile',
    inject(world) {
      afterSeconds(world, 40, () => {
        world.store.outage(14_000);
      });
      afterSeconds(world, 48, () => {
        world.kill('b', 3000);
      });
    },
  },
  {
    name: 'a controller loses its connection to the store only, and its machines are taken over',
    inject(world) {
      afterSeconds(world, 40, () => {
        isolateController(world, 'a', /^store/, { forS: 40 });
      });
    },
  },
  {
    name: 'the store refuses one controller, which still reaches its peers and workers',
    inject(world) {
      afterSeconds(world, 40, () => {
        world.store.refusedHosts.add('b');
      });
      afterSeconds(world, 75, () => {
        world.store.refusedHosts.delete('b');
      });
    },
  },
  {
    name: 'a controller loses its connections to the store and its peers, but not to its workers',
    inject(world) {
      afterSeconds(world, 38, () => {
        isolateController(world, 'a', /^store|^[bc]:2$/, { forS: 45 });
      });
    },
  },
  {
    name: 'controllers refuse each other while the store refuses one',
    inject(world) {
      afterSeconds(world, 35, () => {
        for (const host of world.hosts()) isolateController(world, host, /^[abc]:2$/, { forS: 30 });
      });
      afterSeconds(world, 45, () => {
        world.store.refusedHosts.add('c');
      });
      afterSeconds(world, 65, () => {
        world.store.refusedHosts.delete('c');
      });
    },
  },
  {
    name: 'the store is slow, and a controller crashes meanwhile',
    inject(world) {
      afterSeconds(world, 35, () => {
        world.store.extraLatencyMs = 150;
      });
      afterSeconds(world, 45, () => {
        world.kill('b', 3000);
      });
      afterSeconds(world, 75, () => {
        world.store.extraLatencyMs = 0;
      });
    },
  },
];

for (const scenario of SCENARIOS)
  for (const seed of SCENARIO_SEEDS)
    void test(`${scenario.name} (seed ${String(seed)})`, () => runFaultScenario(scenario, seed));
