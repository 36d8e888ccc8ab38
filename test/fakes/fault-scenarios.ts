/**
 * Simulated runs with one kind of fault. At the end, all arrays and gangs must be finished and no rule may have been
 * violated.
 */
import assert from 'node:assert/strict';
import { afterSeconds } from './fault-injection.js';
import { World } from './world.js';

/** A kind of fault and how it is injected. */
export interface FaultScenario {
  name: string;
  inject(world: World): void;
}

/** Seeds with which each scenario is run. */
export const SCENARIO_SEEDS = [1, 2, 3];

const FAULTS_END_MS = 90_000;
const END_MS = 230_000;
/** Job ids by kind of job. The lists are filled as the jobs are submitted. */
interface SubmittedJobs {
  arrays: string[];
  services: string[];
  gangs: string[];
}

/** Submits jobs of all kinds during the first minutes; some are cancelled. */
function submitMixedJobs(world: World): SubmittedJobs {
  return {
    arrays: submitArrays(world),
    services: submitServices(world),
    gangs: submitGangs(world),
  };
}

function submitArrays(world: World): string[] {
  const jobIds: string[] = [];
  for (let index = 0; index < 14; index++)
    afterSeconds(world, index * 6, () => {
      const spec = {
        team: index % 2 === 0 ? 'red' : 'blue',
        image: `img-${String(index % 3)}`,
        tasks: world.random.int(1, 9),
        spot: index % 3 === 0,
        deadlineSeconds: 40,
      };
      jobIds.push(world.submit(spec, index % 5 === 4 ? 8000 : null));
    });
  return jobIds;
}

function submitServices(world: World): string[] {
  const jobIds: string[] = [];
  for (let index = 0; index < 4; index++)
    afterSeconds(world, index * 9, () => {
      const spec = {
        kind: 'service',
        priority: 'critical',
        tasks: 2,
        spreadAcrossZones: true,
        image: 'img-s',
        expectedSeconds: 0,
      } as const;
      jobIds.push(world.submit(spec, index === 3 ? 70_000 : null));
    });
  return jobIds;
}

function submitGangs(world: World): string[] {
  const jobIds: string[] = [];
  for (let index = 0; index < 3; index++)
    afterSeconds(world, 5 + index * 20, () => {
      const spec = {
        kind: 'gang',
        priority: 'urgent',
        gpus: 2,
        singleZone: true,
        tasks: 2,
        cpus: 4,
        checkpointIntervalSeconds: 3,
        checkpointSeconds: 1,
      } as const;
      jobIds.push(world.submit(spec));
    });
  return jobIds;
}

/** Runs a scenario and asserts the conditions that must hold at its end. */
export async function runFaultScenario(scenario: FaultScenario, seed: number): Promise<void> {
  const world = new World(seed);
  const { arrays, services, gangs } = submitMixedJobs(world);
  scenario.inject(world);
  world.checker.faultsEndAt = FAULTS_END_MS;
  await world.time.runUntil(END_MS);
  world.checker.finish();
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.recordViolations, []);
  assert.deepEqual(world.checker.starvedGroups(), []);
  assert.deepEqual(world.checker.lateLargestJobs(world.time.now), []);
  const open = [...arrays, ...gangs].filter((jobId) => !world.finalPhases.has(jobId));
  assert.deepEqual(open, [], 'all arrays and gangs end');
  const endedServices = services.filter((jobId) => world.finalPhases.has(jobId));
  assert.equal(endedServices.length, 1, 'exactly one service ends, the cancelled one');
  world.shutDown();
}
