import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_OPERATOR_SETTINGS } from '../src/config/operator.js';
import { MACHINE_TYPES, World, type WorldOptions } from './fakes/world.js';

/** The size of a fleet, its controllers, and the limits of its state service. */
interface Fleet {
  machines: number;
  hosts: string[];
  state: WorldOptions['state'];
}

const HOSTS = ['host-0', 'host-1', 'host-2', 'host-3', 'host-4'];

const FLEETS: Fleet[] = [
  {
    machines: 960,
    hosts: HOSTS.slice(0, 3),
    state: { rps: 900, write_rps: 60, value_kb: 4, txn_ops: 12 },
  },
  {
    machines: 960,
    hosts: HOSTS,
    state: { rps: 180, write_rps: 40, value_kb: 8, txn_ops: 20 },
  },
];

/** The size that users' fleets are expected to reach, with the smallest limits of a store and with larger ones. */
const LARGE_FLEETS: (Fleet & { maxClaimsPerSuccessor: number })[] = [
  {
    machines: 4000,
    hosts: HOSTS.slice(0, 3),
    state: { rps: 3000, write_rps: 300, value_kb: 4, txn_ops: 12 },
    // Claiming a list of 1,333 machines takes more writes than one transaction may have, so it is claimed in parts.
    maxClaimsPerSuccessor: 4,
  },
  {
    machines: 4000,
    hosts: HOSTS,
    state: { rps: 3000, write_rps: 300, value_kb: 8, txn_ops: 20 },
    maxClaimsPerSuccessor: 1,
  },
];

function worldOf({ machines, hosts, state }: Fleet, operator = DEFAULT_OPERATOR_SETTINGS): World {
  const limit = 5000 * Math.ceil(machines / 960);
  const team = { cpus: limit * 0.4, cpus_max: limit, gpus: 0, gpus_max: 0 };
  const world = new World(7, {
    hosts,
    machineTypes: MACHINE_TYPES.filter(({ gpus }) => gpus === 0),
    capacity: 0,
    teams: [
      { name: 'red', ...team },
      { name: 'blue', ...team },
    ],
    state,
    operator,
  });
  world.cloud.startMachines(machines);
  return world;
}

const machineIds = (world: World): string[] => [...world.workers.keys()];

function assertNoViolations(world: World): void {
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  assert.deepEqual(world.store.oversized, []);
}

/**
 * Submits arrays with long names over the next 40 s, and services at once. Returns the ids of the arrays; the list is
 * filled as they are submitted.
 */
function submitJobs(world: World): string[] {
  const arrays: string[] = [];
  const suffix = `-${'n'.repeat(40)}`;
  for (let index = 0; index < 20; index++)
    world.time.after(index * 2000, () => {
      const team = index % 2 === 0 ? 'red' : 'blue';
      const spec = { team, image: `img-${String(index % 4)}`, tasks: 250, expectedSeconds: 15 };
      arrays.push(world.submit(spec, null, suffix));
    });
  for (let index = 0; index < 60; index++)
    world.submit({
      kind: 'service',
      priority: 'critical',
      tasks: 12,
      spreadAcrossZones: true,
      expectedSeconds: 0,
    });
  return arrays;
}

// Guards against three failures of large fleets. When a domain's record was a single value, machines that did not fit
// into it had no owner. One write per machine and per finished task exceeded the write rate of the state service.
// Claims of unowned machines had conditions on the records of all peers, so concurrent claims made each other fail.
for (const fleet of FLEETS)
  void test(`${String(fleet.machines)} machines up at the start, values of ${String(fleet.state.value_kb)} KiB: all controllers but one die and return`, async () => {
    const { hosts, state, machines } = fleet;
    const world = worldOf(fleet);
    const unowned = (): string[] => machineIds(world).filter((id) => world.ownerOf(id) === null);
    await world.time.runUntil(20_000);
    assert.equal(world.workers.size, machines);
    assert.deepEqual(unowned(), [], 'every machine that is up has an owner');
    const arrays = submitJobs(world);
    await world.time.runUntil(50_000);
    const [last, ...others] = hosts;
    const claimsBefore = world.store.writesByKind.get('term') ?? 0;
    for (const host of others) world.kill(host, 40_000);
    await world.time.runUntil(70_000);
    assert.deepEqual(
      machineIds(world).filter((id) => world.ownerOf(id) !== last),
      [],
      'the last controller owns every machine',
    );
    // Per dead controller: its takeover list, and the machines listed for successors that died too. Each is claimed in
    // one transaction.
    const claims = (world.store.writesByKind.get('term') ?? 0) - claimsBefore;
    assert.ok(claims <= others.length * 2, `${String(claims)} claims`);
    await world.time.runUntil(170_000);
    world.checker.finish();
    assertNoViolations(world);
    assert.deepEqual(world.checker.starvedGroups(), []);
    assert.deepEqual(
      arrays.filter((jobId) => !world.finalPhases.has(jobId)),
      [],
      'all arrays have ended',
    );
    assert.deepEqual(unowned(), []);
    const writesPerStart = world.store.writes / world.checker.starts.length;
    assert.ok(writesPerStart < 1, `${writesPerStart.toFixed(3)} writes per started task`);
    const writesPerSecond = world.store.writes / 170;
    assert.ok(writesPerSecond < state.write_rps, `${writesPerSecond.toFixed(1)} writes per second`);
    world.shutDown();
  });

// With 4,000 machines, the addresses of all machines of a domain exceeded the byte limit of a transaction. They were
// never recorded, so successors could not call the machines that they took over.
for (const fleet of LARGE_FLEETS)
  void test(`${String(fleet.machines)} machines, ${String(fleet.hosts.length)} controllers, values of ${String(fleet.state.value_kb)} KiB: all are owned after the start and after a controller dies`, async () => {
    const { hosts, machines } = fleet;
    // Renting is off so that the fleet keeps its size: most machines are idle and would be returned.
    const world = worldOf(fleet, { ...DEFAULT_OPERATOR_SETTINGS, rent: false });
    await world.time.runUntil(12_000);
    assert.equal(world.workers.size, machines);
    const countByController = (): Map<string, number> => countOwned(world);
    const totalOwned = (): number =>
      [...countByController().values()].reduce((sum, count) => sum + count, 0);
    assert.equal(totalOwned(), machines, 'every machine has an owner');
    const arrays = [1, 2, 3].map((index) =>
      world.submit({ tasks: 250, expectedSeconds: 4, team: index % 2 ? 'red' : 'blue' }),
    );
    await world.time.runUntil(22_000);
    const claimsBefore = world.store.writesByKind.get('term') ?? 0;
    const [dead = ''] = hosts;
    const ownedByDead = countByController().get(dead) ?? 0;
    assert.ok(ownedByDead > 0);
    world.kill(dead, 1e9);
    await world.time.runUntil(30_000);
    assert.equal(countByController().get(dead) ?? 0, 0, 'its successors own its machines');
    assert.equal(totalOwned(), machines);
    const claims = (world.store.writesByKind.get('term') ?? 0) - claimsBefore;
    const successors = hosts.length - 1;
    assert.ok(
      claims <= successors * fleet.maxClaimsPerSuccessor,
      `${String(claims)} claims of ${String(ownedByDead)} machines`,
    );
    await world.time.runUntil(40_000);
    world.checker.finish();
    assertNoViolations(world);
    assert.deepEqual(
      arrays.filter((jobId) => !world.finalPhases.has(jobId)),
      [],
      'all arrays have ended',
    );
    world.shutDown();
  });

/** For each controller, the number of machines in its shards. */
function countOwned(world: World): Map<string, number> {
  return new Map(
    world.hosts().map((host) => {
      const shards = world.store.valuesUnder(`tv/own/${host}/`) as Record<string, string[]>[];
      const counts = shards.flatMap((shard) => Object.values(shard).map(({ length }) => length));
      return [host, counts.reduce((sum, count) => sum + count, 0)];
    }),
  );
}
