/** Failover: controllers crash, restart and take over each other's machines. */
import { test } from 'node:test';
import { SCENARIO_SEEDS, runFaultScenario, type FaultScenario } from './fakes/fault-scenarios.js';
import { afterSeconds } from './fakes/fault-injection.js';

const SCENARIOS: FaultScenario[] = [
  {
    name: 'a controller crashes, and another one during the takeover',
    inject(world) {
      afterSeconds(world, 40, () => {
        world.kill('a', 20_000);
      });
      afterSeconds(world, 43, () => {
        world.kill('b', 5000);
      });
    },
  },
  {
    name: 'all controllers crash and restart',
    inject(world) {
      afterSeconds(world, 45, () => {
        for (const host of world.hosts()) world.kill(host, 3000);
      });
    },
  },
  {
    name: 'controllers restart one after another within a fraction of a second',
    inject(world) {
      world.hosts().forEach((host, index) => {
        afterSeconds(world, 35 + index * 4, () => {
          world.kill(host, 300);
        });
      });
    },
  },
  {
    name: 'controllers restart within a fraction of a second while peers take over their machines',
    inject(world) {
      afterSeconds(world, 40, () => {
        world.kill('a', 2300);
      });
      for (const atS of [41.9, 42.1, 42.4])
        afterSeconds(world, atS, () => {
          world.kill('b', 200);
        });
      afterSeconds(world, 42.2, () => {
        world.kill('c', 150);
      });
    },
  },
];

for (const scenario of SCENARIOS)
  for (const seed of SCENARIO_SEEDS)
    void test(`${scenario.name} (seed ${String(seed)})`, () => runFaultScenario(scenario, seed));
