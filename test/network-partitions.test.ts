/** Network partitions between workers, controllers and zones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SCENARIO_SEEDS, runFaultScenario, type FaultScenario } from './fakes/fault-scenarios.js';
import {
  afterSeconds,
  dropMessagesToRandomWorker,
  isolateController,
  isolateZone,
  partitionRandomWorker,
} from './fakes/fault-injection.js';
import { World } from './fakes/world.js';

const SCENARIOS: FaultScenario[] = [
  {
    name: 'workers are partitioned, and their messages are delivered late',
    inject(world) {
      for (const atS of [30, 38, 46, 60])
        afterSeconds(world, atS, () => {
          partitionRandomWorker(world, 18, 'hold');
        });
    },
  },
  {
    name: 'a controller loses contact with the workers only',
    inject(world) {
      afterSeconds(world, 40, () => {
        isolateController(world, 'c', /^i-/, { forS: 25 });
      });
    },
  },
  {
    name: 'machines send heartbeats but receive neither answers nor commands',
    inject(world) {
      for (const atS of [30, 45, 60])
        afterSeconds(world, atS, () => {
          dropMessagesToRandomWorker(world, 20);
        });
    },
  },
  {
    name: 'the zone without controllers is isolated',
    inject(world) {
      afterSeconds(world, 40, () => {
        isolateZone(world, 'y', 25);
      });
    },
  },
  {
    name: 'the zone of the controllers is isolated',
    inject(world) {
      afterSeconds(world, 40, () => {
        isolateZone(world, 'x', 25);
      });
    },
  },
];

for (const scenario of SCENARIOS)
  for (const seed of SCENARIO_SEEDS)
    void test(`${scenario.name} (seed ${String(seed)})`, () => runFaultScenario(scenario, seed));

// Found in an incident: a controller lost contact with its workers, but with nothing else, and kept its machines until
// it crashed 46 s later. The leases of a third of the machines expired, and their tasks were lost.
for (const mode of ['hold', 'drop'] as const)
  void test(`a controller that loses contact with its workers only hands its machines over before their leases expire (${mode})`, async () => {
    const world = new World(4, { capacity: 8 });
    world.cloud.startMachines(9);
    world.submitLongJobs({ tasks: 4, expectedSeconds: 1200 }, 8);
    await world.time.runUntil(60_000);
    const { checker } = world;
    const owners = checker.running().map(({ machineId }) => world.ownerOf(machineId) ?? '');
    const count = (host: string): number => owners.filter((owner) => owner === host).length;
    const [isolated = ''] = [...world.hosts()].sort((a, b) => count(b) - count(a));
    const owned = [...world.workers.keys()].filter((id) => world.ownerOf(id) === isolated);
    const before = checker.running().filter(({ machineId }) => owned.includes(machineId));
    assert.ok(owned.length >= 2 && before.length > 0, 'it owns machines with tasks');
    isolateController(world, isolated, /^i-/, { forS: 60, mode });
    await world.time.runUntil(115_000);
    assert.deepEqual(
      owned.filter((id) => world.ownerOf(id) === isolated),
      [],
    );
    const now = new Set(checker.running());
    assert.deepEqual(
      before.filter((task) => !now.has(task)),
      [],
      'no task is lost because of it',
    );
    await world.time.runUntil(180_000);
    const back = [...world.workers.keys()].filter((id) => world.ownerOf(id) === isolated);
    assert.ok(back.length > 0, 'it owns machines again once it can reach them');
    assert.deepEqual(checker.violations, []);
    world.shutDown();
  });
