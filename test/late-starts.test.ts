/**
 * Late copies of start commands that were carried out: a worker that was told to forget an attempt must refuse them,
 * however the attempt ended and whatever happens to the controller and the machine.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_OPERATOR_SETTINGS } from '../src/config/operator.js';
import { getOrAdd } from '../src/util/maps.js';
import { afterSeconds, partition } from './fakes/fault-injection.js';
import { World } from './fakes/world.js';

/** Duration of a simulation, in seconds. */
const DURATION_S = 90;
/** When controllers and machines are disrupted, in seconds. */
const DISRUPTED_AT_S = 30;
/** Copies of each command request. */
const COPIES = 5;
/** Range of the delay of a copy, in milliseconds: from soon after the command to several worker leases later. */
const COPY_DELAY_MS: [number, number] = [1000, 40_000];
/** Longer than any simulation. */
const NEVER_MS = 1e9;

const TEAMS = [
  { name: 'red', cpus: 16, cpus_max: 200, gpus: 0, gpus_max: 0 },
  { name: 'blue', cpus: 16, cpus_max: 200, gpus: 0, gpus_max: 0 },
];

/** Tasks that fill all machines, and the services that displace some of them. */
const STOPPED_TASKS = 24;
const SERVICES = 8;
const REPLICAS = 3;

/** A way in which tasks end on their machine. */
interface TaskEnd {
  name: string;
  run(world: World): void;
  /** Whether tasks have ended in this way. */
  tookPlace(world: World): boolean;
}

/** What happens to controllers and machines between the start of a task and its copies. */
interface Disruption {
  name: string;
  inject(world: World): void;
  tookPlace(run: Run): boolean;
}

/** A simulation, and what was observed in it. */
interface Run {
  world: World;
  /** Machine -> the controllers that have owned it, sampled each second from the disruption on. */
  owners: Map<string, Set<string>>;
  /** Incarnations of all controllers at the disruption. */
  incarnationsBefore: number;
}

const exitsWith = (world: World, reason: string): boolean =>
  [...world.workers.values()].some(({ exitReasons }) => exitReasons.has(reason));

const ENDS: TaskEnd[] = [
  {
    name: 'done',
    run(world) {
      for (let index = 0; index < 8; index++)
        afterSeconds(world, 6 + index * 5, () => {
          world.submit({ tasks: 6, expectedSeconds: 2 });
        });
    },
    tookPlace: (world) => exitsWith(world, 'done'),
  },
  {
    name: 'stopped for other tasks and placed elsewhere',
    run(world) {
      for (const team of ['red', 'blue'])
        world.submit({ team, tasks: STOPPED_TASKS / 2, expectedSeconds: 25 });
      for (let index = 0; index < SERVICES; index++)
        afterSeconds(world, 14 + index * 5, () => {
          const service = { kind: 'service', priority: 'critical', expectedSeconds: 0 } as const;
          world.submit({ ...service, tasks: REPLICAS, cpus: 4 }, 6000);
        });
    },
    tookPlace: (world) =>
      exitsWith(world, 'halted') &&
      world.checker.starts.length > STOPPED_TASKS + SERVICES * REPLICAS,
  },
  {
    name: 'failed',
    run(world) {
      for (let index = 0; index < 6; index++)
        afterSeconds(world, 6 + index * 6, () => {
          world.submit({ tasks: 6, expectedSeconds: 6 });
        });
      for (const atS of [8, 20, 40])
        afterSeconds(world, atS, () => {
          const worker = world.randomWorker();
          if (!worker) return;
          worker.failsTasks = true;
          afterSeconds(world, 6, () => {
            worker.failsTasks = false;
          });
        });
    },
    tookPlace: (world) => exitsWith(world, 'error'),
  },
  {
    name: 'refused by the worker',
    run(world) {
      for (let index = 0; index < 6; index++)
        afterSeconds(world, 6 + index * 6, () => {
          const jobId = world.submit({ tasks: 4, expectedSeconds: 4 });
          const spec = world.specs.get(jobId);
          // The worker cannot get the job's description for a while.
          world.specs.delete(jobId);
          afterSeconds(world, 3, () => {
            if (spec) world.specs.set(jobId, spec);
          });
        });
    },
    tookPlace: (world) => exitsWith(world, 'unknown'),
  },
  {
    name: 'cancelled, some of them done before',
    run(world) {
      for (let index = 0; index < 8; index++)
        afterSeconds(world, 6 + index * 5, () => {
          world.submit({ tasks: 6, expectedSeconds: 5 }, 4000 + index * 300);
        });
    },
    tookPlace: (world) => exitsWith(world, 'halted') && exitsWith(world, 'done'),
  },
  {
    name: 'of a gang: done, stopped or without their gang',
    run(world) {
      for (let index = 0; index < 6; index++)
        afterSeconds(world, 6 + index * 7, () => {
          const gang = { kind: 'gang', priority: 'urgent', tasks: 4, cpus: 4 } as const;
          if (index % 3 === 0) world.submit({ ...gang, expectedSeconds: 30 }, 5000);
          else world.submit({ ...gang, expectedSeconds: 4 });
        });
    },
    tookPlace: (world) => exitsWith(world, 'done') && exitsWith(world, 'halted'),
  },
];

const hasNewIncarnation = (world: World): boolean =>
  [...world.workers.values()].some(({ incarnation }) => incarnation > 1);

/** Isolates two machines for longer than a worker's lease. */
const isolateMachines = (world: World): void => {
  const isolated = [...world.workers.values()].slice(0, 2);
  const names = isolated.flatMap(({ id, address }) => [id, address]);
  partition(world, 14, 'hold', (from, to) => names.includes(from) || names.includes(to));
};

/** Sum of the incarnations under which the controllers have held their domains. */
const controllerIncarnations = (world: World): number =>
  world
    .hosts()
    .map((host) => Number(world.store.peek(`tv/dom/${host}`)?.['inc'] ?? 0))
    .reduce((sum, incarnation) => sum + incarnation, 0);

const restarts = ({ world, incarnationsBefore }: Run): number =>
  controllerIncarnations(world) - incarnationsBefore;

const wasTakenFrom = (host: string, { owners }: Run): boolean =>
  [...owners.values()].some((hosts) => hosts.has(host) && hosts.size > 1);

const DISRUPTIONS: Disruption[] = [
  {
    name: 'its controller lives',
    inject: () => undefined,
    tookPlace: (run) => restarts(run) === 0 && !hasNewIncarnation(run.world),
  },
  {
    name: 'its controller ends and others take the machine over',
    inject(world) {
      world.kill('a', NEVER_MS);
    },
    tookPlace: (run) => wasTakenFrom('a', run),
  },
  {
    name: 'all controllers are back within a second',
    inject(world) {
      for (const host of world.hosts()) world.kill(host, 400);
    },
    tookPlace: (run) => restarts(run) >= 3 && !hasNewIncarnation(run.world),
  },
  {
    name: 'one controller after the other is back within a second, again and again',
    inject(world) {
      for (let index = 0; index < 9; index++)
        afterSeconds(world, index * 2, () => {
          world.kill(world.hosts()[index % 3] ?? '', 600);
        });
    },
    tookPlace: (run) => restarts(run) >= 9,
  },
  {
    name: 'its controller is frozen and returns after a takeover',
    inject(world) {
      world.pauseHost('a', 12_000);
      world.pauseHost('b', 3000);
    },
    tookPlace: (run) => wasTakenFrom('a', run),
  },
  {
    name: 'the machine is lent to a controller that places a large gang',
    inject(world) {
      for (let index = 0; index < 7; index++)
        afterSeconds(world, index * 8, () => {
          const gang = { kind: 'gang', team: 'blue', priority: 'urgent', cpus: 8 } as const;
          world.submit({ ...gang, tasks: 3, expectedSeconds: 3 });
        });
    },
    tookPlace: ({ owners }) => [...owners.values()].some((hosts) => hosts.size > 1),
  },
  {
    name: 'the machine is back with a new incarnation',
    inject: isolateMachines,
    tookPlace: ({ world }) => hasNewIncarnation(world),
  },
  {
    name: 'the machine is back within a second',
    inject(world) {
      for (const worker of world.workers.values()) {
        worker.hung = true;
        afterSeconds(world, 0.8, () => {
          worker.resume();
        });
      }
    },
    tookPlace: ({ world }) => !hasNewIncarnation(world),
  },
  {
    name: 'the machine is cut off for less than a second, again and again',
    inject(world) {
      for (let index = 0; index < 9; index++)
        afterSeconds(world, index * 2, () => {
          partition(world, 0.8, 'hold', (from, to) => from.startsWith('i-') || to.startsWith('i-'));
        });
    },
    tookPlace: ({ world }) => world.net.affectedMessages.hold > 0 && !hasNewIncarnation(world),
  },
];

/** Samples the owners of all machines each second. */
function observeOwners(world: World): Run['owners'] {
  const owners: Run['owners'] = new Map();
  for (let atS = DISRUPTED_AT_S; atS < DURATION_S; atS++)
    afterSeconds(world, atS, () => {
      for (const id of world.workers.keys()) {
        const owner = world.ownerOf(id);
        if (owner !== null) getOrAdd(owners, id, () => new Set<string>()).add(owner);
      }
    });
  return owners;
}

/** Runs tasks that end in one way under one disruption, and asserts that no copy of a start was executed. */
async function runLateStarts(end: TaskEnd, disruption: Disruption): Promise<void> {
  // Renting is off so that idle machines are not returned: a copy must find its worker.
  const operator = { ...DEFAULT_OPERATOR_SETTINGS, rent: false };
  const world = new World(1, { teams: TEAMS, operator });
  world.cloud.startMachines(6);
  world.net.duplication = {
    path: '/commands',
    share: 1,
    afterMs: COPY_DELAY_MS,
    copies: COPIES,
  };
  const run: Run = { world, owners: observeOwners(world), incarnationsBefore: 0 };
  end.run(world);
  afterSeconds(world, DISRUPTED_AT_S, () => {
    run.incarnationsBefore = controllerIncarnations(world);
    disruption.inject(world);
  });
  world.checker.faultsEndAt = DURATION_S * 1000;
  await world.time.runUntil(DURATION_S * 1000);
  assert.ok(end.tookPlace(world), 'tasks ended in this way');
  assert.ok(disruption.tookPlace(run), 'the disruption took place');
  assert.deepEqual(world.checker.violations, [], 'no attempt starts again after it was forgotten');
  assert.deepEqual(world.recordViolations, []);
  world.shutDown();
}

// Observed fault: a worker was told to forget a completed task under the token of its start, and a late copy of the
// start ran the task again: for a cancelled job, and beyond its team's limit.
for (const end of ENDS)
  for (const disruption of DISRUPTIONS)
    void test(`late starts: tasks ${end.name}; ${disruption.name}`, () =>
      runLateStarts(end, disruption));
